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

type noGuard struct{}

func (noGuard) Crashed(answerer.Request)   {}
func (noGuard) Completed(answerer.Request) {}

// rig is a Coordinator over one backend server stand-in, which it renews by hand.
type rig struct {
	t       *testing.T
	backend *imitator.Backend
	coord   *Coordinator
	sender  *sender.Sender
	held    granter.Held
	answer  granter.OrderAnswer
	number  uint64
}

func newRig(t *testing.T, cfg imitator.BackendConfig) *rig {
	t.Helper()
	cfg.Server, cfg.ChecksGrants = "server-0", true
	b := imitator.NewBackend(cfg, time.Now, 7)
	server := httptest.NewServer(b.Handler())
	t.Cleanup(server.Close)
	a, err := partitioner.New(1)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Place(0, partitioner.Server{ID: "server-0", Zone: "zone-0"}); err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, backend: b, sender: sender.New(50)}
	r.coord = New(r.sender, noGuard{}, time.Now)
	r.held = granter.Held{Term: 1, Assignment: a, Server: granter.ServerInfo{
		ID: "server-0", Service: log, Address: strings.TrimPrefix(server.URL, "http://"), Keyed: true, ChecksGrants: true,
	}}
	r.renew()
	r.renew()
	return r
}

// renew sends the next order and publishes what the server answers.
func (r *rig) renew() {
	r.t.Helper()
	r.number++
	o := granter.Order{
		Server: "server-0", Coordinator: "instance-0", Term: 1, Sequence: r.number, Ticket: r.answer.Ticket,
		Lease: time.Minute, Grants: []granter.Grant{{Partition: 0, Epoch: 1}},
	}
	answer, err := r.sender.SendOrder(context.Background(), r.held.Server.Address, o)
	if err != nil {
		r.t.Fatal(err)
	}
	r.answer, r.held.State, r.held.Process = answer, answer.State, answer.Ticket.Incarnation
	r.coord.Publish(&View{
		Held:     map[identifier.BackendServer]granter.Held{"server-0": r.held},
		Settings: map[identifier.ServiceName]configurer.Effective{log: {Slots: 6, ColdSlots: 1, QueueLength: 1000, MaxBodyBytes: 1 << 20}},
	})
}

func (r *rig) request(n int, remaining time.Duration) answerer.Answer {
	return r.coord.Handle(context.Background(), answerer.Request{
		Service: log, Key: identifier.Key(fmt.Sprint("shelter-", n)), Method: "GET", Path: "/", Idempotent: true,
		Remaining: remaining, Server: "server-0",
	})
}

// TestColdServerIsSpared sends many requests at once to a cold server: it never runs
// more than it bears until it says that it is warm, and then they all run.
func TestColdServerIsSpared(t *testing.T) {
	t.Parallel()
	r := newRig(t, imitator.BackendConfig{Slots: 6, QueueLength: 6, Work: 2 * time.Millisecond, ColdSlots: 1, WarmAfter: 40})
	var wg sync.WaitGroup
	for n := range 300 {
		wg.Go(func() {
			if a := r.request(n, time.Minute); a.Outcome != answerer.Ran {
				t.Errorf("request %d: %+v", n, a)
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
			r.renew()
		}
	}
	if n := r.backend.MaxRunningCold(); n != 1 {
		t.Errorf("the cold server ran %d requests at once, it bears 1", n)
	}
}

// TestRefusals is the table of requests that a coordinator must not send.
func TestRefusals(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		change func(*granter.Held)
		want   answerer.Code
	}{
		{"OtherService", func(h *granter.Held) { h.Server.Service.Service = "other" }, answerer.CodeNotCoordinator},
		{"NoAssignment", func(h *granter.Held) { h.Assignment = nil }, answerer.CodeNoOwner},
		{"Moving", func(h *granter.Held) {
			h.Assignment = h.Assignment.Clone()
			_ = h.Assignment.Mark(0, partitioner.Server{ID: "server-1"})
		}, answerer.CodeMoving},
		{"Moved", func(h *granter.Held) {
			h.Assignment = h.Assignment.Clone()
			_ = h.Assignment.Mark(0, partitioner.Server{ID: "server-1"})
			_ = h.Assignment.Commit(0)
		}, answerer.CodeNotOwner},
		{"FormerTerm", func(h *granter.Held) { h.Term = 0 }, answerer.CodeFenced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, imitator.BackendConfig{Slots: 1, QueueLength: 1})
			c.change(&r.held)
			r.renew()
			if a := r.request(1, time.Minute); a.Code != c.want || a.Outcome != answerer.NotRun {
				t.Errorf("%+v, want %s", a, c.want)
			}
		})
	}
}

// TestLostKeyEndsTheWait freezes the server, gives its key to another one, and checks
// that the waiting request ends at once, in doubt.
func TestLostKeyEndsTheWait(t *testing.T) {
	t.Parallel()
	r := newRig(t, imitator.BackendConfig{Slots: 1, QueueLength: 1})
	r.backend.SetFaults(imitator.BackendFaults{Frozen: true})
	ended := make(chan answerer.Answer, 1)
	go func() { ended <- r.request(1, time.Hour) }()
	for r.coord.State()["server-0"].Running == 0 {
		time.Sleep(time.Millisecond)
	}
	moved := r.held
	moved.Assignment = r.held.Assignment.Clone()
	_ = moved.Assignment.Mark(0, partitioner.Server{ID: "server-1"})
	_ = moved.Assignment.Commit(0)
	for {
		r.coord.Publish(&View{Held: map[identifier.BackendServer]granter.Held{"server-0": moved}})
		select {
		case a := <-ended:
			if a.Outcome == answerer.Ran {
				t.Errorf("%+v", a)
			}
			r.backend.SetFaults(imitator.BackendFaults{})
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
