// Package estimator learns how much work requests cost and how fast backend servers are, from the service times of answered
// requests. Work is measured in milliseconds of service at a server of average speed whose machine is as fast as usual. The
// package does no I/O and reads no clock.
//
// Requests are grouped by service, route, method and size of the body; within a group, keys or paths that repeat have a
// factor of their own. Start with Estimator in estimator.go; distribution.go has the distribution of a group's work.
package estimator

import (
	"math"
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/turmericlift/turmericlift/identifier"
)

// Class is what is known of a request before it runs.
type Class struct {
	Service  identifier.Service
	Route    string
	Method   string
	BodySize int
	Item     uint64 // Hash of the key or the path; 0 if there is none.
}

// Observation is the service time of an answered request.
type Observation struct {
	Class       Class
	Server      identifier.BackendServer
	ServiceTime float64 // In milliseconds, without the time for which the request waited.
	Slowness    float64 // Factor by which the server's machine was slower than usual.
	// Weight is from 0 to 1; less than 1 if the service time is uncertain, as that of a request that waited at the server.
	Weight float64
}

const (
	// maxGroups, maxItems and maxServers bound the memory: about 0.5 KB a group and 100 bytes an item or server.
	maxGroups  = 256
	maxItems   = 4096
	maxServers = 2048
	// itemPrior and serverPrior are the numbers of observations at which a factor is trusted by half. The speeds of servers
	// have a standard deviation of about 0.3 in logarithms and the work of requests one of 0.7, which gives 5.
	itemPrior   = 4
	serverPrior = 5
	// minItemRate and minServerRate are the least weights of a new observation in a factor's moving average.
	minItemRate   = 0.05
	minServerRate = 0.03
	// maxResidual bounds the logarithm of the ratio of an observation to its expectation: a factor of 5. It bounds what one
	// false report can change.
	maxResidual = 1.6
	// minFactor and maxFactor bound the learned factors of items and servers.
	minFactor = 0.25
	maxFactor = 4
	// minSlowness and maxSlowness bound the slowness that a server reports.
	minSlowness = 0.5
	maxSlowness = 8
	// defaultWork is the work of a request of which nothing is known, in milliseconds.
	defaultWork = 100
)

// factor is a factor on service times, learned in logarithms.
type factor struct {
	log    float64
	weight float64 // Sum of the weights of its observations.
}

// record adds the logarithm of an observed factor.
func (f *factor) record(log, weight, minRate float64) {
	f.weight += weight
	f.log += max(weight/f.weight, minRate*weight) * (log - f.log)
}

// shrunk returns the logarithm of the factor, shrunk towards 0 while there are few observations.
func (f factor) shrunk(prior float64) float64 {
	return min(max(f.log*f.weight/(f.weight+prior), math.Log(minFactor)), math.Log(maxFactor))
}

// groupKey identifies a group of requests. The group of a whole service has no route.
type groupKey struct {
	service       identifier.Service
	route, method string
	size          int // Logarithm of the size of the body, to the base 4.
}

// itemKey identifies a key or a path within a group.
type itemKey struct {
	group groupKey
	item  uint64
}

// speeds is the mean of the logarithms of a service's server factors. Factors count relative to it.
type speeds struct{ sum, count float64 }

// Estimator learns the work of requests and the speed of servers. It is not safe for concurrent use.
type Estimator struct {
	groups  *simplelru.LRU[groupKey, *Distribution]
	items   *simplelru.LRU[itemKey, *factor]
	servers *simplelru.LRU[identifier.BackendServer, *factor]
	means   map[identifier.Service]*speeds // Bounded by the services of the servers, which are few.
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	// The errors are for sizes that are not positive.
	groups, _ := simplelru.NewLRU[groupKey, *Distribution](maxGroups, nil)
	items, _ := simplelru.NewLRU[itemKey, *factor](maxItems, nil)
	servers, _ := simplelru.NewLRU[identifier.BackendServer, *factor](maxServers, nil)
	return &Estimator{groups: groups, items: items, servers: servers, means: map[identifier.Service]*speeds{}}
}

// Estimate is the estimated work of a request.
type Estimate struct {
	distribution *Distribution
	factor       float64
}

