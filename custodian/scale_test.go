package custodian_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

// largeFleet returns the state of one of 118 instances in five zones, with 714 keyed servers and their first allocation,
// and the input of a plan for it.
func largeFleet(tb testing.TB, now time.Time) (*custodian.Custodian, allocator.Input) {
	tb.Helper()
	const instances, zones, servers = 118, 5, 714
	zone := func(n int) identifier.Zone { return identifier.Zone(fmt.Sprintf("zone-%d", n%zones)) }
	ownership := custodian.New(now.Add(-time.Minute), custodian.Settings{
		Instance: "edge-0", Incarnation: 1, Zone: zone(0), CellSize: custodian.CellSize, Capacity: 1,
		Leases: leaser.Settings{LeaseDuration: 3 * time.Second, RenewInterval: 700 * time.Millisecond, ConfirmationTimeout: 20 * time.Second},
	}, func(string, map[string]any) {})
	env := custodian.Environment{Entries: map[identifier.BackendServer]registrar.Entry{}, Keyed: map[identifier.Service]bool{service: true}, StoreUp: true}
	in := allocator.Input{Service: service, Servers: map[identifier.BackendServer]allocator.Server{}}
	for n := range servers {
		e := registrar.Entry{
			ID: identifier.BackendServer(fmt.Sprintf("i-%08x", n*2654435761)), Incarnation: 1, Service: service, Zone: zone(n),
			Address: fmt.Sprintf("10.0.%d.%d:80", n/256, n%256), Slots: 6, State: registrar.Ready, Version: 1,
		}
		env.Entries[e.ID] = e
		in.Servers[e.ID] = allocator.Server{Entry: e, Capacity: 12}
	}
	ownership.SetEnvironment(env)
	for n := 1; n < instances; n++ {
		ownership.HandleState(now, gossiper.State{Instance: identifier.Instance(fmt.Sprintf("edge-%d", n)), Incarnation: 1, Zone: zone(n), SequenceNumber: 1, StoreUp: true, Capacity: 1})
	}
	in.IncarnationEnded = func(identifier.BackendServer, registrar.Incarnation) bool { return false }
	a := allocator.Plan(nil, ownership.CompleteInput(now, in))
	data, err := a.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	ownership.ApplyObjects(now, []storer.Object{{Name: custodian.AllocationPrefix + string(service), Version: 5, Data: data}}, now)
	return ownership, in
}

// BenchmarkLargeFleet measures the regular work of an instance of a large installation.
func BenchmarkLargeFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	ownership, in := largeFleet(b, now)
	b.Run("RosterChanges", func(b *testing.B) {
		for b.Loop() {
			ownership.RosterChanges(now)
		}
	})
	b.Run("DueOrders", func(b *testing.B) {
		for b.Loop() {
			ownership.DueOrders(now)
		}
	})
	b.Run("Planner", func(b *testing.B) {
		for b.Loop() {
			ownership.Planner(now)
		}
	})
	b.Run("Deliveries", func(b *testing.B) {
		for b.Loop() {
			ownership.Gossip.Deliveries(now)
		}
	})
	b.Run("PlanInput", func(b *testing.B) {
		for b.Loop() {
			ownership.CompleteInput(now, in)
		}
	})
	b.Run("Plan", func(b *testing.B) {
		complete := ownership.CompleteInput(now, in)
		for b.Loop() {
			allocator.Plan(ownership.Allocation(service), complete)
		}
	})
	b.Run("PlanBalance", func(b *testing.B) {
		complete := ownership.CompleteInput(now, in)
		complete.Balance = true
		for b.Loop() {
			allocator.Plan(ownership.Allocation(service), complete)
		}
	})
	b.Run("PlanFirst", func(b *testing.B) {
		complete := ownership.CompleteInput(now, in)
		for b.Loop() {
			allocator.Plan(nil, complete)
		}
	})
	a := ownership.Allocation(service)
	data, err := a.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("Encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = a.Encode()
		}
	})
	b.Run("Decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = allocator.Decode(data, 5)
		}
	})
	version := identifier.Version(100)
	b.Run("ApplyObjects", func(b *testing.B) {
		for b.Loop() {
			version++
			ownership.ApplyObjects(now, []storer.Object{{Name: custodian.AllocationPrefix + string(service), Version: version, Data: data}}, now)
		}
	})
	b.Run("State", func(b *testing.B) {
		for b.Loop() {
			ownership.LostServers(now)
			ownership.Releases(now)
		}
	})
	b.Run("SetEnvironment", func(b *testing.B) {
		env := custodian.Environment{Entries: map[identifier.BackendServer]registrar.Entry{}, Keyed: map[identifier.Service]bool{service: true}, StoreUp: true}
		for id, s := range in.Servers {
			env.Entries[id] = s.Entry
		}
		for b.Loop() {
			ownership.SetEnvironment(env)
		}
	})
}
