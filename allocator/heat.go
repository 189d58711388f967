package allocator

import (
	"math"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// rateHalfLife is the half-life of request counts: short enough that newly busy keys show within a
// second, long enough to count some dozen requests.
const rateHalfLife = 1000 * time.Millisecond

// Counter counts the requests of one instance by key; the counts decay exponentially. It is not safe
// for concurrent use.
type Counter struct {
	counts    []float32
	total     float64
	decayedAt time.Time
}

// NewCounter returns a Counter whose counts are zero at the given time.
func NewCounter(now time.Time) *Counter {
	return &Counter{counts: make([]float32, identifier.ShardKeyCount), decayedAt: now}
}

// Add counts one request for a key.
func (c *Counter) Add(key identifier.ShardKey) { c.AddWork(key, 1) }

// AddWork counts a request for a key by its work, as a multiple of the mean work of the service's requests.
func (c *Counter) AddWork(key identifier.ShardKey, work float64) {
	c.counts[key] += float32(work)
	c.total += work
}

// Sketch is the distribution of requests over the keys, as adjacent ranges with their rates.
type Sketch struct {
	_ struct{} `cbor:",toarray"`
	// Ends are the last keys of the ranges, in order.
	Ends []identifier.ShardKey
	// Rates are the requests a second in each range.
	Rates []float32
}

// sketchShare is the share of all requests up to which neighbouring keys are combined into one range
// of a sketch; a key with more has a range of its own.
const sketchShare = 1.0 / 256

// Sketch decays the counts up to now and returns their distribution.
func (c *Counter) Sketch(now time.Time) Sketch {
	factor := float32(math.Exp2(-float64(now.Sub(c.decayedAt)) / float64(rateHalfLife)))
	c.decayedAt = now
	// A constant rate r results in a decayed count of r * rateHalfLife / ln 2.
	perSecond := float32(math.Ln2 / rateHalfLife.Seconds())
	g := grouper{threshold: float32(max(c.total*sketchShare, 1)), perSecond: perSecond, last: -1}
	var total float32
	for n := range c.counts {
		if c.counts[n] == 0 {
			continue
		}
		c.counts[n] *= factor
		if c.counts[n] < minCount {
			c.counts[n] = 0
			continue
		}
		g.add(n, c.counts[n])
		total += c.counts[n]
	}
	c.total = float64(total)
	return g.finish()
}

// grouper combines neighbouring keys with few requests into one range. Keys without requests between
// two ranges get a range of their own, so that no request counts for keys far from its own.
type grouper struct {
	sketch    Sketch
	threshold float32
	perSecond float32
	sum       float32
	// last is the last key that was counted; -1 before the first.
	last int
}

func (g *grouper) add(key int, count float32) {
	if g.sum > 0 && g.sum+count > g.threshold {
		g.close()
	}
	if g.sum == 0 {
		if key-1 > g.last {
			g.append(key-1, 0)
		}
	}
	g.sum += count
	g.last = key
}

func (g *grouper) close() {
	g.append(g.last, g.sum*g.perSecond)
	g.sum = 0
}

func (g *grouper) append(end int, rate float32) {
	g.sketch.Ends = append(g.sketch.Ends, identifier.ShardKey(end))
	g.sketch.Rates = append(g.sketch.Rates, rate)
}

func (g *grouper) finish() Sketch {
	if g.sum > 0 {
		g.close()
	}
	if g.last < int(identifier.MaxShardKey) {
		g.append(int(identifier.MaxShardKey), 0)
	}
	return g.sketch
}

// minCount is the decayed count below which a key counts as having no requests.
const minCount = 0.01

// KeyRates is the request rate by key, summed over instances. A nil pointer stands for no requests.
type KeyRates struct {
	// prefixSums[n] is the number of requests a second for all keys below n.
	prefixSums []float64
}

// deviation returns the standard deviation of a rate that is computed from decayed counts if requests
// arrive independently.
func deviation(rate float64) float64 {
	return math.Sqrt(rate * math.Ln2 / (2 * rateHalfLife.Seconds()))
}

// maxKeyRate is the highest rate of a key, in requests a second, that is taken for a rate.
const maxKeyRate = 1e9

// NewKeyRates returns the sum of sketches. A sketch with unequal numbers of ends and rates is skipped; one
// whose ends are not in order counts up to the first that is not. Rates that are no numbers count as 0.
func NewKeyRates(sketches []Sketch) *KeyRates {
	// changes[n] is the rate of key n less that of the key before it.
	changes := make([]float64, identifier.ShardKeyCount+1)
	for _, s := range sketches {
		if len(s.Ends) != len(s.Rates) {
			continue
		}
		from := 0
		for n, end := range s.Ends {
			if int(end) < from {
				break
			}
			perKey := float64(s.Rates[n]) / float64(int(end)-from+1)
			if !(perKey >= 0 && perKey <= maxKeyRate) { // One rate that is no number would make all sums so.
				perKey = 0
			}
			changes[from] += perKey
			changes[int(end)+1] -= perKey
			from = int(end) + 1
		}
	}
	k := &KeyRates{prefixSums: make([]float64, identifier.ShardKeyCount+1)}
	rate := 0.0
	for n := range identifier.ShardKeyCount {
		rate = max(rate+changes[n], 0) // Rounding errors must not make a rate negative.
		k.prefixSums[n+1] = k.prefixSums[n] + rate
	}
	return k
}

// Rate returns the requests a second for a range of keys; 0 if the receiver is nil.
func (k *KeyRates) Rate(r identifier.Range) float64 {
	if k == nil {
		return 0
	}
	return k.prefixSums[int(r.To)+1] - k.prefixSums[r.From]
}
