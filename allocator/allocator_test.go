package allocator_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

var start = time.Unix(1000, 0)

// servers returns n servers of one incarnation each with equal capacity, in requests a second.
func servers(n int, capacity float64) map[identifier.BackendServer]allocator.Server {
	m := map[identifier.BackendServer]allocator.Server{}
	for i := range n {
		id := identifier.BackendServer(fmt.Sprintf("s%02d", i))
		m[id] = allocator.Server{Entry: registrar.Entry{ID: id, Incarnation: 1, Zone: "a", Slots: 4}, Capacity: capacity}
	}
	return m
}

// input returns the input of a plan in a stable cell whose granters release every moving segment at
// once.
func input(s map[identifier.BackendServer]allocator.Server, keyRates *allocator.KeyRates) allocator.Input {
	return allocator.Input{
		Service: "x", Now: start, Servers: s, KeyRates: keyRates, Balance: true,
		IncarnationEnded: func(identifier.BackendServer, registrar.Incarnation) bool { return false },
		Stable:           func(identifier.Cell) bool { return true },
		Released:         func(allocator.Segment) (bool, string) { return true, "token" },
		Stuck:            func(allocator.Segment) (allocator.Fencer, bool) { return allocator.Fencer{}, false },
	}
}

// planUntilStable plans until nothing changes and returns the last allocation. It checks the encoding,
// the delta and the epochs of each version.
func planUntilStable(t *testing.T, a *allocator.Allocation, in allocator.Input) *allocator.Allocation {
	t.Helper()
	for n := range 500 {
		next := allocator.Plan(a, in)
		if next == nil {
			return a
		}
		data, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		next, err = allocator.Decode(data, identifier.Version(n+2))
		if err != nil {
			t.Fatal(err)
		}
		if a != nil {
			applied, err := allocator.Apply(a, allocator.Diff(a, next, next.Version))
			if err != nil || fmt.Sprint(applied.Segments) != fmt.Sprint(next.Segments) {
				t.Fatalf("applying the delta gives %v, error %v; want %v", applied, err, next)
			}
			checkEpochs(t, a, next)
		}
		a = next
	}
	t.Fatal("the allocation still changes after 500 plans")
	return nil
}

// checkEpochs checks that a key changes its owner only after a prepare, and to a higher epoch.
func checkEpochs(t *testing.T, a, next *allocator.Allocation) {
	t.Helper()
	for key := 0; key < identifier.ShardKeyCount; key += 61 {
		before, after := a.Find(identifier.ShardKey(key)), next.Find(identifier.ShardKey(key))
		if before.Owner == after.Owner && before.Epoch == after.Epoch {
			continue
		}
		if before.Owner != "" && !before.Moving || after.Epoch <= before.Epoch {
			t.Fatalf("key %d changes from segment %+v to %+v without a prepare or a higher epoch", key, *before, *after)
		}
	}
}

// owners returns the number of keys of each owner.
func owners(a *allocator.Allocation) map[identifier.BackendServer]int {
	m := map[identifier.BackendServer]int{}
	for _, s := range a.Segments {
		m[s.Owner] += s.Range.Len()
	}
	return m
}

// TestNeighboursSpread guards against a first allocation that leaves a run of busy neighbouring keys
// to few servers. At that time no request rates are known, so any such run must be spread over many
// servers.
func TestNeighboursSpread(t *testing.T) {
	a := planUntilStable(t, nil, input(servers(21, 30), nil))
	const run = 2000 // The run is 3 % of all keys.
	for from := 0; from+run < identifier.ShardKeyCount; from += 997 {
		holders := map[identifier.BackendServer]bool{}
		for key := from; key < from+run; key += 50 {
			holders[a.Find(identifier.ShardKey(key)).Owner] = true
		}
		if len(holders) < 5 {
			t.Errorf("keys %d to %d have only %d owners, want at least 5", from, from+run, len(holders))
		}
	}
	for id, n := range owners(a) {
		if n < 2500 || n > 3800 {
			t.Errorf("%s owns %d of %d keys, want 2500 to 3800", id, n, identifier.ShardKeyCount)
		}
	}
}

// keyRates returns rates of perSecond requests a second for each of the keys, and none for the others.
func keyRates(perSecond float32, keys ...identifier.ShardKey) *allocator.KeyRates {
	var sketches []allocator.Sketch
	for _, k := range keys {
		s := allocator.Sketch{}
		if k > 0 {
			s.Ends, s.Rates = append(s.Ends, k-1), append(s.Rates, 0)
		}
		s.Ends, s.Rates = append(s.Ends, k, identifier.MaxShardKey), append(s.Rates, perSecond, 0)
		sketches = append(sketches, s)
	}
	return allocator.NewKeyRates(sketches)
}

