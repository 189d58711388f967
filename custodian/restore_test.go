package custodian_test

import (
	"fmt"
	"maps"
	"math/rand"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
	"github.com/turmericlift/turmericlift/storer"
)

// savedStore is the content of the store after a write.
type savedStore struct {
	at       time.Time
	objects  map[string]storer.Object
	revision identifier.Version
}

// save records the content of the store after a write.
func (m *model) save() {
	if m.store.era == 0 {
		return
	}
	m.store.saved = append(m.store.saved, savedStore{m.now, maps.Clone(m.store.objects), m.store.revision})
}

// restore replaces the store by a copy of some time ago, and begins the next era. Backend servers write their entries again
// within a heartbeat.
func (m *model) restore(back time.Duration, rng *rand.Rand) {
	copied := savedStore{objects: map[string]storer.Object{}}
	kept := 0
	for n, s := range m.store.saved {
		if !s.at.After(m.now.Add(-back)) {
			copied, kept = s, n+1
		}
	}
	m.store.saved = m.store.saved[:kept]
	m.store.era++
	m.store.revision = copied.revision
	m.store.objects = map[string]storer.Object{}
	for name, o := range copied.objects {
		o.Version = m.store.version(o.Version.Revision())
		m.store.objects[name] = o
	}
	m.save()
	m.printEvent("restore", back, "era", m.store.era)
	for _, s := range m.servers {
		if rng.Intn(3) == 0 && !m.noFaults { // Package conductor keeps entries from going back for a heartbeat.
			s.entry.Incarnation = registrar.Incarnation(rng.Intn(int(s.incarnation) + 1))
			s.registered = s.registered && rng.Intn(2) == 0
			m.after(time.Duration(100+rng.Intn(800))*time.Millisecond, func() { m.register(s) })
		}
	}
}

// version returns the version of an object at a revision, as instances see it.
func (s *storeModel) version(revision identifier.Version) identifier.Version {
	if s.ignoreEras {
		return revision
	}
	return s.era.Version(revision)
}

// scheduleRestores adds one to three restores that go back 0.5 to 10 s. Some follow the one before at once, and after some all
// instances lose power. They have random numbers of their own, so that the other faults of a seed stay.
func (m *model) scheduleRestores(seed int64) {
	rng := rand.New(rand.NewSource(seed + 1<<40))
	m.store.era, m.store.ignoreEras = 1, m.ignoreEras
	at := time.Duration(0)
	for range 1 + rng.Intn(3) {
		back := 500*time.Millisecond + time.Duration(rng.Int63n(int64(9500*time.Millisecond)))
		if at == 0 || rng.Intn(2) == 0 {
			at = 4*time.Second + time.Duration(rng.Int63n(int64(faultTime-4*time.Second)))
		} else {
			at += time.Duration(rng.Int63n(int64(3 * time.Second)))
		}
		loss, spare := rng.Intn(2) == 0, rng.Intn(2) == 0
		m.after(at, func() {
			m.restore(back, rng)
			if loss {
				m.after(time.Duration(rng.Int63n(int64(time.Second))), func() { m.losePower(rng, spare) })
			}
		})
	}
}

// losePower kills all instances; they start again within 2 s. If spare is set, one of them survives, and is cut off from the
// others and from the store.
func (m *model) losePower(rng *rand.Rand, spare bool) {
	m.printEvent("power loss", spare)
	survivor := m.instances[rng.Intn(len(m.instances))]
	for _, in := range m.instances {
		if spare && in == survivor {
			in.noPeers, in.noStore = true, rng.Intn(2) == 0
			m.after(time.Duration(5+rng.Intn(15))*time.Second, func() { in.noPeers, in.noStore = false, false })
			continue
		}
		m.kill(in)
		m.after(time.Second+time.Duration(rng.Int63n(int64(time.Second))), func() { m.start(in) })
	}
}

// noticeEra lets an instance notice the era of the store, which lists the shared objects then.
func (m *model) noticeEra(in *instance, era identifier.Era) {
	if m.ignoreEras || !in.ownership.SetEra(m.now, era) {
		return
	}
	process := in.process
	m.after(time.Duration(20+in.started%5*40)*time.Millisecond, func() {
		if in.process == process && process != 0 && !in.frozen {
			m.listObjects(in)
		}
	})
}

// recorded returns the instances on record in the store.
func (m *model) recorded() []identifier.Instance {
	if m.ignoreRecords {
		return []identifier.Instance{m.instances[0].name}
	}
	var names []identifier.Instance
	for _, in := range m.instances {
		names = append(names, in.name)
	}
	return names
}

// copyAllocation passes the allocation that an instance knows on to another one, which requests it if it is newer.
func (m *model) copyAllocation(from, to *instance) {
	a := from.ownership.Allocation(service)
	if m.store.era == 0 || a == nil || to.ownership.Versions()[service] >= a.Version {
		return
	}
	data, _ := a.Encode()
	to.ownership.ApplyObjects(m.now, []storer.Object{{Name: custodian.AllocationPrefix + string(service), Version: a.Version, Data: data}}, time.Time{})
}

// holders returns the server that holds each key; the name is empty if none does.
func (m *model) holders() []identifier.BackendServer {
	held := make([]identifier.BackendServer, identifier.ShardKeyCount)
	for _, s := range m.servers {
		for _, g := range s.grants {
			if s.up && g.until.After(m.now) {
				for key := int(g.rng.From); key <= int(g.rng.To); key++ {
					held[key] = s.id
				}
			}
		}
	}
	return held
}

// TestRestoreAlone guards against keys that change their owner, or lose it, while the store comes back from a copy and
// nothing else happens; against an era in which no allocation is written; and against keys that stay without an owner for
// more than 5 s once all instances may write again after a power loss that follows.
func TestRestoreAlone(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		for _, loss := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/%t", seed, loss), func(t *testing.T) {
				t.Parallel()
				checkRestoreAlone(t, seed, loss)
			})
		}
	}
}

func checkRestoreAlone(t *testing.T, seed int64, loss bool) {
	t.Helper()
	m := newModel(seed, variant{noFaults: true})
	rng := rand.New(rand.NewSource(seed))
	m.store.era = 1
	restored := 15*time.Second + time.Duration(rng.Int63n(int64(2*time.Second)))
	var before []identifier.BackendServer
	m.after(restored, func() {
		before = m.holders()
		m.restore(500*time.Millisecond+time.Duration(rng.Int63n(int64(9500*time.Millisecond))), rng)
		if loss {
			m.losePower(rng, false)
		}
	})
	check := func() {
		if t.Failed() {
			return
		}
		for key, owner := range m.holders() {
			if owner == "" || !loss && owner != before[key] {
				t.Errorf("%s after the restore: key %d is held by %q, before by %q", m.now.Sub(time.Unix(1000, 0))-restored, key, owner, before[key])
				return
			}
		}
	}
	first := restored
	if loss {
		first += 2*time.Second + custodian.DiscoveryTime + 5*time.Second // All have started, and write from then on.
	}
	for at := first; at < restored+40*time.Second; at += 100 * time.Millisecond {
		m.after(at+time.Millisecond, check)
	}
	m.after(restored+6*time.Second, func() {
		for _, in := range m.instances {
			if a := in.ownership.Allocation(service); a == nil || a.NextEpoch.Era() != 2 {
				t.Errorf("%s does not have the allocation of the new era 6 s after the restore", in.name)
			}
		}
	})
	m.run()
	for _, violation := range m.violations {
		t.Error(violation)
	}
}
