// Package router decides where a request goes. For a keyed service it finds the backend server that owns
// the request's key and the instance that coordinates that server; for a pool service, which is one that
// is not divided by key, it chooses among the servers. A Table is built when something changes and only
// read afterwards, so that routing a key takes no lock and allocates no memory.
//
// Start reading at Service.RouteKey in router.go; pool.go has the choice for pool services.
package router

import (
	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

// Server is what the router knows of a backend server.
type Server struct {
	ID   identifier.BackendServer
	Zone identifier.Zone
	// Coordinator is the instance that should coordinate the server; empty if no instance can.
	Coordinator identifier.Instance
	// Usable says that new partitions and requests may go to the server: it is listed, neither leaving nor
	// drained, and its zone is in use.
	Usable bool
}

// Service is the part of a Table for one service.
type Service struct {
	Name        identifier.ServiceName
	Settings    configurer.EffectiveSettings
	Assignment  *partitioner.Assignment // Nil until the service has an assignment.
	Servers     map[identifier.BackendServer]*Server
	PoolServers []*Server // The usable servers of a pool service, sorted by name.
}

// Table has the routes of all services at one time. It must not be changed after it was built.
type Table struct {
	Services map[identifier.ServiceName]*Service
	// Revision is the revision of the platform that the table was built from.
	Revision identifier.Version
}

// Route is where a request for a key goes: the key's partition with its epoch, the owner and the owner's
// coordinator.
type Route struct {
	Partition   identifier.Partition
	Epoch       identifier.Epoch
	Server      identifier.BackendServer
	Coordinator identifier.Instance
}

// Find returns a service's part of the table, or false if the table does not have the service.
func (t *Table) Find(s identifier.ServiceName) (*Service, bool) {
	service, ok := t.Services[s]
	return service, ok
}

// RouteKey returns where a request for a key goes, with CodeOK. Without a route it returns CodeNoOwner if
// the key's partition has no owner, CodeNoBackendServer if the owner is not listed, or CodeNoCoordinator
// if no instance coordinates it.
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
