package scheduler

import (
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/estimator"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// PendingRequest is a request that waits for a decision of the Scheduler.
type PendingRequest struct {
	Service    identifier.Service
	Keyed      bool
	Key        identifier.ShardKey
	Priority   director.Priority
	IsRetry    bool      // The request is a retry: its caller was refused before.
	Arrived    time.Time // The time at which the request reached this instance.
	TargetTime time.Time // An answer after this time is worth less.
	Deadline   time.Time
	// Retryable requests may be sent to another server if theirs seems not to know them.
	Retryable bool
	// RunsOnce says that the request is not idempotent: a server that resets its connection loses it.
	RunsOnce bool
	Class    estimator.Class                   // What the request's work is estimated from.
	Tried    map[identifier.BackendServer]bool // Servers to which the request must not be sent again.
	// Decided receives exactly one decision, unless the request is cancelled first. The Scheduler does not wait for a
	// receiver, so the channel needs a buffer of 1.
	Decided chan Decision

	queued queuedRequest // Used by a cost-aware Scheduler only.
}

// Reason says why a request was refused; it is NotRefused if the request was not refused.
type Reason int

// The reasons for which requests are refused.
const (
	NotRefused   Reason = iota
	NoOwner             // No backend server can serve the key at present.
	NoServer            // No server of the service accepts requests.
	QueueTooLong        // The expected wait in the queue is longer than the deadline allows.
	Expired             // Too little time is left before the deadline for an answer.
)

// Decision is the outcome for one request. With Reason NotRefused the request goes to Server; otherwise it is refused,
// and its caller may retry after RetryAfter.
type Decision struct {
	Server     registrar.Entry
	Send       Send // Identifies the request at the server in its Report.
	Reason     Reason
	RetryAfter time.Duration
	Inputs     Inputs
}

// Inputs are the values from which a decision was made, for the log.
type Inputs struct {
	Owner        registrar.Ownership
	Running      int           // Number of this instance's requests at the server.
	OtherLoad    float64       // Estimated number of other instances' requests at the server.
	LoadAge      time.Duration // Age of the server's last load report; 0 if there was none.
	Ahead        int           // Number of requests ahead of this one in the queue.
	ExpectedWait time.Duration
	Work         float64       // Estimated work in milliseconds at an average server; 0 if it is not estimated.
	Expected     time.Duration // Expected time at the server, with the wait there; 0 if it is not estimated.
	Booked       bool          // Whether the retry time of a refusal is booked.
	// Cold reports whether the request rate of a cold server was applied to the server, and Sharers is the number of
	// instances among which it was divided.
	Cold    bool
	Sharers int
	// ViewAge is the time for which changes of backend servers and evacuations may have gone unnoticed.
	ViewAge time.Duration
}

// Options switch on behaviour that is off by default.
type Options struct {
	// CostAware makes decisions follow estimates of the work of requests, the speed of servers and the loads of all
	// instances, each with its age.
	CostAware bool
	// Owners extends that to requests for keys, which only the owners of the keys can run.
	Owners bool
}
