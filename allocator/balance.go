package allocator

import (
	"sort"

	"github.com/turmericlift/turmericlift/identifier"
)

const (
	// mostMoving bounds the segments on the move for balance: each waits some tenths of a
	// second.
	mostMoving = 8
	// overMean is the use of a server, as a multiple of the mean, from which it gives
	// keys away: a move costs more than smaller differences.
	overMean = 1.3
	// chance is the number of standard deviations above the mean from which a server's rate is
	// no chance: among hundreds of servers that are looked at often, some lie three above.
	chance = 4
	// mostOver is the load that is moved at most, as a multiple of what should be.
	mostOver = 2
	// leastUse is the use from which a server gives keys away: below, its requests do not
	// wait.
	leastUse = 0.4
)

// balance marks hot segments of the servers that are used most, cut to what their
// next owners can take.
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
	for id := range p.load {
		if !owners[id] && !p.Servers[id].Cold {
			empty++
		}
	}
	for ; moving < empty; moving++ { // Each will go to a server that has none.
		if !p.halve(p.fullest()) {
			return
		}
	}
	for ; moving < mostMoving; moving++ {
		if !p.moveOne() {
			return
		}
	}
}

// halve marks half of a server's heaviest segment.
func (p *plan) halve(from identifier.BackendServer) bool {
	best := p.heaviest(from)
	if best < 0 || p.next.Segments[best].Range.Len() < 2 {
		return false
	}
	r := p.next.Segments[best].Range
	cut := p.cut(r, p.weight(r)/2)
	p.load[from] -= p.weight(cut)
	p.carve(best, cut)
	p.changed = true
	return true
}

// heaviest returns the segment of a server with the most load, or -1.
func (p *plan) heaviest(from identifier.BackendServer) int {
	best := -1
	for n, s := range p.next.Segments {
		if s.Owner == from && !s.Moving && !p.Servers[from].Unsteady &&
			(best < 0 || p.weight(s.Range) > p.weight(p.next.Segments[best].Range)) {
			best = n
		}
	}
	return best
}

// moveOne marks one segment and reports whether it has: of the server that is used most
// and has one to give. A server with one hot key may have none.
func (p *plan) moveOne() bool {
	servers, mean := p.byUse()
	low := servers[0]
	for n := len(servers) - 1; n > 0; n-- {
		high := servers[n]
		if p.use(high) < max(overMean*mean, leastUse) {
			return false
		}
		if p.use(high) < mean+chance*p.deviation(high, mean) {
			continue // Another one may have more requests, and less chance.
		}
		if p.mark(high, low, mean) || p.promote(high) {
			return true
		}
	}
	return false
}

// fasterFactor is how much faster a server must be to get a key that is too hot for its
// owner: estimates of speed differ by less.
const fasterFactor = 1.35

// promote marks the hottest key of a server that is used over its capacity, if another
// server is much faster and could give it most of its time.
func (p *plan) promote(from identifier.BackendServer) bool {
	if p.use(from) < 1 {
		return false
	}
	best, hottest := -1, identifier.Range{}
	for n, s := range p.next.Segments {
		if s.Owner != from || s.Moving || p.Servers[from].Unsteady {
			continue
		}
		if key := p.hottest(s.Range); best < 0 || p.weight(key) > p.weight(hottest) {
			best, hottest = n, key
		}
	}
	if best < 0 || p.weight(hottest) < p.load[from]/2 {
		return false
	}
	capacity := p.Servers[from].Capacity
	for id, load := range p.load {
		if c := p.Servers[id].Capacity; c > fasterFactor*capacity && load < c/2 {
			p.load[from] -= p.weight(hottest)
			p.carve(best, hottest)
			p.changed = true
			return true
		}
	}
	return false
}

// hottest returns the key with the most requests of a range.
func (p *plan) hottest(r identifier.Range) identifier.Range {
	best := identifier.Range{From: r.From, To: r.From}
	for k := int(r.From); k <= int(r.To); k++ {
		if key := (identifier.Range{From: identifier.Point(k), To: identifier.Point(k)}); p.Heat.Rate(key) > p.Heat.Rate(best) {
			best = key
		}
	}
	return best
}

func (p *plan) use(id identifier.BackendServer) float64 { return p.load[id] / p.Servers[id].Capacity }

// deviation is the standard deviation of a server's use, as its faded count of requests
// shows it, if they come independently and the use is a certain one.
func (p *plan) deviation(id identifier.BackendServer, use float64) float64 {
	return deviation(use*p.Servers[id].Capacity) / p.Servers[id].Capacity
}

// fullest returns the server that is used most.
func (p *plan) fullest() identifier.BackendServer {
	servers, _ := p.byUse()
	return servers[len(servers)-1]
}

func (p *plan) byUse() (servers []identifier.BackendServer, mean float64) {
	load, capacity := 0.0, 0.0
	for id := range p.load {
		servers = append(servers, id)
		load += p.load[id]
		capacity += p.Servers[id].Capacity
	}
	sort.Slice(servers, func(a, b int) bool {
		ua, ub := p.use(servers[a]), p.use(servers[b])
		return ua < ub || ua == ub && servers[a] < servers[b]
	})
	return servers, load / max(capacity, 1e-9)
}

// mark marks keys of one server whose load brings both servers towards the mean.
func (p *plan) mark(from, to identifier.BackendServer, mean float64) bool {
	spare := max(mean, p.use(from)/2)*p.Servers[to].Capacity - p.load[to]
	excess := p.load[from] - mean*p.Servers[from].Capacity
	amount := min(spare, max(excess, p.load[from]/4))
	if amount <= 0 {
		return false
	}
	best, cut := p.movable(from, amount)
	if best < 0 {
		return false
	}
	p.load[from] -= p.weight(cut)
	p.load[to] += p.weight(cut)
	p.carve(best, cut)
	p.changed = true
	return true
}

// movable returns the heaviest segment of a server, and the part of it, whose load is not
// far above amount; -1 if there is none. A key that alone has more stays, since it would
// only move the trouble, but what lies beside it can leave.
func (p *plan) movable(from identifier.BackendServer, amount float64) (best int, cut identifier.Range) {
	best = -1
	heaviest := 0.0
	for n, s := range p.next.Segments {
		if s.Owner != from || s.Moving || p.Servers[from].Unsteady {
			continue
		}
		part := p.cut(s.Range, amount)
		if w := p.weight(part); w > heaviest && w <= mostOver*amount {
			best, cut, heaviest = n, part, w
		}
	}
	return best, cut
}

// cut returns the end of a range, upper or lower, that holds about amount requests a
// second, at least one key.
func (p *plan) cut(r identifier.Range, amount float64) identifier.Range {
	if p.weight(r) <= 1.2*amount {
		return r
	}
	n := sort.Search(r.Len()-1, func(n int) bool {
		return p.weight(identifier.Range{From: r.From, To: r.From + identifier.Point(n)}) >= amount
	})
	return identifier.Range{From: r.From, To: r.From + identifier.Point(n)}
}

// carve splits segment n so that the keys of cut, a part of it, are on the move.
func (p *plan) carve(n int, cut identifier.Range) {
	s := p.next.Segments[n]
	var parts []Segment
	if cut.From > s.Range.From {
		head := s
		head.Range.To = cut.From - 1
		parts = append(parts, head)
	}
	moved := s
	moved.Range = cut
	moved.mark()
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
