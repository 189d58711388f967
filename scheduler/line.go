package scheduler

import (
	"container/heap"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/booker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// lineKey identifies a line: the requests for one owner of keys, or for a pool if the server is empty.
type lineKey struct {
	service identifier.Service
	server  identifier.BackendServer
}

// line is a queue of requests that compete for the same servers, in groups of which the lower ranks go first.
type line struct {
	key      lineKey
	groups   []*group // Sorted by rank.
	count    int
	bookings booker.Booker
}

// group is the requests of a line that have the same rank.
type group struct {
	rank      int
	retries   requestHeap
	firsts    requestHeap // The requests that are not retries.
	sentRetry bool        // The last request that was sent is a retry.
	work      float64     // Sum of the estimated work, in milliseconds.
	retryWork float64     // That of the retries.
	skipped   int         // Requests of other groups that were sent since the last one of this group, while some waited here.
}

// queuedRequest is what a line keeps with a request that waits in it.
type queuedRequest struct {
	line  *line
	group *group
	index int // In the group's heap.
	work  float64
	// ownership is what was known of the owner of the request's key at ownedAt.
	ownership registrar.Ownership
	ownedAt   time.Time
}

const (
	// lateRank is added to the rank of a request that cannot meet its target time any more: it goes behind those of the next two
	// lower priorities that still can, since a late answer earns its caller less.
	lateRank = 5
	// floorEvery is the number of requests of other groups after which one of a group goes first that was not its turn, so
	// that no group starves.
	floorEvery = 10
	// retryShare is the least share of the requests that wait at other instances that are taken to go before a retry.
	retryShare = 0.2
)

// rank returns the rank of a request in its line. needed is the time from now on that it is expected to take if it is sent.
func rank(now time.Time, r *PendingRequest, needed time.Duration) int {
	rank := 2 * int(r.Priority)
	if now.Add(needed).After(r.TargetTime) {
		rank += lateRank
	}
	return rank
}

// push adds a request to the line.
func (l *line) push(r *PendingRequest, rank int, work float64) {
	n := sort.Search(len(l.groups), func(n int) bool { return l.groups[n].rank >= rank })
	if n == len(l.groups) || l.groups[n].rank != rank {
		l.groups = append(l.groups, nil)
		copy(l.groups[n+1:], l.groups[n:])
		l.groups[n] = &group{rank: rank}
	}
	g := l.groups[n]
	r.queued.line, r.queued.group, r.queued.work = l, g, work
	heap.Push(g.heapOf(r), r)
	l.count++
	g.work += work
	if r.IsRetry {
		g.retryWork += work
	}
}

// remove removes a request from the line. Groups are kept: there are two for each priority.
func (l *line) remove(r *PendingRequest) {
	g := r.queued.group
	heap.Remove(g.heapOf(r), r.queued.index)
	l.count--
	g.work -= r.queued.work
	if r.IsRetry {
		g.retryWork -= r.queued.work
	}
	if g.count() == 0 {
		g.work, g.retryWork, g.skipped = 0, 0, 0
	}
	r.queued.line, r.queued.group, r.queued.work = nil, nil, 0
}

// order returns the groups that have requests, in the order in which these go.
func (l *line) order() []*group {
	order := make([]*group, 0, len(l.groups))
	for _, g := range l.groups {
		if g.count() > 0 {
			order = append(order, g)
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return order[a].skipped >= floorEvery && order[b].skipped < floorEvery })
	return order
}

// recordSent counts that a request of a group was sent.
func (l *line) recordSent(sent *group, r *PendingRequest) {
	for _, g := range l.groups {
		if g.count() > 0 {
			g.skipped++
		}
	}
	sent.skipped, sent.sentRetry = 0, r.IsRetry
}

// workAhead returns the estimated work of the requests that go before a request of a rank, in milliseconds, and their share
// of all requests that wait in the line.
func (l *line) workAhead(r *PendingRequest, rank int) (work, share float64) {
	count := 0
	for _, g := range l.groups {
		switch {
		case g.rank < rank:
			work += g.work
			count += g.count()
		case g.rank == rank && r.IsRetry: // As many others go between the retries.
			work += min(2*g.retryWork, g.work)
		case g.rank == rank:
			work += g.work
			count += g.count()
		}
	}
	if l.count > 0 {
		share = float64(count) / float64(l.count)
	} else if !r.IsRetry {
		share = 1
	}
	if r.IsRetry {
		share = max(share, retryShare)
	}
	return work, share
}

// heapOf returns the heap of the group to which a request belongs.
func (g *group) heapOf(r *PendingRequest) *requestHeap {
	if r.IsRetry {
		return &g.retries
	}
	return &g.firsts
}

// count returns the number of requests in the group.
func (g *group) count() int { return len(g.retries) + len(g.firsts) }

// first returns the request of the group that goes first. Retries go first, but at most every other request is one while
// others wait: callers who retry at once and often do not crowd out others.
func (g *group) first() *PendingRequest {
	if len(g.firsts) == 0 || len(g.retries) > 0 && !g.sentRetry {
		return g.retries[0]
	}
	return g.firsts[0]
}

// requestHeap orders requests by their target time.
type requestHeap []*PendingRequest

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(a, b int) bool { return h[a].TargetTime.Before(h[b].TargetTime) }

func (h requestHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].queued.index, h[b].queued.index = a, b
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*PendingRequest)
	r.queued.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
