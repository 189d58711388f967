package coordinator

import (
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/sketcher"
)

const (
	// sketchSize is the number of keys per service that are counted at a time.
	sketchSize = 64
	// reportedKeys is the number of keys that are reported per service, those with the most requests.
	reportedKeys = 8
)

// loadCounter counts requests per partition and finds the keys with the most requests. A partition that
// had requests in one period and none in the next is reported once with rate 0.
type loadCounter struct {
	mu       sync.Mutex
	services map[identifier.ServiceName]*serviceCounter
	since    time.Time
}

// serviceCounter has the counts of one service.
type serviceCounter struct {
	counts map[identifier.Partition]int
	keys   *sketcher.Sketch
}

// newLoadCounter returns a loadCounter without counts.
func newLoadCounter() *loadCounter {
	return &loadCounter{services: map[identifier.ServiceName]*serviceCounter{}}
}

// count counts one request.
func (l *loadCounter) count(s identifier.ServiceName, p identifier.Partition, k identifier.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counter, ok := l.services[s]
	if !ok {
		counter = &serviceCounter{map[identifier.Partition]int{}, sketcher.New(sketchSize)}
		l.services[s] = counter
	}
	counter.counts[p]++
	counter.keys.Add(k)
}

// drain returns the requests per second since it was last called and starts a new period. The first call
// returns an empty map, as the start of its period is not known.
func (l *loadCounter) drain(now time.Time) map[identifier.ServiceName]granter.Loads {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := now.Sub(l.since).Seconds()
	hasInterval := !l.since.IsZero() && seconds > 0
	l.since = now
	measured := make(map[identifier.ServiceName]granter.Loads, len(l.services))
	for s, counter := range l.services {
		m := counter.drain(seconds)
		if hasInterval {
			measured[s] = m
		}
	}
	return measured
}

// drain returns the requests per second of a period of that many seconds and resets the counts.
func (l *serviceCounter) drain(seconds float64) granter.Loads {
	var m granter.Loads
	for p, n := range l.counts {
		m.Partitions = append(m.Partitions, granter.PartitionLoad{Partition: p, Rate: float64(n) / seconds})
		l.counts[p] = 0
		if n == 0 {
			delete(l.counts, p)
		}
	}
	for _, c := range l.keys.Top(reportedKeys) {
		m.Keys = append(m.Keys, granter.KeyLoad{Key: c.Key, Rate: float64(c.Count) / seconds})
	}
	l.keys.Reset()
	return m
}
