package allocator

import (
	"cmp"
	"slices"
	"sort"

	"github.com/turmericlift/turmericlift/identifier"
)

const (
	// maxMoving bounds the number of segments that move for balance at the same time: requests for
	// each of them wait some tenths of a second.
	maxMoving = 8
	// excessUsage is the usage, as a multiple of the mean, from which a server gives keys
	// away: smaller differences do not justify the cost of a move.
	excessUsage = 1.3
	// minDeviations is the number of standard deviations above the mean from which the rate of a
	// server is not attributed to chance: among hundreds of servers that are examined often, some lie
	// three above.
	minDeviations = 4
	// maxAmountFactor bounds the load that is moved, as a multiple of the load that should be moved.
	maxAmountFactor = 2
	// minUsage is the usage from which a server gives keys away: below it, its requests do
	// not wait.
	minUsage = 0.4
)

// balance prepares moves of busy keys away from the servers with the highest usage, in parts
// that their next owners can run.
func (p *plan) balance() {
	moving := 0
	owners := map[identifier.BackendServer]bool{}
	for _, s := range p.next.Segments {
		if s.Moving {
			moving++
		}
		owners[s.Owner] = true
	}
	empty := 0
	for _, l := range p.usable {
		if !owners[l.id] && !p.Servers[l.id].Cold {
			empty++
		}
	}
	for ; moving < empty; moving++ { // The commit assigns each of these to a server without keys.
		if !p.prepareHalf(p.mostUsed()) {
			return
		}
	}
	for ; moving < maxMoving; moving++ {
		if !p.prepareOne() {
			return
		}
	}
}

// prepareHalf prepares the move of half the weight of a server's heaviest segment and reports whether
// it did.
func (p *plan) prepareHalf(from identifier.BackendServer) bool {
	best := p.heaviest(from)
	if best < 0 || p.next.Segments[best].Range.Len() < 2 {
		return false
	}
	r := p.next.Segments[best].Range
	cut := p.cut(r, p.weight(r)/2)
	p.load[from].load -= p.weight(cut)
	p.splitMoving(best, cut)
	p.changed = true
	return true
}

// heaviest returns the index of the segment of a server with the greatest weight, or -1 if it has none
// that can move.
func (p *plan) heaviest(from identifier.BackendServer) int {
	best := -1
	for n, s := range p.next.Segments {
		if s.Owner == from && !s.Moving && !p.Servers[from].Unstable &&
			(best < 0 || p.weight(s.Range) > p.weight(p.next.Segments[best].Range)) {
			best = n
		}
	}
	return best
}

// prepareOne prepares the move of one segment and reports whether it did. The segment is taken from
// the server with the highest usage that has one to give; a server whose load is one busy key
// may have none.
func (p *plan) prepareOne() bool {
	servers, mean := p.byUsage()
	lowest := servers[0]
	for n := len(servers) - 1; n > 0; n-- {
		candidate := servers[n]
		if p.usage(candidate) < max(excessUsage*mean, minUsage) {
			return false
		}
		if p.usage(candidate) < mean+minDeviations*p.deviation(candidate, mean) {
			continue // The deviation of a server with more requests may be smaller.
		}
		if p.prepareTransfer(candidate, lowest, mean) || p.prepareToFaster(candidate) {
			return true
		}
	}
	return false
}

// minSpeedRatio is how much faster a server must be to get a key that is too busy for its owner: the
// error of speed estimates is smaller.
const minSpeedRatio = 1.35

// prepareToFaster prepares the move of the busiest key of a server whose usage is above 1, if
// the key makes up at least half of its load and another server is much faster and used to less than one
// half of its capacity. It reports whether it did.
func (p *plan) prepareToFaster(from identifier.BackendServer) bool {
	if p.usage(from) < 1 {
		return false
	}
	best, busiestKey := -1, identifier.Range{}
	for n, s := range p.next.Segments {
		if s.Owner != from || s.Moving || p.Servers[from].Unstable {
			continue
		}
		if single := p.busiestKey(s.Range); best < 0 || p.weight(single) > p.weight(busiestKey) {
			best, busiestKey = n, single
		}
	}
	if best < 0 || p.weight(busiestKey) < p.load[from].load/2 {
		return false
	}
	capacity := p.load[from].capacity
	for _, l := range p.usable {
		if l.capacity > minSpeedRatio*capacity && l.load < l.capacity/2 {
			p.load[from].load -= p.weight(busiestKey)
			p.splitMoving(best, busiestKey)
			p.changed = true
			return true
		}
	}
	return false
}

