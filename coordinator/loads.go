package coordinator

import (
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// loads counts requests per partition. A partition that was busy and falls idle is
// reported once with rate 0.
type loads struct {
	mu     sync.Mutex
	counts map[identifier.ServiceName]map[identifier.Partition]int
	since  time.Time
}

func newLoads() *loads {
	return &loads{counts: map[identifier.ServiceName]map[identifier.Partition]int{}}
}

func (l *loads) count(s identifier.ServiceName, p identifier.Partition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts, ok := l.counts[s]
	if !ok {
		counts = map[identifier.Partition]int{}
		l.counts[s] = counts
	}
	counts[p]++
}

func (l *loads) drain(now time.Time) map[identifier.ServiceName][]granter.PartitionLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := now.Sub(l.since).Seconds()
	first := l.since.IsZero()
	l.since = now
	rates := make(map[identifier.ServiceName][]granter.PartitionLoad, len(l.counts))
	for s, counts := range l.counts {
		for p, n := range counts {
			if !first && seconds > 0 {
				rates[s] = append(rates[s], granter.PartitionLoad{Partition: p, Rate: float64(n) / seconds})
			}
			counts[p] = 0
			if n == 0 {
				delete(counts, p)
			}
		}
	}
	return rates
}
