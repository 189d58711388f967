// Package director holds the configuration of routes and services, and decides which service a request goes to:
// Table.Match finds the route by host and path, and Splitter chooses among the services of the route. Start with Table in
// director.go; tenants.go has the tenants and the look-up of their API keys.
package director

import (
	"sort"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Priority is the priority of a route's requests; 0 is the most urgent, and higher numbers are less urgent.
type Priority int

// Share is one of the services among which a route's requests are split. Its share of the requests is its Weight divided
// by the sum of the weights of the route.
type Share struct {
	Service identifier.Service
	Weight  int
}

// Route says how requests to one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string
	Idempotent    bool          // Its requests may be run more than once.
	UnknownKind   string        // The kind of the route, quoted, if it is unknown; its requests count as not idempotent.
	Timeout       time.Duration // Longest time that a caller waits for an answer.
	TargetLatency time.Duration // An answer that takes longer is worth less.
	Priority      Priority
	MaxAttempts   int  // Attempts after which a request that may have run is not sent again; one more if none ran it.
	Anonymous     bool // Its requests need no API key, where the configuration has tenants.
	Shares        []Share
}

// Service is the configuration of a service.
type Service struct {
	Name           identifier.Service
	HealthPath     string
	MaxConnections int           // Connections that each backend server accepts, from all instances together.
	ColdFor        time.Duration // How long a backend server is cold after its start.
	ColdRate       float64       // Requests a second that a cold backend server can run.
	Keyed          bool          // Whether requests have keys, each of which has one owner.
	WarmUp         time.Duration // How long requests for a key are slow after a move without a handover.
}

// Limits bound the size and the time of callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration. It does not change, so it is safe for concurrent use.
type Table struct {
	Version  uint64
	Services map[identifier.Service]Service
	Limits   Limits
	hosts    map[string][]*Route // Routes by host, those with the longest prefixes first.
	// tenants and byKey are nil if the configuration has no tenants.
	tenants map[identifier.Tenant]*Tenant
	byKey   map[KeyDigest]*Tenant
}

// New returns a Table with the given version. It keeps pointers to the elements of routes, which must not change any
// more. The hosts of routes must be in lower case.
func New(version uint64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: map[identifier.Service]Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for n := range routes {
		r := &routes[n]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(a, b int) bool { return len(list[a].PathPrefix) > len(list[b].PathPrefix) })
	}
	return t
}

// UnknownKinds returns the number of routes of each unknown kind.
func (t *Table) UnknownKinds() map[string]int {
	kinds := map[string]int{}
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.UnknownKind != "" {
				kinds[r.UnknownKind]++
			}
		}
	}
	return kinds
}

// Match returns the route of a host whose path prefix is the longest that path starts with, or nil if there is none.
// The host may have a port, which is ignored, and may be in upper case.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Splitter distributes the requests of each route over its services in proportion to their weights by smooth weighted
// round robin, which is exact and not random. It is not safe for concurrent use.
type Splitter struct {
	// credits has a counter for each service of a route, by the names of the route and its services. The service with
	// the highest counter gets the next request.
	credits map[string][]int
}

// NewSplitter returns a Splitter whose counters are 0.
func NewSplitter() *Splitter { return &Splitter{map[string][]int{}} }

// Next returns the service for the next request of a route. A route whose services changed starts again with counters
// of 0.
func (s *Splitter) Next(r *Route) identifier.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	name := r.Name + "\x00" + serviceNames(r.Shares)
	credits := s.credits[name]
	if len(credits) != len(r.Shares) {
		credits = make([]int, len(r.Shares))
		s.credits[name] = credits
	}
	total, best := 0, 0
	for n, share := range r.Shares {
		credits[n] += share.Weight
		total += share.Weight
		if credits[n] > credits[best] {
			best = n
		}
	}
	credits[best] -= total
	return r.Shares[best].Service
}

// serviceNames returns the names of the services, each ended by a zero byte.
func serviceNames(shares []Share) string {
	var b strings.Builder
	for _, share := range shares {
		b.WriteString(string(share.Service))
		b.WriteByte(0)
	}
	return b.String()
}