// TestHotNeighbours guards against busy neighbouring keys that stay with few servers. 60 neighbouring
// keys get most of the requests; they must end up on many servers, none of them with a load far above the
// mean.
func TestHotNeighbours(t *testing.T) {
	in := input(servers(8, 30), nil)
	a := planUntilStable(t, nil, in)
	var keys []identifier.ShardKey
	for k := range 60 {
		keys = append(keys, identifier.ShardKey(30000+k))
	}
	in.KeyRates = keyRates(2, keys...)
	a = planUntilStable(t, a, in)
	load := map[identifier.BackendServer]int{}
	for _, k := range keys {
		load[a.Find(k).Owner] += 2
	}
	for id, l := range load {
		if l > 24 { // 1.3 times the mean of 15, plus the granularity of keys and the keys owned at first.
			t.Errorf("%s gets %d of 120 requests a second over 8 servers, want at most 24", id, l)
		}
	}
}

// TestOneHotKey guards against useless moves of a key that no server can run: moving it would only
// move the overload, so the key must stay.
func TestOneHotKey(t *testing.T) {
	in := input(servers(4, 30), nil)
	a := planUntilStable(t, nil, in)
	before := a.Find(7).Owner
	in.KeyRates = keyRates(100, 7)
	a = planUntilStable(t, a, in)
	if s := a.Find(7); s.Owner != before {
		t.Errorf("the overloaded key moved from %s to %s", before, s.Owner)
	}
}

// TestHotKeyToFasterServer guards against a key that stays with a server that cannot run it while
// another server is twice as fast and has little to do. The key must move there, without its
// neighbours.
func TestHotKeyToFasterServer(t *testing.T) {
	s := servers(4, 30)
	in := input(s, nil)
	a := planUntilStable(t, nil, in)
	owner := a.Find(700).Owner
	for id, server := range s {
		if id != owner {
			server.Capacity = 60
			s[id] = server
			break
		}
	}
	in.KeyRates = keyRates(80, 700)
	a = planUntilStable(t, a, in)
	if got := s[a.Find(700).Owner].Capacity; got != 60 || a.Find(701).Owner == a.Find(700).Owner {
		t.Errorf("the owner of the overloaded key has capacity %.0f, want 60; its neighbour belongs to %s", got, a.Find(701).Owner)
	}
}

// TestBesideOneHotKey guards against keys that wait behind an overloaded one. One key gets more
// requests than any server can run, every other key gets few. The owner of the busy key must give the
// others away.
func TestBesideOneHotKey(t *testing.T) {
	in := input(servers(4, 30), nil)
	a := planUntilStable(t, nil, in)
	everywhere := allocator.Sketch{Ends: []identifier.ShardKey{identifier.MaxShardKey}, Rates: []float32{40}}
	hot := allocator.Sketch{Ends: []identifier.ShardKey{6, 7, identifier.MaxShardKey}, Rates: []float32{0, 100, 0}}
	in.KeyRates = allocator.NewKeyRates([]allocator.Sketch{everywhere, hot})
	a = planUntilStable(t, a, in)
	owner := a.Find(7).Owner
	if n := owners(a)[owner]; n > identifier.ShardKeyCount/16 {
		t.Errorf("%s owns the overloaded key and %d keys in all, want at most a sixteenth of all keys", owner, n)
	}
}

// TestDecode guards against invalid allocations that are accepted from the platform.
func TestDecode(t *testing.T) {
	cases := map[string]struct {
		data string
		ok   bool
	}{
		"Whole":        {`{"Service":"x","NextEpoch":2,"Owners":[{"Server":"s"}],"To":[9,65535],"Owner":[0,-1],"Epoch":[1,0]}`, true},
		"Gap":          {`{"Service":"x","NextEpoch":2,"To":[9,100],"Owner":[-1,-1],"Epoch":[1,0]}`, false},
		"Backwards":    {`{"Service":"x","NextEpoch":2,"To":[9,8,65535],"Owner":[-1,-1,-1],"Epoch":[1,0,0]}`, false},
		"Beyond":       {`{"Service":"x","NextEpoch":2,"To":[65535,5],"Owner":[-1,-1],"Epoch":[1,0]}`, false},
		"NoSuchOwner":  {`{"Service":"x","NextEpoch":2,"To":[65535],"Owner":[3],"Epoch":[1]}`, false},
		"ShortColumn":  {`{"Service":"x","NextEpoch":2,"To":[65535],"Owner":[],"Epoch":[1]}`, false},
		"HighEpoch":    {`{"Service":"x","NextEpoch":2,"To":[65535],"Owner":[-1],"Epoch":[2]}`, false},
		"StrayDetails": {`{"Service":"x","NextEpoch":2,"To":[65535],"Owner":[-1],"Epoch":[1],"Details":[{"Segment":1}]}`, false},
		"Empty":        {`{}`, false},
		"Cut":          {`{"Service":`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := allocator.Decode([]byte(c.data), 1); (err == nil) != c.ok {
				t.Errorf("decoding returned error %v, want success %t", err, c.ok)
			}
		})
	}
}

