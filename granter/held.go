package granter

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// CoordinatedServer is a backend server that this instance coordinates, with what the request path needs to know of
// it.
type CoordinatedServer struct {
	Server ServerInfo
	// Term is the term under which this instance coordinates the server.
	Term identifier.Term
	// ValidUntil is the latest deadline for requests to a server that does not check grants.
	ValidUntil time.Time
	// AnsweredAt is when the server's last answer arrived. The state, the load and the incarnation
	// are those of that answer.
	AnsweredAt time.Time
	State      ServerState
	Load       int
	// Incarnation identifies the server's process.
	Incarnation identifier.Incarnation
	// Assignment is the present assignment of the server's service; it is nil if none was read.
	Assignment *partitioner.Assignment
}

// Coordinated returns the servers that this instance coordinates, sorted by name.
func (g *Granter) Coordinated() []CoordinatedServer {
	var servers []CoordinatedServer
	for _, c := range g.coordinations() {
		if c.role != coordinating {
			continue
		}
		servers = append(servers, CoordinatedServer{
			Server: c.info, Term: c.term, ValidUntil: c.validUntil,
			AnsweredAt: c.answeredAt, State: c.answer.State,
			Load: c.answer.Load, Incarnation: c.answer.Ticket.Incarnation, Assignment: g.assignments[c.info.Service].assignment,
		})
	}
	return servers
}

// Drained reports whether the graceful shutdown is complete: a Stop was received, and this process is
// on no roster. A process leaves a roster only after it has handed its servers over.
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
