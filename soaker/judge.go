package soaker

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/registrar"
)

// Check identifies an invariant that is checked during a run.
type Check string

// The invariants that are checked.
const (
	CheckOwner            Check = "Owner"    // At any time at most one backend server runs requests of a key.
	CheckEpoch            Check = "Epoch"    // A key moves to another owner only under a higher epoch.
	CheckAtMostOnce       Check = "Twice"    // A request that is not idempotent runs at most once.
	CheckRefused          Check = "Refused"  // A non-idempotent request answered as not executed never runs.
	CheckIntegrity        Check = "Mixed"    // Answers are complete and belong to the request; store calls are well-formed.
	CheckDenied           Check = "Denied"   // Valid requests are not rejected as invalid.
	CheckGracefulShutdown Check = "Cut"      // A graceful shutdown breaks off no request.
	CheckDrain            Check = "Drain"    // Servers that leave, or whose zone is evacuated, get no new requests.
	CheckCold             Check = "Cold"     // A cold server gets no more requests than its rate allows.
	CheckRetryBudget      Check = "Budget"   // The number of retries is bounded over all instances together.
	CheckConfig           Check = "Settings" // Every instance applies a new configuration in time and keeps it.
	CheckRecovery         Check = "Recovery" // All requests are served again after the faults have ended.
	CheckExit             Check = "Exit"     // Processes do not exit unless they are stopped.
)

// Violation describes one violation of an invariant.
type Violation struct {
	Check  Check
	At     time.Duration // Time since the start of the run.
	Detail string
}

// String returns the violation as one line of text.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Check, v.At.Round(time.Millisecond), v.Detail)
}

// requestRecord holds what has been observed of one request of a caller.
type requestRecord struct {
	nonIdempotent bool
	sentAt        time.Time
	runs          int
	arrivals      int
	status        int    // Status of the answer; 0 if there is none.
	firstServer   string // Backend server that ran the request first.
}

// serverIncarnation identifies one incarnation of a backend server.
type serverIncarnation struct {
	server      identifier.BackendServer
	incarnation registrar.Incarnation
}

// acceptedGrant is a grant that a backend server has accepted.
type acceptedGrant struct {
	serverIncarnation
	keys  identifier.Range
	epoch identifier.Epoch
}

// checker collects what callers and backend servers observe and records violations of
// the invariants. It is safe for concurrent use.
type checker struct {
	mu              sync.Mutex
	startedAt       time.Time
	requestRecords  map[string]*requestRecord
	acceptedGrants  map[acceptedGrant]bool
	lastRuns        map[identifier.ShardKey]map[serverIncarnation]time.Time // Start of the last request on each key at each server.
	requestTimes    map[identifier.Service][]time.Time
	retryTimes      map[identifier.Service][]time.Time
	violations      []Violation
	violationCounts map[Check]int
	served          int
	requests        int
}

func newChecker(now time.Time) *checker {
	return &checker{
		startedAt: now, requestRecords: map[string]*requestRecord{}, acceptedGrants: map[acceptedGrant]bool{}, violationCounts: map[Check]int{},
		lastRuns:     map[identifier.ShardKey]map[serverIncarnation]time.Time{},
		requestTimes: map[identifier.Service][]time.Time{}, retryTimes: map[identifier.Service][]time.Time{},
	}
}

// maxDetailedViolations limits how many violations of each invariant are kept with their
// details; further ones are only counted.
const maxDetailedViolations = 5

// recordViolation records a violation of the invariant inv at the time now.
func (c *checker) recordViolation(now time.Time, inv Check, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(now, inv, format, args...)
}

// recordViolationLocked is recordViolation for callers that hold the lock.
func (c *checker) recordViolationLocked(now time.Time, inv Check, format string, args ...any) {
	c.violationCounts[inv]++
	if c.violationCounts[inv] <= maxDetailedViolations {
		c.violations = append(c.violations, Violation{inv, now.Sub(c.startedAt), fmt.Sprintf(format, args...)})
	}
}

// addRequest records that a caller sends a request.
func (c *checker) addRequest(now time.Time, id string, service identifier.Service, nonIdempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestRecords[id] = &requestRecord{nonIdempotent: nonIdempotent, sentAt: now}
	c.requestTimes[service] = append(c.requestTimes[service], now)
	c.requests++
}

// sentAt returns when a caller sent a request; ok is false if none did.
func (c *checker) sentAt(id string) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestRecords[id]
	if r == nil {
		return time.Time{}, false
	}
	return r.sentAt, true
}

// addArrival records that a request has reached a backend server, whether it runs
// there or not. Every arrival after the first counts as a retry.
func (c *checker) addArrival(now time.Time, id string, service identifier.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestRecords[id]
	if r == nil {
		return
	}
	r.arrivals++
	if r.arrivals > 1 {
		c.retryTimes[service] = append(c.retryTimes[service], now)
		c.checkRetryBudget(now, service)
	}
}

