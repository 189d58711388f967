package assigner

import (
	"math"
	"slices"
	"strconv"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/ranker"
)

// The bounds of imbalance. Except for noiseSigmas, they are the load of a backend server divided by
// the mean load.
const (
	// imbalanceStart is the imbalance above which balancing starts to move partitions.
	imbalanceStart = 1.12
	// imbalanceStop is the imbalance down to which balancing goes on once it has started.
	imbalanceStop = 1.08
	// placeBound is the imbalance up to which a partition goes to the server that ranks first for it.
	placeBound = 1.05
	// coldShare is the highest load that a cold server is given while another server can receive.
	coldShare = 0.25
	// noiseSigmas is how many standard deviations a measured load must be above the mean before
	// balancing moves partitions because of it.
	noiseSigmas = 3
)

// Candidate is a backend server together with what a plan may do with it.
type Candidate struct {
	partitioner.Server
	// Evacuate is true if the server may not keep any partition.
	Evacuate bool
	// Receive is true if the server may receive partitions.
	Receive bool
	// Cold is true if the server can run only a small load yet.
	Cold bool
}

// Move names a partition and the backend server that should own it next.
type Move struct {
	Partition identifier.Partition
	To        partitioner.Server
}

// Plan lists the moves that a service needs. No partition is in both lists.
type Plan struct {
	// Evacuations are the moves away from servers that may not keep partitions, and the first
	// placements of partitions without an owner.
	Evacuations []Move
	// Balances are the moves away from servers with too much load.
	Balances []Move
}

// planner computes one plan. It keeps the load that each server will have once the moves chosen so
// far are done.
type planner struct {
	assignment *partitioner.Assignment
	weights    []float64 // The load of each partition.
	servers    map[identifier.BackendServer]Candidate
	receivers  []Candidate // Servers that may receive partitions, sorted by name.
	load       map[identifier.BackendServer]float64
	mean       float64 // The mean load of the servers that may keep partitions.
	measured   bool
	fixed      map[identifier.Partition]bool
}

// PlanMoves plans the moves that a service needs: first those away from servers that may not keep any
// partition, then at most balanceMoves moves away from servers whose load is above the bound. w holds
// the load of each partition. The plan moves no partition without need. It spreads a lost server's
// partitions over all receivers by rendezvous hashing with bounded loads (Mirrokni, Thorup,
// Zadimoghaddam, 2016). The plan is empty if no server may receive partitions.
func PlanMoves(a *partitioner.Assignment, w Weights, servers []Candidate, balanceMoves int) Plan {
	p := newPlanner(a, w, servers)
	if len(p.receivers) == 0 {
		return Plan{}
	}
	return Plan{Evacuations: p.evacuate(), Balances: p.balance(balanceMoves)}
}

func newPlanner(a *partitioner.Assignment, w Weights, servers []Candidate) *planner {
	p := &planner{
		assignment: a, weights: w.ByPartition, measured: w.Measured, fixed: w.Fixed, servers: map[identifier.BackendServer]Candidate{},
		load: map[identifier.BackendServer]float64{},
	}
	for _, s := range servers {
		p.servers[s.ID] = s
		if s.Receive && !s.Evacuate {
			p.receivers = append(p.receivers, s)
		}
	}
	slices.SortFunc(p.receivers, func(x, y Candidate) int {
		if x.ID < y.ID {
			return -1
		}
		return 1
	})
	p.sumLoads()
	return p
}

// sumLoads computes the load of each server and their mean. A moving partition counts for its next
// owner.
func (p *planner) sumLoads() {
	total := 0.0
	for n := range p.assignment.Len() {
		part := identifier.Partition(n)
		total += p.weights[n]
		if to, ok := p.assignment.NextOwner(part); ok {
			p.load[to] += p.weights[n]
		} else if owner, _, ok := p.assignment.Owner(part); ok {
			p.load[owner] += p.weights[n]
		}
	}
	eligible := 0
	for _, s := range p.servers {
		if !s.Evacuate {
			eligible++
		}
	}
	p.mean = total / float64(max(eligible, 1))
}

