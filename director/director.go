// Package director holds the configuration of routes and services and says where a
// request goes.
package director

import (
	"sort"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Rank is the urgency of a route's requests; 0 is the most urgent.
type Rank int

// Part is one service of a route, with its share of the route's requests.
type Part struct {
	Service identifier.Service
	Weight  int
}

// Route is how requests to one host and path prefix are handled.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string
	Idempotent  bool          // Its requests may run more than once.
	Timeout     time.Duration // The longest that a caller is kept waiting.
	Target      time.Duration // The latency that the operator aims at.
	Rank        Rank
	MaxAttempts int // Backend servers that one request may reach.
	Parts       []Part
}

// Service is what the configuration says of a service.
type Service struct {
	Name           identifier.Service
	HealthPath     string
	MaxConnections int           // That each backend server accepts from all callers.
	ColdFor        time.Duration // How long a backend server is cold after its start.
	ColdRate       float64       // Requests a second that a cold backend server bears.
	Keyed          bool          // Its requests have keys, and each key has one owner.
	WarmUp         time.Duration // How long keys that come without a handover are slow.
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Services map[identifier.Service]Service
	Limits   Limits
	hosts    map[string][]*Route // Longest prefix first.
}

// New returns the table of routes, services and limits.
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

// Match returns the route of the longest prefix that begins path, or nil.
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

// Splitter spreads each route's requests over its parts in proportion to their
// weights, exactly and without randomness (smooth weighted round robin). It is not
// safe for concurrent use.
type Splitter struct {
	credits map[string][]int // By route and its parts.
}

// NewSplitter returns a Splitter that has served no request.
func NewSplitter() *Splitter { return &Splitter{map[string][]int{}} }

// Next returns the service of a route's next request.
func (s *Splitter) Next(r *Route) identifier.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	name := r.Name + "\x00" + partNames(r.Parts)
	credits := s.credits[name]
	if len(credits) != len(r.Parts) {
		credits = make([]int, len(r.Parts))
		s.credits[name] = credits
	}
	total, best := 0, 0
	for n, p := range r.Parts {
		credits[n] += p.Weight
		total += p.Weight
		if credits[n] > credits[best] {
			best = n
		}
	}
	credits[best] -= total
	return r.Parts[best].Service
}

func partNames(parts []Part) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(string(p.Service))
		b.WriteByte(0)
	}
	return b.String()
}
