package router

import (
	"fmt"
	"testing"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

func keyedService(t testing.TB, partitions, servers int) *Service {
	t.Helper()
	a, err := partitioner.New(partitions)
	if err != nil {
		t.Fatal(err)
	}
	s := &Service{Assignment: a, Servers: map[identifier.BackendServer]*Server{}}
	for n := range servers {
		id := identifier.BackendServer(fmt.Sprintf("server-%d", n))
		s.Servers[id] = &Server{ID: id, Zone: "zone-0", Coordinator: "instance-0", Usable: true}
	}
	for p := range partitions {
		server := partitioner.Server{ID: identifier.BackendServer(fmt.Sprintf("server-%d", p%servers)), Zone: "zone-0"}
		if err := a.Place(identifier.Partition(p), server); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// TestRouteKey is the table of refusals.
func TestRouteKey(t *testing.T) {
	t.Parallel()
	whole := keyedService(t, 8, 2)
	unplaced := keyedService(t, 8, 2)
	unplaced.Assignment, _ = partitioner.New(8)
	unknown := keyedService(t, 8, 2)
	unknown.Servers = map[identifier.BackendServer]*Server{}
	orphan := keyedService(t, 8, 2)
	for _, s := range orphan.Servers {
		s.Coordinator = ""
	}
	cases := []struct {
		name string
		s    *Service
		want answerer.Code
	}{
		{"Routed", whole, answerer.CodeOK},
		{"NoAssignment", &Service{}, answerer.CodeNoOwner},
		{"NotPlaced", unplaced, answerer.CodeNoOwner},
		{"ServerNotListed", unknown, answerer.CodeNoBackendServer},
		{"NoCoordinator", orphan, answerer.CodeNoCoordinator},
	}
	for _, c := range cases {
		if _, got := c.s.RouteKey("key"); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// BenchmarkRouteKey measures a routing decision at the largest size of a service.
func BenchmarkRouteKey(b *testing.B) {
	s := keyedService(b, partitioner.MaxPartitions, 1800)
	keys := make([]identifier.Key, 1024)
	for n := range keys {
		keys[n] = identifier.Key(fmt.Sprintf("shelter-%d/log", n))
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if _, code := s.RouteKey(keys[n&1023]); code != answerer.CodeOK {
			b.Fatal(code)
		}
		n++
	}
}

// TestRouteKeyAllocatesNothing holds the request path to its bound.
func TestRouteKeyAllocatesNothing(t *testing.T) {
	s := keyedService(t, 1024, 20)
	if n := testing.AllocsPerRun(100, func() { s.RouteKey("shelter-1/log") }); n != 0 {
		t.Errorf("%v allocations, want none", n)
	}
}
