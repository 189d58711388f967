package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

const (
	// smoothing is the share of a new measurement, one a second, in a partition's load.
	smoothing = 0.2
	// weightMemory is the time that the smoothing remembers: 1/smoothing measurements.
	weightMemory = 5 * time.Second
	// fading is the share of a key's load that is forgotten each second, besides what
	// new measurements replace.
	fading = 0.05
	// baseShare is the weight that every partition has besides its measured load, as a
	// share of the mean load: idle partitions are spread too.
	baseShare = 0.05
)

// Weights are the loads that a plan goes by.
type Weights struct {
	Of []float64 // Of each partition.
	// Measured is false if nearly nothing is measured, and every partition weighs 1.
	Measured bool
	// Fixed partitions are not moved to even out load.
	Fixed map[identifier.Partition]bool
}

// loads keeps the smoothed load of each partition, in requests per second.
type loads struct {
	rates map[identifier.Partition]float64
	keys  map[identifier.Key]float64 // Of keys that were among the heaviest lately.
}

func newLoads() loads {
	return loads{map[identifier.Partition]float64{}, map[identifier.Key]float64{}}
}

func (l *loads) take(measured granter.Loads) {
	for _, m := range measured.Partitions {
		l.rates[m.Partition] += smoothing * (m.Rate - l.rates[m.Partition])
	}
	for _, m := range measured.Keys {
		l.keys[m.Key] += smoothing * (m.Rate - l.keys[m.Key])
	}
}

// age lets the keys that are not reported any more fade out; it is called once a
// second.
func (l *loads) age() {
	for k, rate := range l.keys {
		l.keys[k] = rate * (1 - fading)
		if l.keys[k] < 1 {
			delete(l.keys, k)
		}
	}
}

// hand takes the load of a key that was pinned from its former partition to the new
// one, so that the former one does not seem hot until it is measured again.
func (l *loads) hand(k identifier.Key, from, to identifier.Partition) {
	l.rates[to] = l.keys[k]
	l.rates[from] = max(0, l.rates[from]-l.keys[k])
}

// total returns the measured load of the service.
func (l *loads) total() float64 {
	total := 0.0
	for _, r := range l.rates {
		total += r
	}
	return total
}

// weights returns the weight of each of n partitions.
func (l *loads) weights(n int) Weights {
	total := l.total()
	w := Weights{Of: make([]float64, n), Measured: total >= 1}
	base := 1.0
	if w.Measured {
		base = baseShare * total / float64(n)
	}
	for p := range w.Of {
		w.Of[p] = base
		if w.Measured {
			w.Of[p] += l.rates[identifier.Partition(p)]
		}
	}
	return w
}
