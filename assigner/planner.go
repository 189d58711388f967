package assigner

import (
	"math"
	"slices"
	"strconv"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/ranker"
)

// The bounds of imbalance, as the load of a backend server over the mean load.
const (
	imbalanceStart = 1.12 // Above this, partitions move.
	imbalanceStop  = 1.08 // Down to this, once they move.
	placeBound     = 1.05 // Up to this, a partition goes to the server that ranks first for it.
	coldShare      = 0.25 // Of the mean load, at most, goes to a cold server.
	noiseSigmas    = 3    // Standard deviations of a measured load that are no reason to move.
)

// Candidate is a backend server as a planner sees it.
type Candidate struct {
	partitioner.Server
	// Evacuate says that the server may keep no partition.
	Evacuate bool
	// Receive says that the server may be given partitions.
	Receive bool
	// Cold says that the server bears only a little yet.
	Cold bool
}

// Move is a partition and the server that it should go to.
type Move struct {
	Partition identifier.Partition
	To        partitioner.Server
}

// Plan is what a planner decides.
type Plan struct {
	Evacuations []Move // From servers that may keep no partition; first placements too.
	Balances    []Move // From servers with too much load.
}

// planner holds the loads while a plan is made.
type planner struct {
	assignment *partitioner.Assignment
	weights    []float64
	servers    map[identifier.BackendServer]Candidate
	order      []Candidate // Receivers, sorted by name.
	load       map[identifier.BackendServer]float64
	mean       float64
	measured   bool
	fixed      map[identifier.Partition]bool
}

// Decide plans the moves that a service needs: away from servers that may keep no
// partition, and then from servers whose load is over the bound, at most
// balanceMoves of them. w holds the load of each partition. It moves no
// partition that need not move, and spreads a lost server's partitions over all
// receivers by rendezvous hashing with bounded loads (Mirrokni, Thorup,
// Zadimoghaddam, 2016).
func Decide(a *partitioner.Assignment, w Weights, servers []Candidate, balanceMoves int) Plan {
	p := newPlanner(a, w, servers)
	if len(p.order) == 0 {
		return Plan{}
	}
	return Plan{Evacuations: p.evacuate(), Balances: p.balance(balanceMoves)}
}

func newPlanner(a *partitioner.Assignment, w Weights, servers []Candidate) *planner {
	p := &planner{
		assignment: a, weights: w.Of, measured: w.Measured, fixed: w.Fixed, servers: map[identifier.BackendServer]Candidate{},
		load: map[identifier.BackendServer]float64{},
	}
	for _, s := range servers {
		p.servers[s.ID] = s
		if s.Receive && !s.Evacuate {
			p.order = append(p.order, s)
		}
	}
	slices.SortFunc(p.order, func(x, y Candidate) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	p.sum()
	return p
}

// sum adds up the load of each server; a moving partition counts for its next one.
func (p *planner) sum() {
	total := 0.0
	for n := range p.assignment.Len() {
		part := identifier.Partition(n)
		total += p.weights[n]
		if to, ok := p.assignment.Next(part); ok {
			p.load[to] += p.weights[n]
		} else if owner, _, ok := p.assignment.Owner(part); ok {
			p.load[owner] += p.weights[n]
		}
	}
	holders := 0
	for _, s := range p.servers {
		if !s.Evacuate {
			holders++
		}
	}
	p.mean = total / float64(max(holders, 1))
}

// evacuate places the partitions that have no owner or whose owner may keep none,
// the heaviest first.
func (p *planner) evacuate() []Move {
	var homeless []identifier.Partition
	for n := range p.assignment.Len() {
		part := identifier.Partition(n)
		if _, moving := p.assignment.Next(part); moving {
			continue
		}
		owner, _, owned := p.assignment.Owner(part)
		if !owned && p.assignment.Pinned(part) {
			continue // A pin that is free.
		}
		if s, known := p.servers[owner]; !owned || known && s.Evacuate {
			homeless = append(homeless, part)
		}
	}
	slices.SortStableFunc(homeless, func(x, y identifier.Partition) int {
		return compareDown(p.weights[x], p.weights[y])
	})
	moves := make([]Move, 0, len(homeless))
	for _, part := range homeless {
		owner, _, _ := p.assignment.Owner(part)
		moves = append(moves, p.move(part, owner, p.place(part)))
	}
	return moves
}

func compareDown(x, y float64) int {
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	}
	return 0
}

