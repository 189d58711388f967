package controller

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/storer"
)

// addInstance adds an instance to the platform's list and starts its first process.
func (h *harness) addInstance(name string, z identifier.Zone) *simulatedInstance {
	i := &simulatedInstance{peer: prober.Peer{Instance: identifier.Instance(name), Zone: z, Address: name}}
	h.instances = append(h.instances, i)
	h.addToList(storer.ListedInstance{ID: name, Kind: storer.KindEntry, State: storer.StateLive, Zone: z, Address: name})
	h.startInstance(i)
	return i
}

// startInstance starts a new process of an instance, unless its machine has ended. Events of a former process are
// dropped.
func (h *harness) startInstance(i *simulatedInstance) {
	if i.machineEnded {
		return
	}
	i.process = process{}
	i.versions = map[string]identifier.Version{}
	cfg := DefaultConfig(i.peer, identifier.Incarnation(h.now.UnixMilli()))
	cfg.Assigner.ListLag = listLag
	i.ctl = New(h.now, cfg)
	ctl := i.ctl
	current := func(run func()) func() {
		return func() {
			if i.ctl == ctl {
				run()
			}
		}
	}
	var tick, watch, list func()
	tick = current(func() {
		h.step(i, Tick{})
		h.after(tickInterval, &i.process, tick)
	})
	watch = current(func() { h.watch(i, ctl, watch) })
	list = current(func() {
		again := func() {
			wait := listInterval
			if !ctl.PollsListOften() {
				wait = 8 * listInterval
			}
			h.after(wait, &i.process, list)
		}
		h.callPlatform(i, func() func() {
			l := h.list()
			return current(func() { h.step(i, ListRead{l}); again() })
		}, again)
	})
	for _, loop := range []func(){tick, watch, list} {
		h.after(h.latency(), &i.process, loop)
	}
}

// watch simulates one watch of the platform: it polls until an object changes, the time-out passes or the connection
// breaks, and then calls again.
func (h *harness) watch(i *simulatedInstance, ctl *Controller, again func()) {
	at, from := h.now, ctl.Revision()
	var poll func()
	poll = func() {
		view := h.readView()
		if h.reachesPlatform(i) && view.revision <= from && h.now.Sub(at) < watchTimeout {
			h.after(40*time.Millisecond, nil, poll)
			return
		}
		if !h.reachesPlatform(i) {
			h.after(300*time.Millisecond, &i.process, again)
			return
		}
		change := storer.WatchResult{Revision: view.revision}
		for _, o := range view.objects {
			if o.Version > from {
				change.Objects = append(change.Objects, o)
			}
		}
		slices.SortFunc(change.Objects, func(x, y storer.Object) int { return int(x.Version) - int(y.Version) })
		h.after(h.latency()+h.platformDelay, &i.process, func() {
			if i.ctl == ctl {
				h.step(i, WatchAnswered{at, from, change})
				again()
			}
		})
	}
	h.platformCalls++
	h.after(h.latency()+h.platformDelay, nil, poll)
}

// step passes an event to the Controller of an instance and carries out the actions that it returns.
func (h *harness) step(i *simulatedInstance, e Event) {
	ctl := i.ctl
	actions := ctl.Step(h.now, e)
	h.checkVersions(i)
	for _, action := range actions {
		switch a := action.(type) {
		case SendMessage:
			h.deliverMessage(i, a)
		case SendOrder:
			h.deliverOrder(i, ctl, a)
		case WriteObject:
			h.writeObject(i, ctl, a.Object)
		case ReadObject:
			h.readObject(i, ctl, a.Name)
		case LogNotice:
		}
	}
}

// checkVersions checks that the version of no object that an instance uses has decreased.
func (h *harness) checkVersions(i *simulatedInstance) {
	if i.generation == i.ctl.Generation() {
		return
	}
	i.generation = i.ctl.Generation()
	for name, o := range i.ctl.objects {
		if o.Version < i.versions[name] {
			h.fail("%s: the cached %s went back from version %d to %d", i.peer.Instance, name, i.versions[name], o.Version)
		}
		i.versions[name] = o.Version
	}
}

// stepIfCurrent returns a function that passes an event to an instance if it still runs the same process, and drops
// it otherwise.
func (h *harness) stepIfCurrent(i *simulatedInstance, ctl *Controller, e Event) func() {
	return func() {
		if i.ctl == ctl {
			h.step(i, e)
		}
	}
}

// writeObject simulates a conditional write of an object by an instance.
func (h *harness) writeObject(i *simulatedInstance, ctl *Controller, o storer.Object) {
	h.callPlatform(i, func() func() {
		v, ok := h.write(o.Name, o.Version, o.Data)
		if h.answersToLose > 0 {
			h.answersToLose--
			return nil
		}
		if !ok {
			return h.stepIfCurrent(i, ctl, WriteEnded{Object: o, Result: Conflicted})
		}
		o.Version = v
		return h.stepIfCurrent(i, ctl, WriteEnded{Object: o, Result: Written})
	}, h.stepIfCurrent(i, ctl, WriteEnded{Object: o, Result: Ambiguous}))
}

// readObject simulates a read of an object by an instance.
func (h *harness) readObject(i *simulatedInstance, ctl *Controller, name string) {
	h.callPlatform(i, func() func() {
		o := h.readView().objects[name]
		o.Name = name
		return h.stepIfCurrent(i, ctl, ObjectRead{o})
	}, h.stepIfCurrent(i, ctl, ReadFailed{name}))
}

// deliverMessage simulates the sending of a message between two instances. It is lost if they are cut off from each
// other when it is sent or when it arrives.
func (h *harness) deliverMessage(i *simulatedInstance, a SendMessage) {
	n := slices.IndexFunc(h.instances, func(to *simulatedInstance) bool { return to.peer.Instance == a.To.Instance })
	if n < 0 || h.disconnected(i, h.instances[n]) {
		return
	}
	to := h.instances[n]
	h.after(h.latency(), &to.process, func() {
		if !h.disconnected(i, to) {
			h.step(to, MessageReceived{i.peer, a.Message})
		}
	})
}

// disconnected reports whether two instances are cut off from each other.
func (h *harness) disconnected(x, y *simulatedInstance) bool {
	zones := x.peer.Zone != y.peer.Zone && (h.cut["zone/"+string(x.peer.Zone)] || h.cut["zone/"+string(y.peer.Zone)])
	return zones || h.cut[string(x.peer.Instance)] || h.cut[string(y.peer.Instance)]
}
