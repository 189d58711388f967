package router

import (
	"fmt"
	"testing"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// keyedService returns a service whose partitions are assigned to its servers in turn.
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
		if err := a.SetFirstOwner(identifier.Partition(p), server); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// TestRouteKey guards against a route to a server that cannot run the request, and against a code that
// does not name the missing part of the route.
func TestRouteKey(t *testing.T) {
	t.Parallel()
	routable := keyedService(t, 8, 2)
	unassigned := keyedService(t, 8, 2)
	unassigned.Assignment, _ = partitioner.New(8)
	unlisted := keyedService(t, 8, 2)
	unlisted.Servers = map[identifier.BackendServer]*Server{}
	uncoordinated := keyedService(t, 8, 2)
	for _, s := range uncoordinated.Servers {
		s.Coordinator = ""
	}
	cases := []struct {
		name string
		s    *Service
		want answerer.Code
	}{
		{"Routed", routable, answerer.CodeOK},
		{"NoAssignment", &Service{}, answerer.CodeNoOwner},
		{"NotPlaced", unassigned, answerer.CodeNoOwner},
		{"ServerNotListed", unlisted, answerer.CodeNoBackendServer},
		{"NoCoordinator", uncoordinated, answerer.CodeNoCoordinator},
	}
	for _, c := range cases {
		if _, got := c.s.RouteKey("key"); got != c.want {
			t.Errorf("%s: code %s, want %s", c.name, got, c.want)
		}
	}
}

// BenchmarkRouteKey measures the routing of a key with the largest number of partitions and 1,800 servers.
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

// TestRouteKeyAllocatesNothing guards against memory allocations for each request, which would slow the
// request path.
func TestRouteKeyAllocatesNothing(t *testing.T) {
	s := keyedService(t, 1024, 20)
	if n := testing.AllocsPerRun(100, func() { s.RouteKey("shelter-1/log") }); n != 0 {
		t.Errorf("RouteKey makes %v allocations, want none", n)
	}
}
