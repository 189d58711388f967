package assigner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// The bounds that the users require: the load of the most loaded server divided by the mean, and the
// number of moves after the loss of a server divided by the least possible number.
const (
	boundImbalance = 1.15
	boundChurn     = 1.2
)

// candidates returns n backend servers of one zone that may keep and receive partitions.
func candidates(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		all[i] = Candidate{Server: partitioner.Server{ID: identifier.BackendServer(fmt.Sprintf("server-%03d", i)), Zone: "zone-0"}, Receive: true}
	}
	return all
}

// zipf returns the loads of partitions: the loads of the keys follow Zipf's law, with 1 for the most
// loaded one, and each key belongs to a random partition.
func zipf(partitions, keys int, exponent float64, seed uint64) Weights {
	r := rand.New(rand.NewPCG(seed, seed))
	w := Weights{ByPartition: make([]float64, partitions)}
	for k := range keys {
		w.ByPartition[r.IntN(partitions)] += 1 / math.Pow(float64(k+1), exponent)
	}
	return w
}

// placeAll returns an assignment in which all partitions have got their first owner.
func placeAll(t testing.TB, partitions int, w Weights, servers []Candidate) *partitioner.Assignment {
	t.Helper()
	a, err := partitioner.New(partitions)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range PlanMoves(a, w, servers, 0).Evacuations {
		if err := a.SetFirstOwner(m.Partition, m.To); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

// applyMoves prepares and commits each move at once and returns the number of moves.
func applyMoves(t testing.TB, a *partitioner.Assignment, moves []Move) int {
	t.Helper()
	for _, m := range moves {
		if err := a.Prepare(m.Partition, m.To); err != nil {
			t.Fatal(err)
		}
		if err := a.Commit(m.Partition); err != nil {
			t.Fatal(err)
		}
	}
	return len(moves)
}

// imbalance returns the load of the most loaded server divided by the mean load.
func imbalance(a *partitioner.Assignment, w Weights, servers int) float64 {
	load := map[identifier.BackendServer]float64{}
	total, most := 0.0, 0.0
	for p := range a.Len() {
		owner, _, _ := a.Owner(identifier.Partition(p))
		load[owner] += w.ByPartition[p]
		total += w.ByPartition[p]
		most = max(most, load[owner])
	}
	return most / (total / float64(servers))
}

// balanceFully applies plans until one has no balancing moves, and returns the number of moves. It
// fails the test if that takes more than 1000 plans.
func balanceFully(t testing.TB, a *partitioner.Assignment, w Weights, servers []Candidate) int {
	t.Helper()
	moves := 0
	for range 1000 {
		n := applyMoves(t, a, PlanMoves(a, w, servers, 4).Balances)
		if n == 0 {
			return moves
		}
		moves += n
	}
	t.Fatal("balancing did not end: the 1000th plan still moves partitions")
	return moves
}

// TestBalance guards against plans that leave servers unevenly loaded. The loads of keys follow Zipf's
// law. After balancing, the imbalance must be within the bound, or at the least that the most loaded
// partition allows.
func TestBalance(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ partitions, servers int }{{256, 20}, {256, 30}, {1024, 60}} {
		for seed := range uint64(20) {
			w := zipf(size.partitions, 100000, 1.0, seed)
			servers := candidates(size.servers)
			a := placeAll(t, size.partitions, Weights{ByPartition: ones(size.partitions)}, servers)
			before := imbalance(a, w, size.servers)
			moves := balanceFully(t, a, w, servers)
			least := leastImbalance(w, size.servers)
			if got := imbalance(a, w, size.servers); got > max(boundImbalance, least) {
				t.Errorf("%v, seed %d: imbalance is %.3f after %d balancing moves, %.3f before; want at most %.2f, or the least possible, %.3f",
					size, seed, got, moves, before, boundImbalance, least)
			}
		}
	}
}

// leastImbalance returns the imbalance that no assignment can go below: a server that owns only the
// most loaded partition has it.
func leastImbalance(w Weights, servers int) float64 {
	total, most := 0.0, 0.0
	for _, x := range w.ByPartition {
		total += x
		most = max(most, x)
	}
	return most / (total / float64(servers))
}

// ones returns the same weight, 1, for each of n partitions.
func ones(n int) []float64 {
	w := make([]float64, n)
	for p := range w {
		w[p] = 1
	}
	return w
}

// TestChurn guards against plans that move too much after the loss of one server: the number of moves
// must stay close to the number of partitions that the lost server owned, and those partitions must
// be spread over the servers that are left.
func TestChurn(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		servers := candidates(rapid.IntRange(5, 40).Draw(t, "Servers"))
		partitions := 256
		a := assignmentFor(t, partitions, servers)
		lost := rapid.IntRange(0, len(servers)-1).Draw(t, "Lost")
		owned := 0
		a.OwnedBy(servers[lost].ID, func(identifier.Partition, identifier.Epoch) { owned++ })
		servers[lost].Evacuate = true
		w := Weights{ByPartition: ones(partitions)}
		plan := PlanMoves(a, w, servers, 100)
		receivers := map[identifier.BackendServer]int{}
		for _, m := range plan.Evacuations {
			receivers[m.To.ID]++
		}
		if n := len(plan.Evacuations) + len(plan.Balances); float64(n) > boundChurn*float64(owned) {
			t.Fatalf("the plan after the loss of a server has %d moves; the lost server owned only %d partitions", n, owned)
		}
		for id, n := range receivers {
			if n > max(2, owned/2) {
				t.Fatalf("%s receives %d of the lost server's %d partitions, want them spread", id, n, owned)
			}
		}
	})
}

