package granter

import (
	"slices"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// confirm returns the confirmation that this process no longer grants the partitions that are moving
// in the present assignment of a service, with its outstanding grants of them. It returns nothing if
// no partition is moving.
func (g *Granter) confirm(now time.Time, s identifier.ServiceName) []Action {
	view := g.assignments[s]
	moving := view.assignment.Moving()
	if len(moving) == 0 {
		return nil
	}
	confirmation := Confirmation{Service: s, Version: view.version, Instance: g.cfg.Self, Incarnation: g.cfg.Incarnation}
	for _, p := range moving {
		owner, e, _ := view.assignment.Owner(p)
		if c, ok := g.servers[owner]; ok {
			confirmation.Grants = append(confirmation.Grants, c.outstandingOf(now, view.assignment, Grant{p, e})...)
		}
	}
	return []Action{SendConfirmation{confirmation}}
}

// reports returns, for each service that is divided by key, the report on the servers that this
// instance coordinates or queries, sorted by service.
func (g *Granter) reports(now time.Time) []Action {
	byService := map[identifier.ServiceName]*Report{}
	for _, c := range g.coordinations() {
		if c.role == idle || !c.info.Keyed {
			continue
		}
		r, ok := byService[c.info.Service]
		if !ok {
			r = &Report{Service: c.info.Service, Instance: g.cfg.Self, Loads: g.loads[c.info.Service]}
			byService[c.info.Service] = r
		}
		r.Servers = append(r.Servers, ServerReport{
			Server: c.info.ID, UnresponsiveFor: c.unresponsiveFor(now), State: c.answer.State,
			Load: c.answer.Load,
		})
	}
	var actions []Action
	for _, r := range byService {
		actions = append(actions, SendReport{*r})
	}
	slices.SortFunc(actions, func(x, y Action) int {
		return strings.Compare(x.(SendReport).Report.Service.String(), y.(SendReport).Report.Service.String())
	})
	return actions
}

// services returns the services whose assignment was read, sorted by name.
func (g *Granter) services() []identifier.ServiceName {
	names := make([]identifier.ServiceName, 0, len(g.assignments))
	for s := range g.assignments {
		names = append(names, s)
	}
	slices.SortFunc(names, func(x, y identifier.ServiceName) int {
		return strings.Compare(x.String(), y.String())
	})
	return names
}
