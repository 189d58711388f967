package controller

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/storer"
)

// capacitySizes are the numbers of backend servers of one service, with 36 partitions each, at which the benchmarks
// measure how the cost grows.
var capacitySizes = []int{20, 200, 1800}

// newFilledController returns a Controller in a stable state that knows a service with n backend servers and n
// instances, spread over nine zones, and the time of its last step.
func newFilledController(b *testing.B, n int) (*Controller, time.Time) {
	b.Helper()
	now := startTime
	self := prober.Peer{Instance: "instance-0000", Zone: "zone-0", Address: "10.0.0.0:1"}
	c := New(now, DefaultConfig(self, 1))
	h := &harness{now: now, objects: map[string]storer.Object{}}
	h.writeSettings(harnessSize{partitions: 65536})
	a := assignment(b, n)
	data, err := a.Encode()
	if err != nil {
		b.Fatal(err)
	}
	h.write(AssignmentName(testService), 0, data)
	change := storer.WatchResult{Revision: h.revision}
	for _, o := range h.objects {
		change.Objects = append(change.Objects, o)
	}
	var listed []storer.ListedInstance
	for i := range n {
		zone := identifier.Zone(fmt.Sprintf("zone-%d", i%9))
		listed = append(listed, storer.ListedInstance{
			ID: fmt.Sprintf("server-%d", i), Kind: storer.KindBackendServer, State: storer.StateLive, Zone: zone,
			Address: "10.1.0.0:80", Organisation: testService.Organisation, Service: testService.Service,
		}, storer.ListedInstance{ID: fmt.Sprintf("instance-%04d", i), Kind: storer.KindEntry, State: storer.StateLive, Zone: zone, Address: "10.0.0.1:1"})
	}
	c.Step(now, WatchAnswered{now, 0, change})
	c.Step(now, ListRead{listed})
	return c, now
}

func assignment(b *testing.B, servers int) *partitioner.Assignment {
	b.Helper()
	n := 1
	for n < 36*servers && n < partitioner.MaxPartitions {
		n *= 2
	}
	a, err := partitioner.New(n)
	if err != nil {
		b.Fatal(err)
	}
	for p := range n {
		server := partitioner.Server{ID: identifier.BackendServer(fmt.Sprintf("server-%d", p%servers)), Zone: identifier.Zone(fmt.Sprintf("zone-%d", p%servers%9))}
		if err := a.SetFirstOwner(identifier.Partition(p), server); err != nil {
			b.Fatal(err)
		}
	}
	return a
}

// liveBytes returns the number of bytes of heap objects that are still in use after a garbage collection.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMessages measures the encoded sizes of the order that an instance sends to its backend server and of the
// report that it sends to the assigner, with 36 partitions. Each is sent twice a second.
func BenchmarkMessages(b *testing.B) {
	order := granter.Order{Server: "server-1799", Coordinator: "instance-1799", Term: 9, Sequence: 99999, Lease: granter.DefaultLease}
	report := granter.Report{Service: testService, Instance: "instance-1799", Servers: []granter.ServerReport{{Server: "server-1799", State: granter.ServerLive}}}
	for p := range identifier.Partition(36) {
		order.Grants = append(order.Grants, granter.Grant{Partition: 65000 + p, Epoch: 300})
		report.Loads.Partitions = append(report.Loads.Partitions, granter.PartitionLoad{Partition: 65000 + p, Rate: 123.4})
	}
	var sizes [2]int
	for b.Loop() {
		o, err := cbor.Marshal(order)
		if err != nil {
			b.Fatal(err)
		}
		r, err := EncodeMessage(prober.Peer{Instance: "instance-1799", Zone: "zone-0", Address: "10.0.0.1:1"}, ReportMessage{report})
		if err != nil {
			b.Fatal(err)
		}
		sizes = [2]int{len(o), len(r)}
	}
	b.ReportMetric(float64(sizes[0]), "order-bytes")
	b.ReportMetric(float64(sizes[1]), "report-bytes")
}

// BenchmarkTick measures one tick of an instance that is not an assigner, and the heap that its Controller occupies.
// An instance ticks 20 times a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range capacitySizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := liveBytes()
			c, now := newFilledController(b, n)
			used := liveBytes() - before
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				c.Step(now, Tick{})
			}
			b.ReportMetric(float64(used)/(1<<20), "heap-MB")
		})
	}
}

// BenchmarkTable measures the time to build the router's table, which is done after every change.
func BenchmarkTable(b *testing.B) {
	for _, n := range capacitySizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, _ := newFilledController(b, n)
			for b.Loop() {
				c.Table()
			}
		})
	}
}

// BenchmarkDecodeAssignment measures the time to decode an assignment, and reports its encoded size.
func BenchmarkDecodeAssignment(b *testing.B) {
	for _, n := range capacitySizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := assignment(b, n).Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := partitioner.Decode(data); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "stored-bytes")
		})
	}
}
