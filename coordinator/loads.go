package coordinator

import (
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/sketcher"
)

const (
	// sketchSize is the number of keys that are counted per service.
	sketchSize = 64
	// reportedKeys is the number of keys that are reported per service.
	reportedKeys = 8
)

// loads counts requests per partition and finds the heaviest keys. A partition that
// was busy and falls idle is reported once with rate 0.
type loads struct {
	mu       sync.Mutex
	services map[identifier.ServiceName]*serviceLoads
	since    time.Time
}

type serviceLoads struct {
	counts map[identifier.Partition]int
	keys   *sketcher.Sketch
}

func newLoads() *loads {
	return &loads{services: map[identifier.ServiceName]*serviceLoads{}}
}

func (l *loads) count(s identifier.ServiceName, p identifier.Partition, k identifier.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads, ok := l.services[s]
	if !ok {
		loads = &serviceLoads{map[identifier.Partition]int{}, sketcher.New(sketchSize)}
		l.services[s] = loads
	}
	loads.counts[p]++
	loads.keys.Add(k)
}

// drain returns the loads since it was last called.
func (l *loads) drain(now time.Time) map[identifier.ServiceName]granter.Loads {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := now.Sub(l.since).Seconds()
	known := !l.since.IsZero() && seconds > 0
	l.since = now
	measured := make(map[identifier.ServiceName]granter.Loads, len(l.services))
	for s, loads := range l.services {
		m := loads.drain(seconds)
		if known {
			measured[s] = m
		}
	}
	return measured
}

func (l *serviceLoads) drain(seconds float64) granter.Loads {
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
