package conductor

import (
	"context"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/supervisor"
	"github.com/turmericlift/turmericlift/transporter"
)

// validMessages returns encoded messages and a request of another instance that set all fields between them.
func validMessages(t *testing.T) [][]byte {
	t.Helper()
	segment := allocator.Segment{Range: identifier.Range{To: identifier.MaxShardKey}, Owner: "x", Incarnation: 1, Cell: identifier.Cell{Zone: "a"}, Epoch: 1}
	state := gossiper.State{
		Instance: "two", Incarnation: 7, Zone: "b", Address: "127.0.0.1:1", Capacity: 1, SequenceNumber: 3, StoreUp: true,
		Echoes:        []gossiper.Echo{{Instance: "one", Incarnation: 1, SequenceNumber: 9}},
		Confirmations: []gossiper.Confirmation{{Cell: identifier.Cell{Zone: "a"}, Version: 4, AgeMs: 5}},
		Fences:        []gossiper.Fence{{Cell: identifier.Cell{Zone: "a"}, Holder: leaser.Holder{Instance: "three", Incarnation: 2}, AgeMs: 6}},
		Releases:      []allocator.Release{{Service: "s", Range: segment.Range, Epoch: 1, Round: 1}},
		LostServers:   []gossiper.ServerIncarnation{{Server: "x", Incarnation: 1}}, ReplacedServers: []gossiper.ServerIncarnation{{Server: "y", Incarnation: 2}},
		Crashes:        []quarantiner.Crash{{Fingerprint: 5, Run: quarantiner.Run{Server: "x", ServerIncarnation: 1}}},
		KeyRates:       map[identifier.Service]allocator.Sketch{"s": {Ends: []identifier.ShardKey{100, identifier.MaxShardKey}, Rates: []float32{3, float32(math.NaN())}}},
		NewestVersions: map[storer.ObjectKind]identifier.Version{"servers": 3}, ChangedRevisions: map[storer.ObjectKind]identifier.Version{"servers": 3}, AllocationVersions: map[identifier.Service]identifier.Version{"s": 4},
		WrittenObjects:   []storer.Object{{Name: "roster.a", Version: 3, Data: []byte(`{"Cell":{"Zone":"a"}}`)}, {Name: "allocation.s", Version: 2, Data: []byte("{")}},
		AllocationDeltas: []allocator.Delta{{Service: "s", Version: 5, NextEpoch: 2, Changed: []allocator.Segment{segment}}},
		RunningRequests:  map[identifier.BackendServer]int{"x": 1}, WaitingRequests: map[identifier.BackendServer]int{"x": -5},
	}
	messages := []gossiper.Message{
		{State: state, Introduce: true},
		{State: state, Beats: []gossiper.Beat{{Ref: 1, SequenceNumber: 2}}, Profiles: []gossiper.Profile{{Instance: "three", Incarnation: 2, Zone: "c", Address: "127.0.0.1:2", SequenceNumber: 4}},
			Loads: []gossiper.ZoneLoad{{Zone: "c", Number: 1, Counts: []byte{1, 2, 3, 4, 5, 6, 7}}}},
	}
	encoded := [][]byte{}
	for n, m := range messages {
		m.State.SequenceNumber += uint64(n)
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, data)
	}
	return encoded
}

// TestMalformedMessages guards against a malformed message that takes the process down: valid messages of another instance
// are altered at random places, cut, or replaced by noise, and all that follows from them is worked through.
func TestMalformedMessages(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newIdle(&now)
	ctx, cancel := context.WithCancel(context.Background())
	c.tasks = supervisor.New(ctx)
	defer c.tasks.Close()
	defer cancel()
	config, err := transporter.AnonymousTLSConfig(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if c.transport, err = transporter.New("127.0.0.1:0", config, c, rationer.New(1<<20)); err != nil {
		t.Fatal(err)
	}
	valid := validMessages(t)
	rng := rand.New(rand.NewSource(1))
	var report plannerReport
	for n := range 20000 {
		data := append([]byte(nil), valid[rng.Intn(len(valid))]...)
		switch {
		case n < len(valid):
			data = valid[n]
		case n%50 == 0:
			rng.Read(data)
		case n%10 == 0:
			data = data[:rng.Intn(len(data))]
		default:
			for range 1 + rng.Intn(4) {
				data[rng.Intn(len(data))] = byte(rng.Intn(256))
			}
		}
		now = now.Add(5 * time.Millisecond)
		c.HandleMessage(data)
		c.HandleRequest(ctx, transporter.Kind(rng.Intn(5)), data)
		if n%20 != 0 {
			continue
		}
		c.mu.Lock()
		c.messages(now, &report, false)
		c.ownership.DueOrders(now)
		c.ownership.RosterChanges(now)
		allocator.Plan(c.ownership.Allocation("s"), c.planInput(now, "s", true))
		_ = c.dump(now)
		c.mu.Unlock()
	}
	if c.ownership.Gossip.Peer("two") == nil || c.ownership.Gossip.Peer("three") == nil {
		t.Error("the valid messages were not applied")
	}
}