func (p *planner) move(part identifier.Partition, from identifier.BackendServer, to Candidate) Move {
	p.load[from] -= p.weights[part]
	p.load[to.ID] += p.weights[part]
	return Move{part, to.Server}
}

// place returns the receiver that ranks first among those with room, and without
// any the one with the least load.
func (p *planner) place(part identifier.Partition) Candidate {
	w := p.weights[part]
	task := strconv.Itoa(int(part))
	best, found := Candidate{}, false
	var bestRank uint64
	for _, s := range p.order {
		if p.load[s.ID]+w > p.bound(s) {
			continue
		}
		if rank := ranker.Weight(task, string(s.ID)); !found || rank > bestRank {
			best, bestRank, found = s, rank, true
		}
	}
	if found {
		return best
	}
	return p.leastLoaded()
}

func (p *planner) bound(s Candidate) float64 {
	if s.Cold {
		return coldShare * p.mean
	}
	return placeBound * p.mean
}

func (p *planner) leastLoaded() Candidate {
	best := p.order[0]
	for _, s := range p.order[1:] {
		if best.Cold && !s.Cold || best.Cold == s.Cold && p.load[s.ID] < p.load[best.ID] {
			best = s
		}
	}
	return best
}

// balance moves partitions from the server with the most load to the one with the
// least, while that brings the two closer.
func (p *planner) balance(limit int) []Move {
	var moves []Move
	moved := map[identifier.Partition]bool{}
	for len(moves) < limit {
		from, to := p.extremes()
		threshold := imbalanceStop
		if len(moves) == 0 {
			threshold = imbalanceStart
		}
		if p.load[from] <= threshold*p.mean || p.load[from]-p.mean < p.noise(from) {
			return moves
		}
		part, ok := p.best(from, to, moved)
		if !ok {
			return moves
		}
		moved[part] = true
		moves = append(moves, p.move(part, from, to))
	}
	return moves
}

// noise returns how far a server's measured load may be from its true load by
// chance: noiseSigmas standard deviations of the count of requests in the time that
// the weights remember.
func (p *planner) noise(b identifier.BackendServer) float64 {
	if !p.measured {
		return 0
	}
	return noiseSigmas * math.Sqrt(p.load[b]/weightMemory.Seconds())
}

// extremes returns the server with the most load and the receiver with the least.
func (p *planner) extremes() (from identifier.BackendServer, to Candidate) {
	var most float64
	for _, s := range p.servers {
		l := p.load[s.ID]
		if !s.Evacuate && (from == "" || l > most || l == most && s.ID < from) {
			from, most = s.ID, l
		}
	}
	return from, p.leastLoaded()
}

// best returns the partition of a server whose move leaves the lower peak of the two
// servers, if that is lower than the present one.
func (p *planner) best(from identifier.BackendServer, to Candidate, moved map[identifier.Partition]bool) (identifier.Partition, bool) {
	best, found := identifier.Partition(0), false
	lowest := p.load[from]
	p.assignment.OwnedBy(from, func(part identifier.Partition, _ identifier.Epoch) {
		w := p.weights[part]
		if moved[part] || p.fixed[part] || w <= 0 || to.Cold && p.load[to.ID]+w > p.bound(to) {
			return
		}
		if peak := max(p.load[from]-w, p.load[to.ID]+w); peak < lowest {
			best, found, lowest = part, true, peak
		}
	})
	return best, found
}