// checkRetryBudget compares the retries in the window that ends now with the limit. The
// limit is derived from the number of requests in the window that ends now, half a window
// ago or a whole window ago, whichever is highest. The caller holds the lock.
func (c *checker) checkRetryBudget(now time.Time, service identifier.Service) {
	window := bounds.RetryWindow
	requests := 0
	for _, end := range []time.Time{now, now.Add(-window / 2), now.Add(-window)} {
		requests = max(requests, countBetween(c.requestTimes[service], end.Add(-window), end))
	}
	retries := countBetween(c.retryTimes[service], now.Add(-window), now.Add(time.Nanosecond))
	if allowed := bounds.RetryRatio*float64(requests) + bounds.RetryExtra; float64(retries) > allowed {
		c.recordViolationLocked(now, CheckRetryBudget, "service %s got %d retries within %s; the limit is %.0f", service, retries, window, allowed)
	}
}

// countBetween returns how many of the times, which are in ascending order, are not
// before from and before to.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && !times[i].Before(from); i-- {
		if times[i].Before(to) {
			n++
		}
	}
	return n
}

// addRun records that a backend server began to run a request. It is a violation
// if no caller sent the request, or if the request is not idempotent and has run before
// or was answered as not executed.
func (c *checker) addRun(now time.Time, id string, by serverIncarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestRecords[id]
	if r == nil {
		c.recordViolationLocked(now, CheckIntegrity, "backend server %s runs request %s, which no caller sent", by.server, id)
		return
	}
	r.runs++
	if r.runs == 1 {
		r.firstServer = string(by.server)
	}
	if r.nonIdempotent && r.runs > 1 {
		c.recordViolationLocked(now, CheckAtMostOnce, "non-idempotent request %s ran at backend server %s and again at %s", id, r.firstServer, by.server)
	}
	if r.nonIdempotent && reportsNotExecuted(r.status) {
		c.recordViolationLocked(now, CheckRefused, "non-idempotent request %s runs at backend server %s after it was answered with status %d",
			id, by.server, r.status)
	}
}

// checkOwnerOverlap records a violation if the server other, which has held a key at the
// same time as by since the given time, began a request on it at or after that time. It
// is called when by begins a request on the key.
func (c *checker) checkOwnerOverlap(now time.Time, key identifier.ShardKey, by, other serverIncarnation, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, ok := c.lastRuns[key][other]; ok && !at.Before(since) {
		c.recordViolationLocked(now, CheckOwner, "backend servers %s and %s run requests on key %d while both hold it, since %s after the start of the run",
			by.server, other.server, key, since.Sub(c.startedAt))
	}
}

// addKeyRun records that a request on a key began at a server.
func (c *checker) addKeyRun(now time.Time, key identifier.ShardKey, by serverIncarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRuns[key] == nil {
		c.lastRuns[key] = map[serverIncarnation]time.Time{}
	}
	c.lastRuns[key][by] = now
}

// addGrant records that a server accepted a grant. It is a violation if another
// incarnation or server has accepted a grant of an overlapping range under the same or a
// higher epoch.
func (c *checker) addGrant(now time.Time, by serverIncarnation, o leaser.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := acceptedGrant{by, o.Range, o.Epoch}
	if c.acceptedGrants[g] {
		return
	}
	for other := range c.acceptedGrants {
		if other.serverIncarnation != by && other.epoch >= o.Epoch && other.keys.Overlaps(o.Range) {
			c.recordViolationLocked(now, CheckEpoch,
				"backend server %s (incarnation %d) accepts a grant of %s with epoch %d, but %s (incarnation %d) has accepted one of %s with epoch %d",
				by.server, by.incarnation, o.Range, o.Epoch, other.server, other.incarnation, other.keys, other.epoch)
		}
	}
	c.acceptedGrants[g] = true
}

// addAnswer records the status of the answer that a caller got; 0 means no answer. It
// is a violation if the status says that a request was not executed, but the request is
// not idempotent and has run.
func (c *checker) addAnswer(now time.Time, id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requestRecords[id]
	r.status = status
	if status == http.StatusOK {
		c.served++
	}
	if r.nonIdempotent && r.runs > 0 && reportsNotExecuted(status) {
		c.recordViolationLocked(now, CheckRefused, "non-idempotent request %s ran at backend server %s but was answered with status %d",
			id, r.firstServer, status)
	}
}

// reachedServer reports whether a request has reached a backend server.
func (c *checker) reachedServer(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestRecords[id].arrivals > 0
}

// reportsNotExecuted reports whether a status says that the request was not executed.
func reportsNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
