package controller

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/storer"
)

// The load that the platform can serve grows more slowly than the number of instances. Therefore one instance of
// each zone reads the platform's list of instances at short intervals and sends the changes to the other instances
// of its zone. Those read the list themselves at long intervals, for two reasons: a message may be lost, and only a
// list that an instance has read itself proves that another instance has ended.

// PollsListOften reports whether this instance must read the platform's list at short intervals: it is the instance
// of its zone that ranks first for this task, or it is an assigner, which must learn soon that an instance has ended.
func (c *Controller) PollsListOften() bool {
	for _, a := range c.assigners {
		if a.Leads() {
			return true
		}
	}
	candidates := []identifier.Instance{c.cfg.Self.Instance}
	for i, z := range c.prober.Live() {
		if z == c.cfg.Self.Zone {
			candidates = append(candidates, i)
		}
	}
	top, _ := ranker.Top("List/"+string(c.cfg.Self.Zone), candidates)
	return top == c.cfg.Self.Instance
}

// handleList handles a list that this instance has read itself.
func (c *Controller) handleList(now time.Time, list []storer.ListedInstance) {
	if m, changed := listChanges(c.listed, list); changed && c.PollsListOften() {
		c.sendListChanges(now, m)
	}
	c.listed, c.listReadAt = list, now
	c.refreshList(now)
}

// sendListChanges sends the changes of the list to the live instances of this zone.
func (c *Controller) sendListChanges(now time.Time, m ListChangeMessage) {
	for i, z := range c.prober.Live() {
		if z == c.cfg.Self.Zone {
			c.send(now, i, m)
		}
	}
}

// listChanges returns the changes from one list to another; changed is false if there are none.
func listChanges(before, after []storer.ListedInstance) (m ListChangeMessage, changed bool) {
	known := byID(before)
	for _, l := range after {
		if old, ok := known[l.ID]; !ok || !reflect.DeepEqual(old, l) {
			m.Changed = append(m.Changed, l)
		}
		delete(known, l.ID)
	}
	m.Removed = slices.Sorted(maps.Keys(known))
	return m, len(m.Changed)+len(m.Removed) > 0
}

func byID(list []storer.ListedInstance) map[string]storer.ListedInstance {
	all := make(map[string]storer.ListedInstance, len(list))
	for _, l := range list {
		all[l.ID] = l
	}
	return all
}

// applyListChanges applies the changes of the list that another instance has seen. They do not prove that an
// instance has ended, so listReadAt stays the time of the last list that this instance has read itself.
func (c *Controller) applyListChanges(now time.Time, m ListChangeMessage) {
	all := byID(c.listed)
	for _, l := range m.Changed {
		all[l.ID] = l
	}
	for _, id := range m.Removed {
		delete(all, id)
	}
	c.listed = c.listed[:0:0]
	for _, id := range slices.Sorted(maps.Keys(all)) {
		c.listed = append(c.listed, all[id])
	}
	c.refreshList(now)
}