// Estimate returns the estimated work of a request of the given class.
func (e *Estimator) Estimate(c Class) Estimate {
	key := keyOf(c)
	if c.Item != 0 {
		if f, ok := e.items.Get(itemKey{key, c.Item}); ok {
			return Estimate{e.group(key), math.Exp(f.shrunk(itemPrior))}
		}
	}
	return Estimate{e.group(key), 1}
}

// Service returns the estimated work of a request of a service of which nothing else is known.
func (e *Estimator) Service(service identifier.Service) Estimate {
	return Estimate{e.group(groupKey{service: service}), 1}
}

// Slowdown returns the learned factor by which requests take longer at a server than at the average one of its service.
func (e *Estimator) Slowdown(service identifier.Service, id identifier.BackendServer) float64 {
	f, ok := e.servers.Peek(id)
	if !ok {
		return 1
	}
	return math.Exp(f.shrunk(serverPrior) - e.mean(service))
}

// Record learns from an answered request. Observations without a positive time or weight are ignored.
func (e *Estimator) Record(o Observation) {
	if !(o.ServiceTime > 0) || !(o.Weight > 0) || math.IsInf(o.ServiceTime, 1) {
		return
	}
	weight := min(o.Weight, 1)
	slowness := o.Slowness
	if !(slowness > 0) {
		slowness = 1
	}
	log := math.Log(o.ServiceTime / min(max(slowness, minSlowness), maxSlowness))
	key := keyOf(o.Class)
	group := e.group(key)
	server := e.server(o.Class.Service, o.Server)
	serverLog := server.shrunk(serverPrior) - e.mean(o.Class.Service)
	itemLog := 0.0
	if o.Class.Item != 0 {
		item, ok := e.items.Get(itemKey{key, o.Class.Item})
		if !ok {
			item = &factor{}
			e.items.Add(itemKey{key, o.Class.Item}, item)
		}
		itemLog = item.shrunk(itemPrior)
		item.record(bounded(log-serverLog-group.logMean()), weight, minItemRate)
	}
	e.recordServer(o.Class.Service, server, bounded(log-group.logMean()-itemLog), weight)
	group.record(log-serverLog-itemLog, weight)
	e.group(groupKey{service: o.Class.Service}).record(log-serverLog, weight)
}

// server returns the factor of a server, which is created if it is new.
func (e *Estimator) server(service identifier.Service, id identifier.BackendServer) *factor {
	f, ok := e.servers.Get(id)
	if !ok {
		f = &factor{}
		e.servers.Add(id, f)
		if e.means[service] == nil {
			e.means[service] = &speeds{}
		}
		e.means[service].count++
	}
	return f
}

// recordServer adds an observation to a server's factor and to the mean of its service.
func (e *Estimator) recordServer(service identifier.Service, f *factor, log, weight float64) {
	m := e.means[service]
	if m == nil { // The server had another service before.
		m = &speeds{count: 1}
		e.means[service] = m
	}
	before := f.shrunk(serverPrior)
	f.record(log, weight, minServerRate)
	m.sum += f.shrunk(serverPrior) - before
}

// mean returns the mean of the logarithms of the factors of a service's servers.
func (e *Estimator) mean(service identifier.Service) float64 {
	m := e.means[service]
	if m == nil {
		return 0
	}
	return min(max(m.sum/max(m.count, 1), math.Log(minFactor)), math.Log(maxFactor))
}

// group returns the distribution of a group, which is created if it is new: with a small weight, it is then that of the
// service.
func (e *Estimator) group(key groupKey) *Distribution {
	if d, ok := e.groups.Get(key); ok {
		return d
	}
	var d *Distribution
	if whole := (groupKey{service: key.service}); key != whole {
		d = e.group(whole).prior()
	} else {
		d = newDistribution(defaultWork)
	}
	e.groups.Add(key, d)
	return d
}

// keyOf returns the group of a class.
func keyOf(c Class) groupKey {
	return groupKey{c.Service, c.Route, c.Method, bits.Len(uint(max(c.BodySize, 0))) / 2}
}

// bounded bounds the logarithm of the ratio of an observation to its expectation.
func bounded(log float64) float64 { return min(max(log, -maxResidual), maxResidual) }

// Sizes returns the numbers of groups, items and servers that are kept.
func (e *Estimator) Sizes() (groups, items, servers int) {
	return e.groups.Len(), e.items.Len(), e.servers.Len()
}
