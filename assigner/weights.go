package assigner

import (
	"time"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
)

// smoothing is the share of a new measurement in a partition's weight.
const smoothing = 0.3

// baseShare is the weight that every partition has besides its measured load, as a
// share of the mean load: idle partitions are spread too.
const baseShare = 0.05

// weights keeps the smoothed load of each partition, in requests per second.
type weights struct {
	rates map[identifier.Partition]float64
}

func (ws *weights) take(_ time.Time, loads []granter.PartitionLoad) {
	if ws.rates == nil {
		ws.rates = map[identifier.Partition]float64{}
	}
	for _, l := range loads {
		ws.rates[l.Partition] += smoothing * (l.Rate - ws.rates[l.Partition])
	}
}

// all returns the weight of each of n partitions.
func (ws *weights) all(n int) []float64 {
	total := 0.0
	for _, r := range ws.rates {
		total += r
	}
	base := baseShare * total / float64(n)
	if total < 1 {
		base = 1
	}
	all := make([]float64, n)
	for p := range all {
		all[p] = base + ws.rates[identifier.Partition(p)]
	}
	return all
}