// evacuate returns a move for each partition that has no owner or whose owner may not keep any, in
// falling order of load. It leaves out partitions that are moving already.
func (p *planner) evacuate() []Move {
	var unplaced []identifier.Partition
	for n := range p.assignment.Len() {
		part := identifier.Partition(n)
		if _, moving := p.assignment.NextOwner(part); moving {
			continue
		}
		owner, _, owned := p.assignment.Owner(part)
		if !owned && p.assignment.IsPinPartition(part) {
			continue // The partition of a former pinned key: no key belongs to it.
		}
		if s, known := p.servers[owner]; !owned || known && s.Evacuate {
			unplaced = append(unplaced, part)
		}
	}
	slices.SortStableFunc(unplaced, func(x, y identifier.Partition) int {
		return compareDown(p.weights[x], p.weights[y])
	})
	moves := make([]Move, 0, len(unplaced))
	for _, part := range unplaced {
		owner, _, _ := p.assignment.Owner(part)
		moves = append(moves, p.move(part, owner, p.receiverFor(part)))
	}
	return moves
}

// compareDown compares two numbers for a sort in falling order.
func compareDown(x, y float64) int {
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	}
	return 0
}

// move returns the move of a partition to a server, and counts the partition's load for that server.
func (p *planner) move(part identifier.Partition, from identifier.BackendServer, to Candidate) Move {
	p.load[from] -= p.weights[part]
	p.load[to.ID] += p.weights[part]
	return Move{part, to.Server}
}

// receiverFor returns the server that should receive a partition: the one that ranks first among the
// receivers that stay within their bound with it, or, if there is none, the least loaded one.
func (p *planner) receiverFor(part identifier.Partition) Candidate {
	w := p.weights[part]
	task := strconv.Itoa(int(part))
	best, found := Candidate{}, false
	var bestRank uint64
	for _, s := range p.receivers {
		if p.load[s.ID]+w > p.loadBound(s) {
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

// loadBound returns the load up to which a server receives the partitions for which it ranks first.
func (p *planner) loadBound(s Candidate) float64 {
	if s.Cold {
		return coldShare * p.mean
	}
	return placeBound * p.mean
}

// leastLoaded returns the receiver with the least load. It returns a cold one only if all are cold.
func (p *planner) leastLoaded() Candidate {
	best := p.receivers[0]
	for _, s := range p.receivers[1:] {
		if best.Cold && !s.Cold || best.Cold == s.Cold && p.load[s.ID] < p.load[best.ID] {
			best = s
		}
	}
	return best
}

// balance returns at most limit moves, each from the server with the most load to the receiver with
// the least. It stops when no move brings the two loads closer together, or when the highest load no
// longer exceeds the bound or is within the noise of the mean.
func (p *planner) balance(limit int) []Move {
	var moves []Move
	moved := map[identifier.Partition]bool{}
	for len(moves) < limit {
		from, to := p.extremes()
		threshold := imbalanceStop
		if len(moves) == 0 {
			threshold = imbalanceStart
		}
		if p.load[from] <= threshold*p.mean || p.load[from]-p.mean < p.loadNoise(from) {
			return moves
		}
		part, ok := p.bestPartition(from, to, moved)
		if !ok {
			return moves
		}
		moved[part] = true
		moves = append(moves, p.move(part, from, to))
	}
	return moves
}

// loadNoise returns how far a server's measured load may be from its true load by chance: noiseSigmas
// standard deviations of the number of requests in smoothingTime, the time over which the weights are
// smoothed. It is 0 if the loads are not measured.
func (p *planner) loadNoise(b identifier.BackendServer) float64 {
	if !p.measured {
		return 0
	}
	return noiseSigmas * math.Sqrt(p.load[b]/smoothingTime.Seconds())
}

// extremes returns the server with the most load, among those that may keep partitions, and the
// receiver with the least load.
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

// bestPartition returns the partition of the server from whose move to the server to leaves the lowest
// maximum of the two servers' loads. It reports false if no move makes that maximum lower than from's
// present load. It skips partitions that are in moved or fixed, and those that would load a cold
// server above its bound.
func (p *planner) bestPartition(from identifier.BackendServer, to Candidate, moved map[identifier.Partition]bool) (identifier.Partition, bool) {
	best, found := identifier.Partition(0), false
	lowest := p.load[from]
	p.assignment.OwnedBy(from, func(part identifier.Partition, _ identifier.Epoch) {
		w := p.weights[part]
		if moved[part] || p.fixed[part] || w <= 0 || to.Cold && p.load[to.ID]+w > p.loadBound(to) {
			return
		}
		if peak := max(p.load[from]-w, p.load[to.ID]+w); peak < lowest {
			best, found, lowest = part, true, peak
		}
	})
	return best, found
}
