package controller

import (
	"fmt"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/storer"
)

// loadInterval is the time between two requests of the simulated load for one key.
const loadInterval = 100 * time.Millisecond

// startLoad sends requests for each of the keys at intervals of loadInterval until the end of the run.
func (h *harness) startLoad(keys []identifier.Key) {
	for _, k := range keys {
		var again func()
		again = func() {
			h.request(k)
			h.after(loadInterval, nil, again)
		}
		h.after(time.Duration(h.rand.Int64N(int64(loadInterval))), nil, again)
	}
}

// keysFor returns one key for each of n partitions.
func keysFor(n int) []identifier.Key {
	a, err := partitioner.New(n)
	if err != nil {
		panic(err)
	}
	keys := make([]identifier.Key, n)
	for k, found := 0, 0; found < n; k++ {
		key := identifier.Key(fmt.Sprintf("key-%d", k))
		if p := a.PartitionOf(key); keys[p] == "" {
			keys[p] = key
			found++
		}
	}
	return keys
}

// request sends one request for a key from every instance that considers itself the coordinator of the key's owner.
// It uses the state of each instance at that moment, which may be outdated, as the request path does.
func (h *harness) request(k identifier.Key) {
	for _, i := range h.instances {
		if i.ended || i.paused {
			continue
		}
		for _, coordinated := range i.ctl.Coordinated() {
			if coordinated.Assignment == nil {
				continue
			}
			p := coordinated.Assignment.PartitionOf(k)
			owner, e, _ := coordinated.Assignment.Owner(p)
			_, moving := coordinated.Assignment.NextOwner(p)
			if owner == coordinated.Server.ID && !moving {
				h.deliverRequest(i, coordinated, granter.Grant{Partition: p, Epoch: e}, k)
			}
		}
	}
}

// deliverRequest delivers a request to a backend server. If the sender is paused, the request waits until it resumes.
func (h *harness) deliverRequest(i *simulatedInstance, coordinated granter.CoordinatedServer, g granter.Grant, k identifier.Key) {
	s := h.server(coordinated.Server.ID)
	r := &simulatedRequest{grant: g, key: k}
	if !coordinated.Server.ChecksGrants {
		r.deadline = coordinated.ValidUntil
	}
	h.after(0, &i.process, func() {
		h.after(h.latency()+h.extraDelay(), &s.process, func() {
			if h.reachesServer(i, s) {
				h.startRequest(s, r, coordinated.Term)
			}
		})
	})
}

// startRequest starts a request on a backend server, unless its deadline has passed or the server refuses it, and
// checks that no other server runs requests for the same partition or key. The request ends within 300 ms.
func (h *harness) startRequest(s *simulatedServer, r *simulatedRequest, t identifier.Term) {
	if !r.deadline.IsZero() && !h.now.Before(r.deadline) {
		return
	}
	if s.fence.Begin(h.now, r.grant, t) != nil {
		return
	}
	h.checkExclusive(s, r.grant.Partition)
	h.checkKeyExclusive(s, r.key)
	h.recordServed(r)
	s.lastBegunAt = h.now
	s.requests[r] = true
	fence := s.fence
	h.after(time.Duration(h.rand.IntN(300))*time.Millisecond, &s.process, func() {
		if s.fence == fence {
			s.fence.End(r.grant)
			delete(s.requests, r)
		}
	})
}

// checkKeyExclusive checks that no other server runs a request for the same key, in whichever partition it was
// routed.
func (h *harness) checkKeyExclusive(s *simulatedServer, k identifier.Key) {
	for _, other := range h.servers {
		if other == s || other.ended {
			continue
		}
		for r := range other.requests {
			if r.key == k && h.mayRun(other, r) {
				h.fail("key %s: %s still runs a request for it while %s starts another one", k, other.info.ID, s.info.ID)
			}
		}
	}
}

// recordServed records that a partition is served now, and the time that it was without service before.
func (h *harness) recordServed(r *simulatedRequest) {
	p := r.grant.Partition
	if last, ok := h.served[p]; ok {
		h.gaps[p] = max(h.gaps[p], h.now.Sub(last))
	}
	h.served[p] = h.now
}

// unserved returns the partitions of which no request was started during the last d.
func (h *harness) unserved(d time.Duration) []identifier.Partition {
	stored, err := h.storedAssignment()
	if err != nil {
		return nil
	}
	var late []identifier.Partition
	for p := range stored.Len() {
		part := identifier.Partition(p)
		if _, _, owned := stored.Owner(part); !owned && stored.IsPinPartition(part) {
			continue // The partition belongs to no pinned key at present.
		}
		if last, ok := h.served[part]; !ok || h.now.Sub(last) > d {
			late = append(late, part)
		}
	}
	return late
}

// canServe reports whether the platform lists any backend server that is not leaving.
func (h *harness) canServe() bool {
	for _, l := range h.listed {
		if l.Kind == storer.KindBackendServer && l.State == storer.StateLive {
			return true
		}
	}
	return false
}

// longestGap returns the longest time that any partition was without service.
func (h *harness) longestGap() time.Duration {
	var longest time.Duration
	for _, gap := range h.gaps {
		longest = max(longest, gap)
	}
	stored, err := h.storedAssignment()
	h.failOnError(err)
	for p, last := range h.served {
		if _, _, owned := stored.Owner(p); owned {
			longest = max(longest, h.now.Sub(last))
		}
	}
	return longest
}
