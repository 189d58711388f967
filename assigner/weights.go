package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

const (
	// smoothing is the weight of a new measurement in the exponential moving average of a
	// partition's load. There is one measurement a second.
	smoothing = 0.2
	// smoothingTime is the time over which the moving average smooths: 1/smoothing measurements.
	smoothingTime = 5 * time.Second
	// keyDecay is the share by which a key's load falls each second, in addition to the effect of
	// new measurements.
	keyDecay = 0.05
	// baseShare is the weight that every partition has in addition to its measured load, as a share
	// of the mean load of a partition. It makes a plan spread idle partitions too.
	baseShare = 0.05
)

// Weights holds the loads that a plan is based on.
type Weights struct {
	// ByPartition holds the load of each partition, in requests per second if Measured is true.
	ByPartition []float64
	// Measured is false if less than one request per second is measured for the whole service. Every
	// partition then weighs 1.
	Measured bool
	// Fixed holds the partitions that must not be moved to even out load.
	Fixed map[identifier.Partition]bool
}

// loads holds the smoothed loads of a service, in requests per second.
type loads struct {
	rates map[identifier.Partition]float64
	keys  map[identifier.Key]float64 // Keys that were recently among the most loaded ones.
}

func newLoads() loads {
	return loads{map[identifier.Partition]float64{}, map[identifier.Key]float64{}}
}

// record adds a coordinator's measurements to the moving averages.
func (l *loads) record(measured granter.Loads) {
	for _, m := range measured.Partitions {
		l.rates[m.Partition] += smoothing * (m.Rate - l.rates[m.Partition])
	}
	for _, m := range measured.Keys {
		l.keys[m.Key] += smoothing * (m.Rate - l.keys[m.Key])
	}
}

// decay lowers the load of each key, so that keys that are no longer reported are dropped once their
// load is below one request per second. The caller must call it once a second.
func (l *loads) decay() {
	for k, rate := range l.keys {
		l.keys[k] = rate * (1 - keyDecay)
		if l.keys[k] < 1 {
			delete(l.keys, k)
		}
	}
}

// transfer moves the load of a newly pinned key from its former partition to its own one, so that the
// former partition does not seem hot until it is measured again.
func (l *loads) transfer(k identifier.Key, from, to identifier.Partition) {
	l.rates[to] = l.keys[k]
	l.rates[from] = max(0, l.rates[from]-l.keys[k])
}

// total returns the measured load of the service, in requests per second.
func (l *loads) total() float64 {
	total := 0.0
	for _, r := range l.rates {
		total += r
	}
	return total
}

// weights returns the weights of n partitions. If less than one request per second is measured, every
// partition weighs 1.
func (l *loads) weights(n int) Weights {
	total := l.total()
	w := Weights{ByPartition: make([]float64, n), Measured: total >= 1}
	base := 1.0
	if w.Measured {
		base = baseShare * total / float64(n)
	}
	for p := range w.ByPartition {
		w.ByPartition[p] = base
		if w.Measured {
			w.ByPartition[p] += l.rates[identifier.Partition(p)]
		}
	}
	return w
}
