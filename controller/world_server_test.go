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

// addServer adds a backend server to the platform's list and starts its first process.
func (h *harness) addServer(name string, z identifier.Zone, checksGrants bool) {
	s := &simulatedServer{info: storer.ListedInstance{
		ID: name, Kind: storer.KindBackendServer, State: storer.StateLive, Zone: z, Address: name,
		Organisation: testService.Organisation, Service: testService.Service,
	}, checksGrants: checksGrants}
	h.servers = append(h.servers, s)
	h.addToList(s.info)
	h.startServer(s)
}

// startServer starts a new process of a backend server, unless its machine has ended.
func (h *harness) startServer(s *simulatedServer) {
	if s.machineEnded {
		return
	}
	s.process = process{}
	s.incarnation++
	s.fence = imitator.NewFence(h.now, identifier.BackendServer(s.info.ID), s.incarnation, s.checksGrants)
	s.requests = map[*simulatedRequest]bool{}
}

// server returns the backend server of an ID, or nil if there is none.
func (h *harness) server(id identifier.BackendServer) *simulatedServer {
	for _, s := range h.servers {
		if s.info.ID == string(id) {
			return s
		}
	}
	return nil
}

// reachesServer reports whether an instance and a backend server can communicate. A zone that is cut off cannot reach
// the servers of other zones, nor be reached from other zones.
func (h *harness) reachesServer(i *simulatedInstance, s *simulatedServer) bool {
	if i.peer.Zone == s.info.Zone {
		return true
	}
	return !h.cut["zone/"+string(i.peer.Zone)] && !h.cut["zone/"+string(s.info.Zone)]
}

// deliverOrder simulates the sending of an order to a backend server and of the answer back. Without an answer it
// fails after 400 ms.
func (h *harness) deliverOrder(i *simulatedInstance, ctl *Controller, a SendOrder) {
	s := h.server(a.Order.Server)
	answered := false
	finish := func(e granter.OrderAnswered) func() {
		return func() {
			if !answered {
				answered = true
				h.stepIfCurrent(i, ctl, OrderEnded{e})()
			}
		}
	}
	h.after(400*time.Millisecond, &i.process, finish(granter.OrderAnswered{Order: a.Order, Failed: true}))
	way := h.latency() + h.extraDelay()
	fence := s.fence
	h.after(way, &s.process, func() {
		if !h.reachesServer(i, s) || s.fence != fence && way < time.Second {
			// The zones are cut off, or the connection was lost together with the former process of the server. An
			// order that takes 1 s or longer reaches the new process.
			return
		}
		answer := s.fence.HandleOrder(h.now, a.Order)
		if answer.Result == granter.Accepted {
			h.checkGrants(s, a.Order)
		}
		h.after(h.latency(), &i.process, finish(granter.OrderAnswered{Order: a.Order, Answer: answer}))
	})
}

// extraDelay returns a random delay of a message to a backend server: in one of three cases up to h.orderDelay,
// otherwise 0.
func (h *harness) extraDelay() time.Duration {
	if h.orderDelay == 0 || h.rand.IntN(3) > 0 {
		return 0
	}
	return time.Duration(h.rand.Int64N(int64(h.orderDelay)))
}

var errNoAssignment = errors.New("the platform stores no assignment yet")

// storedAssignment returns the naive model of ownership: the assignment that the platform stores now.
func (h *harness) storedAssignment() (*partitioner.Assignment, error) {
	o, ok := h.objects[AssignmentName(testService)]
	if !ok {
		return nil, errNoAssignment
	}
	return partitioner.Decode(o.Data)
}

// checkGrants compares the grants that a backend server has just accepted with the naive model, and checks that no
// other server would run or runs requests under them.
func (h *harness) checkGrants(s *simulatedServer, o granter.Order) {
	stored, err := h.storedAssignment()
	if err != nil {
		return
	}
	for _, g := range o.Grants {
		if !s.fence.MayStart(h.now, g) {
			continue
		}
		owner, e, owned := stored.Owner(g.Partition)
		if !owned && stored.IsPinPartition(g.Partition) {
			// The key has been unpinned and belongs to its former partition again, whose owner may still have the
			// grant.
			owner, _, _ = stored.Owner(h.pinBases[g.Partition])
		}
		if string(owner) != s.info.ID {
			h.fail("%s accepted a grant of partition %d at epoch %d; the owner is %s at epoch %d", s.info.ID, g.Partition, g.Epoch, owner, e)
		}
		h.checkExclusive(s, g.Partition)
	}
}

// checkExclusive checks that no other backend server has a grant in force for a partition or runs a request of it.
func (h *harness) checkExclusive(s *simulatedServer, p identifier.Partition) {
	for _, other := range h.servers {
		if other == s || other.ended {
			continue
		}
		for _, g := range other.fence.GrantsInForce(h.now) {
			if g.Partition == p {
				h.fail("partition %d: %s and %s both have a grant of it in force", p, s.info.ID, other.info.ID)
			}
		}
		for r := range other.requests {
			if r.grant.Partition == p && h.mayRun(other, r) {
				h.fail("partition %d: %s still runs a request of it while %s has it too", p, other.info.ID, s.info.ID)
			}
		}
	}
}

// mayRun reports whether a backend server may still run a request that it has started.
func (h *harness) mayRun(s *simulatedServer, r *simulatedRequest) bool {
	if !s.checksGrants {
		return h.now.Before(r.deadline)
	}
	return s.fence.MayRun(h.now, r.grant)
}
