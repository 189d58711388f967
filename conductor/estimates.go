package conductor

import (
	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/scheduler"
)

// estimateBuckets are the bounds of the histogram of the time that a request took at its server, as a multiple of the
// expected time.
var estimateBuckets = tally.ValueBuckets{0.25, 0.5, 0.8, 1.25, 2, 4, 8}

// countDecision adds a decision on a request to the metrics.
func (c *Conductor) countDecision(r *scheduler.PendingRequest, d scheduler.Decision) {
	if d.Reason == scheduler.NotRefused {
		if d.Inputs.Cold {
			c.scope.Counter("ColdSends").Inc(1)
		}
		return
	}
	tagged := c.scope.Tagged(map[string]string{"Service": string(r.Service)})
	tagged.Counter("Refusals").Inc(1)
	if r.IsRetry {
		tagged.Counter("RefusedRetries").Inc(1)
	}
	if d.Inputs.Booked {
		tagged.Counter("BookedReturns").Inc(1)
	}
}

// countEstimate compares the time that a request took at its server with the expected time, if there was one.
func (c *Conductor) countEstimate(r scheduler.Report) {
	if r.Outcome == scheduler.Answered && r.Expected > 0 {
		c.scope.Histogram("TimeOverEstimate", estimateBuckets).RecordValue(float64(r.Latency) / float64(r.Expected))
	}
}
