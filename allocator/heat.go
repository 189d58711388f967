package allocator

import (
	"math"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// heatHalfLife is the time in which a count of requests fades to a half: short enough
// that new hot keys show within a second, long enough to count some dozen requests.
const heatHalfLife = 1000 * time.Millisecond

// Counter counts one instance's requests by key, with older ones fading. It is not
// safe for concurrent use.
type Counter struct {
	counts  []float32
	total   float64
	fadedAt time.Time
}

// NewCounter returns a Counter without requests.
func NewCounter(now time.Time) *Counter {
	return &Counter{counts: make([]float32, identifier.Points), fadedAt: now}
}

// Add counts a request.
func (c *Counter) Add(p identifier.Point) {
	c.counts[p]++
	c.total++
}

// Sketch is the distribution of requests over keys, as ranges of about equal rate.
type Sketch struct {
	_     struct{}           `cbor:",toarray"`
	Ends  []identifier.Point // The last key of each range, in order.
	Rates []float32          // Requests a second in each range.
}

// sketchShare is the part of all requests that a range of a sketch holds at least; a
// key with more has a range of its own.
const sketchShare = 1.0 / 256

// Sketch fades the counts and returns their distribution.
func (c *Counter) Sketch(now time.Time) Sketch {
	factor := float32(math.Exp2(-float64(now.Sub(c.fadedAt)) / float64(heatHalfLife)))
	c.fadedAt = now
	// A steady rate r amounts to a faded count of r * halfLife / ln 2.
	perSecond := float32(math.Ln2 / heatHalfLife.Seconds())
	g := grouper{threshold: float32(max(c.total*sketchShare, 1)), perSecond: perSecond, last: -1}
	var total float32
	for n := range c.counts {
		if c.counts[n] == 0 {
			continue
		}
		c.counts[n] *= factor
		if c.counts[n] < minimalCount {
			c.counts[n] = 0
			continue
		}
		g.add(n, c.counts[n])
		total += c.counts[n]
	}
	c.total = float64(total)
	return g.finish()
}

// grouper puts neighbouring keys together whose requests are few. Keys without requests
// between two groups get a range of their own, so that no request counts for keys far from
// its own.
type grouper struct {
	sketch    Sketch
	threshold float32
	perSecond float32
	sum       float32
	last      int // Key that was counted.
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
	g.sketch.Ends = append(g.sketch.Ends, identifier.Point(end))
	g.sketch.Rates = append(g.sketch.Rates, rate)
}

func (g *grouper) finish() Sketch {
	if g.sum > 0 {
		g.close()
	}
	if g.last < int(identifier.MaxPoint) {
		g.append(int(identifier.MaxPoint), 0)
	}
	return g.sketch
}

// minimalCount is the faded count that is forgotten.
const minimalCount = 0.01

// Heat is the rate of requests by key, summed over instances.
type Heat struct {
	sums []float64 // sums[n]: requests a second on keys below n.
}

// deviation is the standard deviation of a rate that faded counts show if requests come
// independently.
func deviation(rate float64) float64 {
	return math.Sqrt(rate * math.Ln2 / (2 * heatHalfLife.Seconds()))
}

// NewHeat returns the sum of sketches. Sketches that are not in order are left out.
func NewHeat(sketches []Sketch) *Heat {
	rates := make([]float64, identifier.Points)
	for _, s := range sketches {
		if len(s.Ends) != len(s.Rates) {
			continue
		}
		from := 0
		for n, end := range s.Ends {
			if int(end) < from {
				break
			}
			each := float64(s.Rates[n]) / float64(int(end)-from+1)
			for p := from; p <= int(end); p++ {
				rates[p] += each
			}
			from = int(end) + 1
		}
	}
	h := &Heat{sums: make([]float64, identifier.Points+1)}
	for n, r := range rates {
		h.sums[n+1] = h.sums[n] + r
	}
	return h
}

// Rate returns the requests a second on a range. A nil Heat is without requests.
func (h *Heat) Rate(r identifier.Range) float64 {
	if h == nil {
		return 0
	}
	return h.sums[int(r.To)+1] - h.sums[r.From]
}
