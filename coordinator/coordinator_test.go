package coordinator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/sender"
)

var log = identifier.ServiceName{Organisation: "hyttevagten", Service: "hyttebog"}

// noCrashRecorder records nothing.
type noCrashRecorder struct{}

func (noCrashRecorder) RecordCrash(answerer.Request)      {}
func (noCrashRecorder) RecordCompletion(answerer.Request) {}

// harness is a Coordinator with one simulated backend server. The test renews the server's grants and
// publishes its state by calling renew.
type harness struct {
	t           *testing.T
	backend     *imitator.Backend
	coord       *Coordinator
	sender      *sender.Sender
	coordinated granter.CoordinatedServer
	answer      granter.OrderAnswer
	sequence    uint64
}

// newHarness returns a harness whose server owns the only partition of the service. It renews twice, as
// the server accepts grants only with the ticket of its first answer.
func newHarness(t *testing.T, cfg imitator.BackendConfig) *harness {
	t.Helper()
	cfg.Server, cfg.ChecksGrants = "server-0", true
	b := imitator.NewBackend(cfg, time.Now, 7)
	server := httptest.NewServer(b.Handler())
	t.Cleanup(server.Close)
	a, err := partitioner.New(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.SetFirstOwner(0, partitioner.Server{ID: "server-0", Zone: "zone-0"}); err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, backend: b, sender: sender.New(50)}
	h.coord = New(h.sender, noCrashRecorder{}, time.Now)
	h.coordinated = granter.CoordinatedServer{Term: 1, Assignment: a, Server: granter.ServerInfo{
		ID: "server-0", Service: log, Address: strings.TrimPrefix(server.URL, "http://"), Keyed: true, ChecksGrants: true,
	}}
	h.renew()
	h.renew()
	return h
}

// renew sends the next order to the server and publishes its answer to the Coordinator.
func (h *harness) renew() {
	h.t.Helper()
	h.sequence++
	o := granter.Order{
		Server: "server-0", Coordinator: "instance-0", Term: 1, Sequence: h.sequence, Ticket: h.answer.Ticket,
		Lease: time.Minute, Grants: []granter.Grant{{Partition: 0, Epoch: 1}},
	}
	answer, err := h.sender.SendOrder(context.Background(), h.coordinated.Server.Address, o)
	if err != nil {
		h.t.Fatal(err)
	}
	h.answer, h.coordinated.State, h.coordinated.Incarnation = answer, answer.State, answer.Ticket.Incarnation
	h.coord.Publish(&View{
		Servers:  map[identifier.BackendServer]granter.CoordinatedServer{"server-0": h.coordinated},
		Settings: map[identifier.ServiceName]configurer.EffectiveSettings{log: {Slots: 6, ColdSlots: 1, QueueLength: 1000, MaxBodyBytes: 1 << 20}},
	})
}

// request runs an idempotent GET request for a key that is made of n.
func (h *harness) request(n int, remaining time.Duration) answerer.Answer {
	return h.coord.Handle(context.Background(), answerer.Request{
		Service: log, Key: identifier.Key(fmt.Sprint("shelter-", n)), Method: "GET", Path: "/", Idempotent: true,
		Remaining: remaining, Server: "server-0",
	})
}

// TestColdServerLimit guards against overloading a cold server. It sends 300 requests at once: the server
// must never run more than ColdSlots at a time while it reports that it is cold, and all requests must run
// in the end.
func TestColdServerLimit(t *testing.T) {
	t.Parallel()
	h := newHarness(t, imitator.BackendConfig{Slots: 6, QueueLength: 6, ServiceTime: 2 * time.Millisecond, ColdSlots: 1, WarmAfter: 40})
	var wg sync.WaitGroup
	for n := range 300 {
		wg.Go(func() {
			if a := h.request(n, time.Minute); a.Outcome != answerer.Ran {
				t.Errorf("request %d did not run: %+v", n, a)
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(5 * time.Millisecond):
			h.renew()
		}
	}
	if n := h.backend.MaxRunningCold(); n != 1 {
		t.Errorf("the cold server ran %d requests at a time, want 1", n)
	}
}

// TestRefusals guards against running a request on a server that must not run it: one of another service,
// one that does not own the key, one whose partition is moving, and one that has received orders of a
// newer term than the request's.
func TestRefusals(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		change func(*granter.CoordinatedServer)
		want   answerer.Code
	}{
		{"OtherService", func(s *granter.CoordinatedServer) { s.Server.Service.Service = "other" }, answerer.CodeNotCoordinator},
		{"NoAssignment", func(s *granter.CoordinatedServer) { s.Assignment = nil }, answerer.CodeNoOwner},
		{"Moving", func(s *granter.CoordinatedServer) {
			s.Assignment = s.Assignment.Clone()
			_ = s.Assignment.Prepare(0, partitioner.Server{ID: "server-1"})
		}, answerer.CodeMoving},
		{"Moved", func(s *granter.CoordinatedServer) {
			s.Assignment = s.Assignment.Clone()
			_ = s.Assignment.Prepare(0, partitioner.Server{ID: "server-1"})
			_ = s.Assignment.Commit(0)
		}, answerer.CodeNotOwner},
		{"FormerTerm", func(s *granter.CoordinatedServer) { s.Term = 0 }, answerer.CodeFenced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, imitator.BackendConfig{Slots: 1, QueueLength: 1})
			c.change(&h.coordinated)
			h.renew()
			if a := h.request(1, time.Minute); a.Code != c.want || a.Outcome != answerer.NotRun {
				t.Errorf("answer %+v, want code %s and outcome NotRun", a, c.want)
			}
		})
	}
}

// TestLostKeyEndsRequest guards against a request that waits until its deadline for a server that has lost
// the key. The server is frozen and its key assigned to another one; the request must end without the
// outcome Ran.
func TestLostKeyEndsRequest(t *testing.T) {
	t.Parallel()
	h := newHarness(t, imitator.BackendConfig{Slots: 1, QueueLength: 1})
	h.backend.SetFaults(imitator.BackendFaults{Frozen: true})
	ended := make(chan answerer.Answer, 1)
	go func() { ended <- h.request(1, time.Hour) }()
	for h.coord.QueueStates()["server-0"].Running == 0 {
		time.Sleep(time.Millisecond)
	}
	moved := h.coordinated
	moved.Assignment = h.coordinated.Assignment.Clone()
	_ = moved.Assignment.Prepare(0, partitioner.Server{ID: "server-1"})
	_ = moved.Assignment.Commit(0)
	for {
		h.coord.Publish(&View{Servers: map[identifier.BackendServer]granter.CoordinatedServer{"server-0": moved}})
		select {
		case a := <-ended:
			if a.Outcome == answerer.Ran {
				t.Errorf("the frozen server's request ended with %+v, want an outcome other than Ran", a)
			}
			h.backend.SetFaults(imitator.BackendFaults{})
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
