// Package mirrorer keeps a copy of the platform's objects of one kind: a list, then
// the changes that a watch brings. Copies of other instances can be taken in while
// the platform turns this one away. An object never goes back to an older version.
package mirrorer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/clocker"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// Platform is the part of the platform's client that a Mirror uses.
type Platform interface {
	List(ctx context.Context, kind storer.ObjectKind) (storer.Page, error)
	Watch(ctx context.Context, kind storer.ObjectKind, from identifier.Version, wait time.Duration) (storer.Events, error)
}

// Copy is all objects of a kind at a revision, and maybe newer ones.
type Copy struct {
	Kind     storer.ObjectKind
	Revision identifier.Version
	Objects  []storer.Object
}

// Newest returns the highest version of an object.
func (c Copy) Newest() identifier.Version {
	newest := c.Revision
	for _, o := range c.Objects {
		newest = max(newest, o.Version)
	}
	return newest
}

// Pace is how a kind is followed.
type Pace struct {
	Wait   time.Duration // That a watch waits; 0: the kind is not watched but listed.
	Gather time.Duration // Between an event and the next watch.
	List   time.Duration // Between two lists of a kind that is not watched.
}

// Mirror is the copy of one kind. It is safe for concurrent use.
type Mirror struct {
	kind     storer.ObjectKind
	platform Platform
	clock    func() time.Time
	changed  func(storer.ObjectKind)
	ended    func(storer.ObjectKind, error)
	wait     func(ctx context.Context, failures int) // Before another try.
	pace     func(storer.ObjectKind) Pace

	mu       sync.Mutex
	objects  map[string]storer.Object
	revision identifier.Version
	asOf     time.Time          // When the newest answer of the platform was asked for.
	again    context.CancelFunc // Ends the present watch.
	done     chan error
}

// New returns a Mirror that holds nothing. changed is called after each change; ended
// with the error of each call, nil if it worked; wait pauses after one that failed. pace
// is asked before each call.
func New(kind storer.ObjectKind, p Platform, pace func(storer.ObjectKind) Pace, clock func() time.Time, changed func(storer.ObjectKind),
	ended func(storer.ObjectKind, error), wait func(context.Context, int)) *Mirror {
	return &Mirror{
		kind: kind, platform: p, pace: pace, clock: clock, changed: changed, ended: ended, wait: wait,
		objects: map[string]storer.Object{}, done: make(chan error, 1),
	}
}

// Done returns the channel on which Run reports its end.
func (m *Mirror) Done() <-chan error { return m.done }

// Run follows the platform until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		round, again := context.WithCancel(ctx)
		m.mu.Lock()
		m.again = again
		m.mu.Unlock()
		err := m.follow(round, func() {
			failures = 0
			m.ended(m.kind, nil)
		})
		refreshed := round.Err() != nil
		again()
		if ctx.Err() != nil {
			break
		}
		if refreshed || err == nil {
			continue
		}
		m.ended(m.kind, err)
		if !errors.Is(err, storer.ErrHistoryGone) {
			m.wait(ctx, failures)
			failures++
		}
	}
	m.done <- ctx.Err()
}

func (m *Mirror) follow(ctx context.Context, worked func()) error {
	asked := m.clock()
	page, err := m.platform.List(ctx, m.kind)
	if err != nil {
		return err
	}
	worked()
	m.Take(Copy{m.kind, page.Revision, page.Objects}, asked)
	from := page.Revision
	for {
		pace := m.pace(m.kind)
		if pace.Wait == 0 {
			clocker.Sleep(ctx, pace.List)
			return ctx.Err()
		}
		events, err := m.platform.Watch(ctx, m.kind, from, pace.Wait)
		if err != nil {
			return err
		}
		worked()
		from = max(from, events.Revision)
		m.apply(events)
		if len(events.Events) > 0 && !clocker.Sleep(ctx, pace.Gather) {
			return ctx.Err()
		}
	}
}

// Refresh lists the kind anew.
func (m *Mirror) Refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.again != nil {
		m.again()
	}
}

// Take replaces the copy by a whole one that was asked for at a time, unless it is
// older. It reports whether the copy is at least as new now.
func (m *Mirror) Take(c Copy, asked time.Time) bool {
	m.mu.Lock()
	if c.Revision < m.revision {
		m.mu.Unlock()
		return false
	}
	objects := make(map[string]storer.Object, len(c.Objects))
	for _, o := range c.Objects {
		old, ok := m.objects[o.Name]
		if ok && old.Version > o.Version {
			o = old
		}
		objects[o.Name] = o
	}
	for name, o := range m.objects {
		if _, ok := objects[name]; ok {
			continue
		}
		if o.Version > c.Revision { // Newer than the list.
			objects[name] = o
		}
	}
	m.objects, m.revision = objects, c.Revision
	if asked.After(m.asOf) {
		m.asOf = asked
	}
	m.mu.Unlock()
	m.changed(m.kind)
	return true
}

// Merge takes in objects that another instance has, each if it is newer.
func (m *Mirror) Merge(objects []storer.Object) {
	m.mu.Lock()
	changed := false
	for _, o := range objects {
		if o.Version > m.objects[o.Name].Version {
			m.objects[o.Name] = o
			changed = true
		}
	}
	m.mu.Unlock()
	if changed {
		m.changed(m.kind)
	}
}

func (m *Mirror) apply(e storer.Events) {
	m.mu.Lock()
	changed := false
	for _, event := range e.Events {
		o := event.Object
		old, ok := m.objects[o.Name]
		switch {
		case event.Deleted && ok && o.Version >= old.Version:
			delete(m.objects, o.Name)
			changed = true
		case !event.Deleted && o.Version > old.Version:
			m.objects[o.Name] = o
			changed = true
		}
	}
	m.revision = max(m.revision, e.Revision)
	m.mu.Unlock()
	if changed {
		m.changed(m.kind)
	}
}

// Copy returns the objects, the revision of the newest answer and when that was asked
// for at the earliest.
func (m *Mirror) Copy() (Copy, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Copy{Kind: m.kind, Revision: m.revision, Objects: make([]storer.Object, 0, len(m.objects))}
	for _, o := range m.objects {
		c.Objects = append(c.Objects, o)
	}
	return c, m.asOf
}

// Newest returns the highest version of an object of the copy.
func (m *Mirror) Newest() identifier.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := identifier.Version(0)
	for _, o := range m.objects {
		newest = max(newest, o.Version)
	}
	return newest
}

// Revision returns the revision of the newest answer.
func (m *Mirror) Revision() identifier.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Get returns an object of the copy.
func (m *Mirror) Get(name string) (storer.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	return o, ok
}
