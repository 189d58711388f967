// Package mirrorer keeps a copy of the platform's objects of one kind: it lists them, then applies
// the changes that watches deliver. It can also apply the copies of other instances while the
// platform does not answer this one. An object never goes back to an older version.
//
// Start with Mirror.Run in mirrorer.go. lag.go detects a watch that delivers no events.
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

// Platform is the part of the platform's client that a Mirror uses. List returns all objects of a
// kind; Watch returns the changes after a revision, and waits at most wait for the first of them.
type Platform interface {
	List(ctx context.Context, kind storer.ObjectKind) (storer.Page, error)
	Watch(ctx context.Context, kind storer.ObjectKind, from identifier.Version, wait time.Duration) (storer.Events, error)
}

// Copy is all objects of a kind at a revision; single objects may be newer.
type Copy struct {
	Kind     storer.ObjectKind
	Revision identifier.Version
	Objects  []storer.Object
}

// NewestVersion returns the highest version of an object, or the revision if that is higher.
func (c Copy) NewestVersion() identifier.Version {
	newest := c.Revision
	for _, o := range c.Objects {
		newest = max(newest, o.Version)
	}
	return newest
}

// Timing gives the intervals at which a kind is followed.
type Timing struct {
	WatchWait    time.Duration // How long a watch waits; 0 if the kind is listed instead of watched.
	WatchDelay   time.Duration // Time between an event and the next watch.
	ListInterval time.Duration // Time between two lists of a kind that is not watched.
	// Delegated says that copies of another instance take the place of watches, until Relist is called.
	Delegated bool
}

// Mirror is the copy of one kind. It is safe for concurrent use.
type Mirror struct {
	kind      storer.ObjectKind
	platform  Platform
	clock     func() time.Time
	onChange  func(storer.ObjectKind)
	onCallEnd func(storer.ObjectKind, error)
	backoff   func(ctx context.Context, failures int) // Pauses before a failed call is tried again.
	timing    func(storer.ObjectKind) Timing

	mu          sync.Mutex
	objects     map[string]storer.Object
	revision    identifier.Version
	changed     identifier.Version // The revision at which the copy last changed.
	requestedAt time.Time          // When the newest list was requested.
	currentAt   time.Time          // The copy has all changes up to then.
	cancelRound context.CancelFunc // Cancels the present watch, so that the kind is listed again.
	listing     bool               // A list is under way.
	listAgain   bool               // Relist was called while a list was under way.
	done        chan error
}

// New returns a Mirror without objects. onChange is called after each change of the copy, outside
// the mirror's lock. onCallEnd is called with the error of each call to the platform, nil if it
// succeeded. backoff pauses after a failed call; failures is the number of failed calls in a row
// before it. timing is called before each watch, and before each pause between two lists.
func New(kind storer.ObjectKind, p Platform, timing func(storer.ObjectKind) Timing, clock func() time.Time, onChange func(storer.ObjectKind),
	onCallEnd func(storer.ObjectKind, error), backoff func(context.Context, int)) *Mirror {
	return &Mirror{
		kind: kind, platform: p, timing: timing, clock: clock, onChange: onChange, onCallEnd: onCallEnd, backoff: backoff,
		objects: map[string]storer.Object{}, done: make(chan error, 1),
	}
}

// Done returns the channel on which Run reports its end.
func (m *Mirror) Done() <-chan error { return m.done }

// Run follows the platform until ctx ends. After an error it lists the kind again, at once if the
// store's history is gone.
func (m *Mirror) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		round, cancelRound := context.WithCancel(ctx)
		m.mu.Lock()
		m.cancelRound = cancelRound
		m.mu.Unlock()
		err := m.listAndWatch(round, func() {
			failures = 0
			m.onCallEnd(m.kind, nil)
		})
		relistRequested := round.Err() != nil
		cancelRound()
		if ctx.Err() != nil {
			break
		}
		if relistRequested || err == nil {
			continue
		}
		m.onCallEnd(m.kind, err)
		if !errors.Is(err, storer.ErrHistoryGone) {
			m.backoff(ctx, failures)
			failures++
		}
	}
	m.done <- ctx.Err()
}