// assignmentFor returns an assignment in which all partitions have got their first owner.
func assignmentFor(t *rapid.T, partitions int, servers []Candidate) *partitioner.Assignment {
	a, err := partitioner.New(partitions)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range PlanMoves(a, Weights{ByPartition: ones(partitions)}, servers, 0).Evacuations {
		if err := a.SetFirstOwner(m.Partition, m.To); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

// TestNoBalanceOnNoise guards against balancing moves that follow chance: with a few requests per
// second in total, the measured loads of servers differ although their true loads do not.
func TestNoBalanceOnNoise(t *testing.T) {
	t.Parallel()
	servers := candidates(6)
	a := placeAll(t, 64, Weights{ByPartition: ones(64)}, servers)
	r := rand.New(rand.NewPCG(1, 1))
	w := Weights{ByPartition: ones(64), Measured: true}
	for p := range w.ByPartition {
		w.ByPartition[p] = 0.05 + float64(r.IntN(2))/5
	}
	if moves := PlanMoves(a, w, servers, 100).Balances; len(moves) > 0 {
		t.Errorf("plan has %d balancing moves at a load of a few requests per second, want none", len(moves))
	}
}

// TestColdServerShare guards against evacuations that overload a cold server: it must receive some
// partitions, but no more than coldShare of the mean.
func TestColdServerShare(t *testing.T) {
	t.Parallel()
	servers := candidates(5)
	a := placeAll(t, 256, Weights{ByPartition: ones(256)}, servers[:4])
	servers[4].Cold = true
	servers[0].Evacuate = true
	w := Weights{ByPartition: ones(256)}
	applyMoves(t, a, PlanMoves(a, w, servers, 100).Evacuations)
	cold := 0
	a.OwnedBy(servers[4].ID, func(identifier.Partition, identifier.Epoch) { cold++ })
	if most := int(coldShare * 256 / 4); cold == 0 || cold > most {
		t.Errorf("the cold server owns %d partitions after the evacuation, want 1 to %d", cold, most)
	}
}

// TestBalanceLimit guards against balancing faster than BalanceMovesPerMinute allows, or more often
// than once every balanceInterval.
func TestBalanceLimit(t *testing.T) {
	t.Parallel()
	cases := []struct {
		perMinute int
		since     time.Duration
		want      int
	}{
		{0, time.Hour, 0},
		{120, time.Second, 0},
		{120, 2 * time.Second, 4},
		{6, 9 * time.Second, 0},
		{6, 10 * time.Second, 1},
	}
	for _, c := range cases {
		if got := balanceLimit(c.perMinute, c.since); got != c.want {
			t.Errorf("balanceLimit(%d a minute, %s after the last move) = %d, want %d", c.perMinute, c.since, got, c.want)
		}
	}
}

// BenchmarkPlanMoves measures the time for a plan after the loss of one server, for services of three
// sizes.
func BenchmarkPlanMoves(b *testing.B) {
	for _, size := range []struct{ partitions, servers int }{{256, 20}, {4096, 120}, {65536, 1800}} {
		b.Run(fmt.Sprintf("%dx%d", size.partitions, size.servers), func(b *testing.B) {
			servers := candidates(size.servers)
			w := Weights{ByPartition: ones(size.partitions)}
			a := placeAll(b, size.partitions, w, servers)
			servers[1].Evacuate = true
			for b.Loop() {
				PlanMoves(a, w, servers, 4)
			}
		})
	}
}
