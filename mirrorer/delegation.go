package mirrorer

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// Delta is what has changed in another instance's copy since an earlier revision: the objects that are newer, and the
// names of all objects that there are.
type Delta struct {
	Kind     storer.ObjectKind
	Revision identifier.Version
	Names    []string
	Changed  []storer.Object
}

// ChangedRevision returns the revision at which the copy last changed.
func (m *Mirror) ChangedRevision() identifier.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// ListedAt returns when the newest list that the copy contains was requested; zero if it contains none.
func (m *Mirror) ListedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.requestedAt
}

// DeltaSince returns what has changed since a revision; ok is false if nothing has.
func (m *Mirror) DeltaSince(revision identifier.Version) (d Delta, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed <= revision {
		return Delta{}, false
	}
	d = Delta{Kind: m.kind, Revision: m.revision, Names: make([]string, 0, len(m.objects))}
	for name, o := range m.objects {
		d.Names = append(d.Names, name)
		if o.Version > revision {
			d.Changed = append(d.Changed, o)
		}
	}
	return d, true
}

// ApplyDelta applies what has changed since a revision at which this copy was complete. It reports whether it did: a delta
// that is older than the copy changes nothing.
func (m *Mirror) ApplyDelta(d Delta) bool {
	m.mu.Lock()
	if d.Revision < m.revision {
		m.mu.Unlock()
		return false
	}
	present := make(map[string]bool, len(d.Names))
	for _, name := range d.Names {
		present[name] = true
	}
	for name, o := range m.objects {
		if !present[name] && o.Version <= d.Revision {
			delete(m.objects, name)
		}
	}
	for _, o := range d.Changed {
		if o.Version > m.objects[o.Name].Version {
			m.objects[o.Name] = o
		}
	}
	m.revision, m.changed = d.Revision, d.Revision
	m.mu.Unlock()
	m.onChange(m.kind)
	return true
}

// sameVersions reports whether two copies have the same objects in the same versions.
func sameVersions(a, b map[string]storer.Object) bool {
	if len(a) != len(b) {
		return false
	}
	for name, o := range a {
		if other, ok := b[name]; !ok || other.Version != o.Version {
			return false
		}
	}
	return true
}
