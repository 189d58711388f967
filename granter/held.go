package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// Held is a backend server that an instance coordinates, as the request path
// needs it.
type Held struct {
	Server ServerInfo
	Term   identifier.Term
	// ValidUntil bounds the deadline of requests to a server that checks no grants.
	ValidUntil time.Time
	AnsweredAt time.Time
	State      ServerState
	Load       int
	Process    identifier.Incarnation // Of the server, as its last answer says.
	Assignment *partitioner.Assignment
}

// Held returns the servers that this instance coordinates.
func (g *Granter) Held() []Held {
	var held []Held
	for _, c := range g.sorted() {
		if c.role != holding {
			continue
		}
		held = append(held, Held{
			Server: c.info, Term: c.term, ValidUntil: c.validUntil,
			AnsweredAt: c.answeredAt, State: c.answer.State,
			Load: c.answer.Load, Process: c.answer.Ticket.Incarnation, Assignment: g.assignments[c.info.Service].assignment,
		})
	}
	return held
}

// Drained reports whether a stopping process has handed everything over and left
// every roster.
func (g *Granter) Drained() bool {
	if !g.stopping {
		return false
	}
	for _, view := range g.rosters {
		if _, registered := view.roster.Find(g.cfg.Self, g.cfg.Incarnation); registered {
			return false
		}
	}
	return true
}