// TestRandomVariationMovesNothing guards against moves that react to chance. The load is even, on 175 servers
// that get eleven requests a second each, so at any moment some show much more than the mean. No key
// may move because of that.
func TestRandomVariationMovesNothing(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	in := input(servers(175, 24), nil)
	a := planUntilStable(t, nil, in)
	counter := allocator.NewCounter(start)
	const perSecond, step = 175 * 11, 100 * time.Millisecond
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
		for range int(perSecond * step.Seconds()) {
			counter.Add(identifier.ShardKey(rng.Intn(identifier.ShardKeyCount)))
		}
		in.KeyRates = allocator.NewKeyRates([]allocator.Sketch{counter.Sketch(now)})
		if now.Sub(start) > 5*time.Second && allocator.Plan(a, in) != nil {
			t.Fatalf("keys move %s after the start although the load is even", now.Sub(start))
		}
	}
}

// TestOverloadInSmallSegments guards against an overload that persists because it is spread over many small
// segments. Each of 60 servers gets ten requests a second, but one gets 16, and its keys lie in small
// segments between those of others. It must be left with no more than 1.3 times the mean, which
// balance accepts, plus a deviation of 1.9.
func TestOverloadInSmallSegments(t *testing.T) {
	rng := rand.New(rand.NewSource(7))
	in := input(servers(60, 18), nil)
	a := planUntilStable(t, nil, in)
	overloaded := a.Segments[0].Owner
	var extra []identifier.Range
	for _, s := range a.Segments {
		if s.Owner == overloaded {
			extra = append(extra, s.Range)
		}
	}
	counter := allocator.NewCounter(start)
	const step = 100 * time.Millisecond
	for now := start; now.Before(start.Add(8 * time.Second)); now = now.Add(step) {
		for range 60 {
			counter.Add(identifier.ShardKey(rng.Intn(identifier.ShardKeyCount)))
		}
		r := extra[rng.Intn(len(extra))]
		if rng.Intn(10) < 6 {
			counter.Add(r.From + identifier.ShardKey(rng.Intn(r.Len())))
		}
		in.KeyRates = allocator.NewKeyRates([]allocator.Sketch{counter.Sketch(now)})
		if next := allocator.Plan(a, in); next != nil {
			a = next
		}
	}
	left := 0
	for _, r := range extra {
		for k := int(r.From); k <= int(r.To); k++ {
			if a.Find(identifier.ShardKey(k)).Owner == overloaded {
				left++
			}
		}
	}
	if rate := 16 * float64(left) / float64(identifier.ShardKeyCount/60); rate > 13+1.9 {
		t.Errorf("the server still gets %.1f requests a second, want at most 14.9 with a mean of 10", rate)
	}
}

// TestBesideOverloadedServer guards against one overloaded server that keeps balance from relieving
// another. One key gets three times as many requests as any server can run, so its server cannot be
// relieved. The many keys of another server get twice as many as it can run; that server must be
// relieved to 1.3 times the mean, which balance accepts.
func TestBesideOverloadedServer(t *testing.T) {
	in := input(servers(6, 100), nil)
	a := planUntilStable(t, nil, in)
	hot, busy := identifier.ShardKey(100), a.Find(60000).Range
	if a.Find(hot).Owner == a.Find(busy.From).Owner {
		t.Fatal("the two busy ranges have the same owner at first")
	}
	sketch := allocator.Sketch{
		Ends:  []identifier.ShardKey{hot - 1, hot, busy.From - 1, busy.To, identifier.MaxShardKey},
		Rates: []float32{0, 300, 0, 200, 0},
	}
	if busy.To == identifier.MaxShardKey {
		sketch.Ends, sketch.Rates = sketch.Ends[:4], sketch.Rates[:4]
	}
	in.KeyRates = allocator.NewKeyRates([]allocator.Sketch{sketch})
	a = planUntilStable(t, a, in)
	rates := map[identifier.BackendServer]float64{}
	for _, s := range a.Segments {
		rates[s.Owner] += in.KeyRates.Rate(s.Range)
	}
	for owner, rate := range rates {
		if owner != a.Find(hot).Owner && rate > 1.3*100 {
			t.Errorf("%s gets %.0f requests a second, want at most 130 for all servers but one", owner, rate)
		}
	}
}

