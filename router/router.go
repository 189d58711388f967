// Package router decides where a request goes: from its service and key to the
// backend server that owns the key and to the instance that coordinates that
// server. Its table is built when something changes and then only read, so that a
// decision takes no lock and no memory.
package router

import (
	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// Server is a backend server as the router sees it.
type Server struct {
	ID   identifier.BackendServer
	Zone identifier.Zone
	// Coordinator ranks first to coordinate the server; empty if nobody can.
	Coordinator identifier.Instance
	// Usable servers may be given new work: listed, not leaving, not drained, and in
	// a zone that is in.
	Usable bool
}

// Service is one service's part of a table.
type Service struct {
	Name       identifier.ServiceName
	Settings   configurer.Effective
	Assignment *partitioner.Assignment // Nil until there is one.
	Servers    map[identifier.BackendServer]*Server
	Pool       []*Server // Usable servers, sorted by name; of a pool service.
}

// Table is an immutable view of all services.
type Table struct {
	Services map[identifier.ServiceName]*Service
	// Revision is the platform's revision that the table was built from.
	Revision identifier.Version
}

// Route is where a request goes.
type Route struct {
	Partition   identifier.Partition
	Epoch       identifier.Epoch
	Server      identifier.BackendServer
	Coordinator identifier.Instance
}

// Find returns a service's part of the table.
func (t *Table) Find(s identifier.ServiceName) (*Service, bool) {
	service, ok := t.Services[s]
	return service, ok
}

// RouteKey returns where a request for a key goes, or the code of the refusal.
func (s *Service) RouteKey(k identifier.Key) (Route, answerer.Code) {
	if s.Assignment == nil {
		return Route{}, answerer.CodeNoOwner
	}
	p := s.Assignment.PartitionOf(k)
	owner, epoch, ok := s.Assignment.Owner(p)
	if !ok {
		return Route{}, answerer.CodeNoOwner
	}
	server, known := s.Servers[owner]
	if !known {
		return Route{}, answerer.CodeNoBackendServer
	}
	if server.Coordinator == "" {
		return Route{}, answerer.CodeNoCoordinator
	}
	return Route{p, epoch, owner, server.Coordinator}, answerer.CodeOK
}