// busiestKey returns the key of a range with the highest request rate, as a range of one key.
func (p *plan) busiestKey(r identifier.Range) identifier.Range {
	best := identifier.Range{From: r.From, To: r.From}
	for k := int(r.From); k <= int(r.To); k++ {
		if single := (identifier.Range{From: identifier.ShardKey(k), To: identifier.ShardKey(k)}); p.KeyRates.Rate(single) > p.KeyRates.Rate(best) {
			best = single
		}
	}
	return best
}

// usage returns the load of a server as a share of its capacity.
func (p *plan) usage(s identifier.BackendServer) float64 { return p.load[s].usage() }

// deviation returns the standard deviation of a server's usage as estimated from its decayed
// count of requests, if requests arrive independently and the true usage is the given one.
func (p *plan) deviation(id identifier.BackendServer, usage float64) float64 {
	return deviation(usage*p.load[id].capacity) / p.load[id].capacity
}

// mostUsed returns the server with the highest usage.
func (p *plan) mostUsed() identifier.BackendServer {
	servers, _ := p.byUsage()
	return servers[len(servers)-1]
}

// byUsage returns the usable servers in order of rising usage, and the usage of all
// of them together.
func (p *plan) byUsage() (servers []identifier.BackendServer, mean float64) {
	load, capacity := 0.0, 0.0
	sorted := slices.Clone(p.usable) // In order of IDs, which decides between equal usages.
	for _, l := range sorted {
		load += l.load
		capacity += l.capacity
	}
	slices.SortStableFunc(sorted, func(a, b *serverLoad) int { return cmp.Compare(a.usage(), b.usage()) })
	servers = make([]identifier.BackendServer, 0, len(sorted))
	for _, l := range sorted {
		servers = append(servers, l.id)
	}
	return servers, load / max(capacity, 1e-9)
}

// prepareTransfer prepares the move of keys of one server whose load brings both servers towards the
// mean, and reports whether it did.
func (p *plan) prepareTransfer(from, to identifier.BackendServer, mean float64) bool {
	giver, taker := p.load[from], p.load[to]
	spare := max(mean, giver.usage()/2)*taker.capacity - taker.load
	excess := giver.load - mean*giver.capacity
	amount := min(spare, max(excess, giver.load/4))
	if amount <= 0 {
		return false
	}
	best, cut := p.movablePart(from, amount)
	if best < 0 {
		return false
	}
	giver.load -= p.weight(cut)
	taker.load += p.weight(cut)
	p.splitMoving(best, cut)
	p.changed = true
	return true
}

// movablePart returns the index of a segment of a server and the part of it to move, which is the
// heaviest that is not far above amount; the index is -1 if there is none. A single key with more than
// that stays, since moving it would only move the overload, but the keys beside it can move.
func (p *plan) movablePart(from identifier.BackendServer, amount float64) (best int, cut identifier.Range) {
	best = -1
	heaviest := 0.0
	for n, s := range p.next.Segments {
		if s.Owner != from || s.Moving || p.Servers[from].Unstable {
			continue
		}
		part := p.cut(s.Range, amount)
		if w := p.weight(part); w > heaviest && w <= maxAmountFactor*amount {
			best, cut, heaviest = n, part, w
		}
	}
	return best, cut
}

// cut returns the lower end of a range that has about amount requests a second, with at least one key.
// It returns the whole range if that has at most 1.2 times the amount.
func (p *plan) cut(r identifier.Range, amount float64) identifier.Range {
	if p.weight(r) <= 1.2*amount {
		return r
	}
	n := sort.Search(r.Len()-1, func(n int) bool {
		return p.weight(identifier.Range{From: r.From, To: r.From + identifier.ShardKey(n)}) >= amount
	})
	return identifier.Range{From: r.From, To: r.From + identifier.ShardKey(n)}
}

// splitMoving splits segment n so that the keys of cut, which is a part of it, are moving.
func (p *plan) splitMoving(n int, cut identifier.Range) {
	s := p.next.Segments[n]
	var parts []Segment
	if cut.From > s.Range.From {
		head := s
		head.Range.To = cut.From - 1
		parts = append(parts, head)
	}
	moved := s
	moved.Range = cut
	moved.prepare()
	parts = append(parts, moved)
	if cut.To < s.Range.To {
		tail := s
		tail.Range.From = cut.To + 1
		parts = append(parts, tail)
	}
	segments := append([]Segment(nil), p.next.Segments[:n]...)
	segments = append(segments, parts...)
	p.next.Segments = append(segments, p.next.Segments[n+1:]...)
}