// TestServersLeave guards against keys that stay with a server that drains, is lost or is excluded. It
// also checks that a new incarnation is assigned its keys anew and that a server that joins gets some
// keys.
func TestServersLeave(t *testing.T) {
	s := servers(6, 30)
	in := input(s, nil)
	a := planUntilStable(t, nil, in)
	change := func(id identifier.BackendServer, do func(*allocator.Server)) {
		server := s[id]
		do(&server)
		s[id] = server
	}
	change("s00", func(x *allocator.Server) { x.State = registrar.Draining })
	change("s01", func(x *allocator.Server) { x.Lost = true })
	change("s02", func(x *allocator.Server) { x.Excluded = true })
	change("s03", func(x *allocator.Server) { x.Incarnation = 2 })
	a = planUntilStable(t, a, in)
	for id, n := range owners(a) {
		if id < "s03" {
			t.Errorf("%s still owns %d keys although it is draining, lost or excluded", id, n)
		}
	}
	for _, seg := range a.Segments {
		if seg.Owner == "s03" && seg.Incarnation != 2 {
			t.Errorf("segment %+v belongs to an incarnation that has ended", seg)
		}
	}
	in.Servers["s06"] = allocator.Server{Entry: registrar.Entry{ID: "s06", Incarnation: 1, Zone: "a"}, Capacity: 30}
	if a = planUntilStable(t, a, in); owners(a)["s06"] == 0 {
		t.Error("the server that joined owns no keys")
	}
}

// TestEndedIncarnation guards against waiting for the granters of an incarnation that has ended: its keys must be
// reassigned without their releases.
func TestEndedIncarnation(t *testing.T) {
	s := servers(4, 30)
	in := input(s, nil)
	a := planUntilStable(t, nil, in)
	delete(s, "s00")
	in.Released = func(allocator.Segment) (bool, string) { return false, "" }
	in.IncarnationEnded = func(id identifier.BackendServer, inc registrar.Incarnation) bool { return id == "s00" && inc == 1 }
	if n := owners(planUntilStable(t, a, in))["s00"]; n > 0 {
		t.Errorf("an incarnation that has ended still owns %d keys", n)
	}
}

// TestUnstableCell guards against moves of keys whose owner only seems to be gone. A missing entry must
// not lead to a move while some granters of the zone have not been heard from, since the same network
// fault may hide the entry.
func TestUnstableCell(t *testing.T) {
	s := servers(4, 30)
	in := input(s, nil)
	a := planUntilStable(t, nil, in)
	delete(s, "s00")
	in.Stable = func(identifier.Cell) bool { return false }
	if next := allocator.Plan(a, in); next != nil {
		t.Errorf("planned %+v although the cell is not stable, want no change", next)
	}
}

// TestSketch guards against sketches that misplace requests or decay them at a wrong rate, with a
// random load.
func TestSketch(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	c := allocator.NewCounter(start)
	for range 20000 {
		c.Add(identifier.ShardKey(40000 + int(rng.NormFloat64()*50)))
	}
	rates := allocator.NewKeyRates([]allocator.Sketch{c.Sketch(start)})
	all := rates.Rate(identifier.Range{To: identifier.MaxShardKey})
	middle := rates.Rate(identifier.Range{From: 39950, To: 40050})
	if share := middle / all; share < 0.6 || share > 0.75 {
		t.Errorf("%.2f of the load is within one standard deviation, want 0.6 to 0.75", share)
	}
	later := allocator.NewKeyRates([]allocator.Sketch{c.Sketch(start.Add(time.Second))})
	if faded := later.Rate(identifier.Range{To: identifier.MaxShardKey}) / all; faded < 0.45 || faded > 0.55 {
		t.Errorf("%.2f of the load is left after a half-life, want 0.45 to 0.55", faded)
	}
}

// FuzzDecode guards against decoded allocations that are accepted although they lack a key.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Service":"x","NextEpoch":2,"Segments":[{"Range":{"From":0,"To":65535},"Owner":"a","Epoch":1}]}`))
	f.Add([]byte(`{"Segments":[{"Range":{"From":0,"To":1}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := allocator.Decode(data, 1)
		if err != nil {
			return
		}
		if a.Find(0) == nil || a.Find(identifier.MaxShardKey) == nil {
			t.Error("an accepted allocation has no segment for the first or the last key")
		}
	})
}
