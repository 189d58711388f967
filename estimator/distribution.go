package estimator

import "math"

const (
	// binCount and binWidth make up the bins of a distribution: from 1 ms to 57 s, each 1.32 times as wide as the last.
	binCount = 40
	binWidth = 0.2738
	// priorWeight is the number of observations for which the distribution of a new group counts.
	priorWeight = 3
	// maxWeight is the weight at which the counts are halved, so that a distribution follows changes within some hundred
	// observations.
	maxWeight = 400
	// tailWeight is the share of requests that are taken to last for half as long again as they have already, which covers
	// tails that no observation has shown yet.
	tailWeight = 0.02
)

// binWork is the work of the middle of each bin, in milliseconds.
var binWork = func() (w [binCount]float64) {
	for n := range w {
		w[n] = math.Exp((float64(n) + 0.5) * binWidth)
	}
	return w
}()

// Distribution is the distribution of the work of a group of requests.
type Distribution struct {
	counts [binCount]float64
	// above and workAbove are the count and the work of the bins from each one on.
	above, workAbove [binCount + 1]float64
	logSum           float64
	median, q90      float64
}

// newDistribution returns a distribution with priorWeight around the given work in milliseconds.
func newDistribution(work float64) *Distribution {
	d := &Distribution{}
	at := math.Log(work)
	d.add(at-0.7, 0.25*priorWeight)
	d.add(at, 0.5*priorWeight)
	d.add(at+0.7, 0.25*priorWeight)
	d.update()
	return d
}

// prior returns the same distribution with priorWeight.
func (d *Distribution) prior() *Distribution {
	p := *d
	p.scale(priorWeight / d.above[0])
	p.update()
	return &p
}

// record adds an observation with the given logarithm of its work in milliseconds.
func (d *Distribution) record(log, weight float64) {
	if d.above[0] >= maxWeight {
		d.scale(0.5)
	}
	d.add(log, weight)
	d.update()
}

func (d *Distribution) add(log, weight float64) {
	log = min(max(log, 0), binCount*binWidth)
	d.counts[min(int(log/binWidth), binCount-1)] += weight
	d.logSum += log * weight
}

func (d *Distribution) scale(factor float64) {
	for n := range d.counts {
		d.counts[n] *= factor
	}
	d.logSum *= factor
}

// update computes what the estimates use from the counts.
func (d *Distribution) update() {
	for n := binCount - 1; n >= 0; n-- {
		d.above[n] = d.above[n+1] + d.counts[n]
		d.workAbove[n] = d.workAbove[n+1] + d.counts[n]*binWork[n]
	}
	d.median, d.q90 = d.quantile(0.5), d.quantile(0.9)
}

// logMean returns the mean of the logarithms of the work.
func (d *Distribution) logMean() float64 { return d.logSum / d.above[0] }

// quantile returns the work below which the given share of requests is, interpolated within a bin.
func (d *Distribution) quantile(share float64) float64 {
	left := share * d.above[0]
	for n, count := range d.counts {
		if left < count {
			return math.Exp((float64(n) + left/count) * binWidth)
		}
		left -= count
	}
	return math.Exp(binCount * binWidth)
}

// remaining returns the expected remaining work of a request on which the given work has been done: the mean over the
// requests that take longer than that.
func (d *Distribution) remaining(done float64) float64 {
	if done <= 0 {
		return d.workAbove[0] / d.above[0]
	}
	n := 0
	if done > 1 {
		n = min(int(math.Log(done)/binWidth+0.5), binCount) // The first bin whose middle is above done.
	}
	tail := tailWeight * d.above[0]
	return max(d.workAbove[n]-done*d.above[n]+tail*done/2, 0) / (d.above[n] + tail)
}

// Mean returns the mean work in milliseconds.
func (e Estimate) Mean() float64 { return e.distribution.remaining(0) * e.factor }

// Median returns the median of the work in milliseconds.
func (e Estimate) Median() float64 { return e.distribution.median * e.factor }

// Quantile90 returns the work in milliseconds below which nine in ten requests are.
func (e Estimate) Quantile90() float64 { return e.distribution.q90 * e.factor }

// Remaining returns the expected remaining work of a request on which the given work has been done, in milliseconds.
func (e Estimate) Remaining(done float64) float64 {
	return e.distribution.remaining(done/e.factor) * e.factor
}
