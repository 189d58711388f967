package controller

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/storer"
)

func (w *world) addInstance(name string, z identifier.Zone) *worldInstance {
	i := &worldInstance{peer: prober.Peer{Instance: identifier.Instance(name), Zone: z, Address: name}}
	w.instances = append(w.instances, i)
	w.enlist(storer.Listed{ID: name, Kind: storer.KindEntry, State: storer.StateLive, Zone: z, Address: name})
	w.boot(i)
	return i
}

// boot starts the next process of an instance.
func (w *world) boot(i *worldInstance) {
	if i.gone {
		return
	}
	i.process = process{}
	i.versions = map[string]identifier.Version{}
	cfg := DefaultConfig(i.peer, identifier.Incarnation(w.now.UnixMilli()))
	cfg.Assigner.ListLag = worldListLag
	i.ctl = New(w.now, cfg)
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
		w.step(i, Tick{})
		w.after(worldTick, &i.process, tick)
	})
	watch = current(func() { w.watch(i, ctl, watch) })
	list = current(func() {
		again := func() {
			wait := worldList
			if !ctl.ReadsList() {
				wait = 8 * worldList
			}
			w.after(wait, &i.process, list)
		}
		w.call(i, func() func() {
			l := w.list()
			return current(func() { w.step(i, ListRead{l}); again() })
		}, again)
	})
	for _, loop := range []func(){tick, watch, list} {
		w.after(w.latency(), &i.process, loop)
	}
}

// watch waits at the platform in short steps until something changes.
func (w *world) watch(i *worldInstance, ctl *Controller, again func()) {
	at, from := w.now, ctl.Revision()
	var poll func()
	poll = func() {
		seen := w.seen()
		if w.reaches(i) && seen.revision <= from && w.now.Sub(at) < worldWatch {
			w.after(40*time.Millisecond, nil, poll)
			return
		}
		if !w.reaches(i) {
			w.after(300*time.Millisecond, &i.process, again)
			return
		}
		change := storer.Change{Revision: seen.revision}
		for _, o := range seen.objects {
			if o.Version > from {
				change.Objects = append(change.Objects, o)
			}
		}
		slices.SortFunc(change.Objects, func(x, y storer.Object) int { return int(x.Version) - int(y.Version) })
		w.after(w.latency()+w.slow, &i.process, func() {
			if i.ctl == ctl {
				w.step(i, Watched{at, from, change})
				again()
			}
		})
	}
	w.calls++
	w.after(w.latency()+w.slow, nil, poll)
}

// step gives an event to an instance and carries its actions out.
func (w *world) step(i *worldInstance, e Event) {
	ctl := i.ctl
	actions := ctl.Step(w.now, e)
	w.checkVersions(i)
	for _, action := range actions {
		switch a := action.(type) {
		case SendMessage:
			w.deliver(i, a)
		case SendOrder:
			w.order(i, ctl, a)
		case WriteObject:
			w.put(i, ctl, a.Object)
		case ReadObject:
			w.get(i, ctl, a.Name)
		case Noted:
		}
	}
}

// checkVersions checks that no object that an instance goes by has gone back.
func (w *world) checkVersions(i *worldInstance) {
	if i.edit == i.ctl.Edit() {
		return
	}
	i.edit = i.ctl.Edit()
	for name, o := range i.ctl.objects {
		if o.Version < i.versions[name] {
			w.fail("%s: %s went back from version %d to %d", i.peer.Instance, name, i.versions[name], o.Version)
		}
		i.versions[name] = o.Version
	}
}

// back returns a step that counts only if the instance's process is still the same.
func (w *world) back(i *worldInstance, ctl *Controller, e Event) func() {
	return func() {
		if i.ctl == ctl {
			w.step(i, e)
		}
	}
}

func (w *world) put(i *worldInstance, ctl *Controller, o storer.Object) {
	w.call(i, func() func() {
		v, ok := w.write(o.Name, o.Version, o.Data)
		if w.lose > 0 {
			w.lose--
			return nil
		}
		if !ok {
			return w.back(i, ctl, WriteEnded{Object: o, Result: Conflicted})
		}
		o.Version = v
		return w.back(i, ctl, WriteEnded{Object: o, Result: Written})
	}, w.back(i, ctl, WriteEnded{Object: o, Result: Ambiguous}))
}

func (w *world) get(i *worldInstance, ctl *Controller, name string) {
	w.call(i, func() func() {
		o := w.seen().objects[name]
		o.Name = name
		return w.back(i, ctl, ObjectRead{o})
	}, w.back(i, ctl, ReadFailed{name}))
}

func (w *world) deliver(i *worldInstance, a SendMessage) {
	n := slices.IndexFunc(w.instances, func(to *worldInstance) bool { return to.peer.Instance == a.To.Instance })
	if n < 0 || w.severed(i, w.instances[n]) {
		return
	}
	to := w.instances[n]
	w.after(w.latency(), &to.process, func() {
		if !w.severed(i, to) {
			w.step(to, MessageReceived{i.peer, a.Message})
		}
	})
}

func (w *world) severed(x, y *worldInstance) bool {
	zones := x.peer.Zone != y.peer.Zone && (w.cut["zone/"+string(x.peer.Zone)] || w.cut["zone/"+string(y.peer.Zone)])
	return zones || w.cut[string(x.peer.Instance)] || w.cut[string(y.peer.Instance)]
}
