package controller

import (
	"errors"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/storer"
)

func (w *world) addServer(name string, z identifier.Zone, checks bool) {
	s := &worldServer{info: storer.Listed{
		ID: name, Kind: storer.KindBackendServer, State: storer.StateLive, Zone: z, Address: name,
		Organisation: worldService.Organisation, Service: worldService.Service,
	}, checks: checks}
	w.servers = append(w.servers, s)
	w.enlist(s.info)
	w.bootServer(s)
}

func (w *world) bootServer(s *worldServer) {
	if s.gone {
		return
	}
	s.process = process{}
	s.inc++
	s.fence = imitator.NewFence(w.now, identifier.BackendServer(s.info.ID), s.inc, s.checks)
	s.requests = map[*worldRequest]bool{}
}

func (w *world) server(id identifier.BackendServer) *worldServer {
	for _, s := range w.servers {
		if s.info.ID == string(id) {
			return s
		}
	}
	return nil
}

// reachesServer reports whether an instance and a server can talk: a cut zone is cut
// off from servers in other zones too.
func (w *world) reachesServer(i *worldInstance, s *worldServer) bool {
	if i.peer.Zone == s.info.Zone {
		return true
	}
	return !w.cut["zone/"+string(i.peer.Zone)] && !w.cut["zone/"+string(s.info.Zone)]
}

// order brings an order to a server and its answer back, or times out.
func (w *world) order(i *worldInstance, ctl *Controller, a SendOrder) {
	s := w.server(a.Order.Server)
	answered := false
	finish := func(e granter.OrderAnswered) func() {
		return func() {
			if !answered {
				answered = true
				w.back(i, ctl, OrderEnded{e})()
			}
		}
	}
	w.after(400*time.Millisecond, &i.process, finish(granter.OrderAnswered{Order: a.Order, Failed: true}))
	way := w.latency() + w.lateness()
	fence := s.fence
	w.after(way, &s.process, func() {
		if !w.reachesServer(i, s) || s.fence != fence && way < time.Second {
			return // The connection broke with the former process.
		}
		answer := s.fence.Take(w.now, a.Order)
		if answer.Result == granter.Accepted {
			w.checkGrants(s, a.Order)
		}
		w.after(w.latency(), &i.process, finish(granter.OrderAnswered{Order: a.Order, Answer: answer}))
	})
}

// lateness is now and then a delay on the way to a server.
func (w *world) lateness() time.Duration {
	if w.delay == 0 || w.rand.IntN(3) > 0 {
		return 0
	}
	return time.Duration(w.rand.Int64N(int64(w.delay)))
}

var errAssignment = errors.New("no assignment")

// truth is the naive model of ownership: the assignment that the platform has now.
func (w *world) truth() (*partitioner.Assignment, error) {
	o, ok := w.objects[AssignmentName(worldService)]
	if !ok {
		return nil, errAssignment
	}
	return partitioner.Decode(o.Data)
}

// checkGrants compares the grants that a server has just accepted with the naive
// model, and with what any other server would run.
func (w *world) checkGrants(s *worldServer, o granter.Order) {
	truth, err := w.truth()
	if err != nil {
		return
	}
	for _, g := range o.Grants {
		if !s.fence.Holds(w.now, g) {
			continue
		}
		owner, e, owned := truth.Owner(g.Partition)
		if !owned && truth.Pinned(g.Partition) {
			// The key has gone back to its former partition, whose owner may still hold it.
			owner, _, _ = truth.Owner(w.bases[g.Partition])
		}
		if string(owner) != s.info.ID {
			w.fail("%s accepted partition %d at epoch %d; the owner is %s at %d", s.info.ID, g.Partition, g.Epoch, owner, e)
		}
		w.checkAlone(s, g.Partition)
	}
}

// checkAlone checks that no other server would run or runs requests of a partition.
func (w *world) checkAlone(s *worldServer, p identifier.Partition) {
	for _, other := range w.servers {
		if other == s || other.ended {
			continue
		}
		for _, held := range other.fence.Holding(w.now) {
			if held.Partition == p {
				w.fail("partition %d: %s and %s hold it", p, s.info.ID, other.info.ID)
			}
		}
		for r := range other.requests {
			if r.grant.Partition == p && w.mayRun(other, r) {
				w.fail("partition %d: %s runs it while %s starts", p, other.info.ID, s.info.ID)
			}
		}
	}
}

func (w *world) mayRun(s *worldServer, r *worldRequest) bool {
	if !s.checks {
		return w.now.Before(r.deadline)
	}
	return s.fence.MayRun(w.now, r.grant)
}