// listAndWatch lists the kind, then watches it until a call fails or ctx ends. A kind that is not
// watched is listed once, and listAndWatch returns after the pause before the next list. It calls
// onSuccess after each call that succeeds.
func (m *Mirror) listAndWatch(ctx context.Context, onSuccess func()) error {
	from, err := m.list(ctx, onSuccess)
	if err != nil {
		return err
	}
	for {
		timing := m.timing(m.kind)
		if timing.Delegated {
			<-ctx.Done()
			return ctx.Err()
		}
		if timing.WatchWait == 0 {
			clocker.Sleep(ctx, timing.ListInterval)
			return ctx.Err()
		}
		requestedAt := m.clock()
		events, err := m.platform.Watch(ctx, m.kind, from, timing.WatchWait)
		if err != nil {
			return err
		}
		onSuccess()
		from = max(from, events.Revision)
		m.applyEvents(events)
		m.recordCurrent(requestedAt)
		if len(events.Events) > 0 && !clocker.Sleep(ctx, timing.WatchDelay) {
			return ctx.Err()
		}
	}
}

// list lists the kind, and lists it again if Relist was called meanwhile. It returns the revision to watch from.
func (m *Mirror) list(ctx context.Context, onSuccess func()) (identifier.Version, error) {
	for {
		m.mu.Lock()
		m.listing, m.listAgain = true, false
		m.mu.Unlock()
		requestedAt := m.clock()
		page, err := m.platform.List(ctx, m.kind)
		m.mu.Lock()
		m.listing = false
		again := m.listAgain
		m.mu.Unlock()
		if err != nil {
			return 0, err
		}
		onSuccess()
		if m.ApplyList(Copy{m.kind, page.Revision, page.Objects}, requestedAt) {
			m.recordCurrent(requestedAt)
		}
		if !again {
			return page.Revision, nil
		}
	}
}

// Relist ends the present watch, so that the kind is listed again. A list that is under way is completed, and followed by
// another one: on a slow link, lists that are cancelled one after the other would never bring anything.
func (m *Mirror) Relist() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listing {
		m.listAgain = true
		return
	}
	if m.cancelRound != nil {
		m.cancelRound()
	}
}

// ApplyList replaces the copy by a complete list that was requested at a time, unless the list is older
// than the copy. Objects that are newer than the list are kept. It reports whether it applied the
// list.
func (m *Mirror) ApplyList(c Copy, requestedAt time.Time) bool {
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
		if o.Version > c.Revision { // Not on the list because it is newer.
			objects[name] = o
		}
	}
	if !sameVersions(m.objects, objects) {
		m.changed = c.Revision
	}
	m.objects, m.revision = objects, c.Revision
	if requestedAt.After(m.requestedAt) {
		m.requestedAt = requestedAt
	}
	m.mu.Unlock()
	m.onChange(m.kind)
	return true
}

// Merge applies those of another instance's objects that are newer than the copy's, and returns their names.
func (m *Mirror) Merge(objects []storer.Object) []string {
	m.mu.Lock()
	var changed []string
	for _, o := range objects {
		if o.Version > m.objects[o.Name].Version {
			m.objects[o.Name] = o
			changed = append(changed, o.Name)
		}
	}
	m.mu.Unlock()
	if len(changed) > 0 {
		m.onChange(m.kind)
	}
	return changed
}

// applyEvents applies the changes that a watch has delivered.
func (m *Mirror) applyEvents(e storer.Events) {
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
	if changed {
		m.changed = m.revision
	}
	m.mu.Unlock()
	if changed {
		m.onChange(m.kind)
	}
}

// Snapshot returns the present copy, and the time of the request of the newest list that it contains.
// The time is zero if the copy contains no list of the platform.
func (m *Mirror) Snapshot() (Copy, time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Copy{Kind: m.kind, Revision: m.revision, Objects: make([]storer.Object, 0, len(m.objects))}
	for _, o := range m.objects {
		c.Objects = append(c.Objects, o)
	}
	return c, m.requestedAt
}

// NewestVersion returns the highest version of an object of the copy, or zero.
func (m *Mirror) NewestVersion() identifier.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := identifier.Version(0)
	for _, o := range m.objects {
		newest = max(newest, o.Version)
	}
	return newest
}

// recordCurrent records that the copy has all changes up to the time at which a call was requested that has been answered and
// applied. A watch without events counts from its request as well, although it waited: one that waits while the store drops
// its history delivers no events.
func (m *Mirror) recordCurrent(requestedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if requestedAt.After(m.currentAt) {
		m.currentAt = requestedAt
	}
}

// CurrentAt returns a time up to which the copy has all changes, by the answers of the platform to this mirror; zero if it has
// answered none.
func (m *Mirror) CurrentAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentAt
}

// Revision returns the revision of the newest answer.
func (m *Mirror) Revision() identifier.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Get returns an object of the copy; ok is false if there is none of that name.
func (m *Mirror) Get(name string) (storer.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	return o, ok
}
