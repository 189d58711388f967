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

// The platform's reads grow more slowly than the fleet, so one instance of each zone
// reads the list often and tells the others of its zone what has changed. Those read
// it themselves now and then only: a message may be lost, and only a list that an
// instance has read itself proves that another instance has ended.

// ReadsList reports whether this instance reads the list often: it is the one of its
// zone that does, or an assigner, which must learn soon that an instance has ended.
func (c *Controller) ReadsList() bool {
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

// readList takes in a list that this instance has read.
func (c *Controller) readList(now time.Time, list []storer.Listed) {
	if m, changed := difference(c.listed, list); changed && c.ReadsList() {
		c.tellList(now, m)
	}
	c.listed, c.listedAt = list, now
	c.refreshList(now)
}

func (c *Controller) tellList(now time.Time, m ListMessage) {
	for i, z := range c.prober.Live() {
		if z == c.cfg.Self.Zone {
			c.send(now, i, m)
		}
	}
}

// difference returns what has changed from one list to another.
func difference(before, after []storer.Listed) (m ListMessage, changed bool) {
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

func byID(list []storer.Listed) map[string]storer.Listed {
	all := make(map[string]storer.Listed, len(list))
	for _, l := range list {
		all[l.ID] = l
	}
	return all
}

// changeList takes in what another instance has seen change. It is no proof of an
// instance's end, so the time of the list stays that of the last one read.
func (c *Controller) changeList(now time.Time, m ListMessage) {
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
