package sender

import (
	"sync"

	"github.com/turmericlift/turmericlift/identifier"
)

// keptRefusals is the number of refused requests that are remembered. A refused request is sent again within a second or
// two, or not at all.
const keptRefusals = 4096

// refusals remembers the requests that backend servers refused last. It is safe for concurrent use.
type refusals struct {
	mu    sync.Mutex
	ids   map[identifier.RequestID]bool
	order [keptRefusals]identifier.RequestID // The oldest is at next.
	next  int
}

// add remembers a request, unless it has no ID.
func (r *refusals) add(id identifier.RequestID) {
	if id == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids == nil {
		r.ids = map[identifier.RequestID]bool{}
	}
	if r.ids[id] {
		return
	}
	delete(r.ids, r.order[r.next])
	r.ids[id], r.order[r.next] = true, id
	r.next = (r.next + 1) % keptRefusals
}

// has reports whether a request is remembered.
func (r *refusals) has(id identifier.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}
