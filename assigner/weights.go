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
	// baseShare is the weight that every partition has besides its measured load, as a
	// share of the mean load: idle partitions are spread too.
	baseShare = 0.05
)

// Weights are the loads that a plan goes by.
type Weights struct {
	Of []float64 // Of each partition.
	// Measured is false if nearly nothing is measured, and every partition weighs 1.
	Measured bool
}

// loads keeps the smoothed load of each partition, in requests per second.
type loads struct {
	rates map[identifier.Partition]float64
}

func (l *loads) take(measured []granter.PartitionLoad) {
	if l.rates == nil {
		l.rates = map[identifier.Partition]float64{}
	}
	for _, m := range measured {
		l.rates[m.Partition] += smoothing * (m.Rate - l.rates[m.Partition])
	}
}

// weights returns the weight of each of n partitions.
func (l *loads) weights(n int) Weights {
	total := 0.0
	for _, r := range l.rates {
		total += r
	}
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
