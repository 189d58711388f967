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

// Check names a promise.
type Check string

// The promises that are checked.
const (
	CheckOwner    Check = "Owner"    // One backend server at a time runs requests of a key.
	CheckEpoch    Check = "Epoch"    // A key goes to another owner under a higher epoch only.
	CheckTwice    Check = "Twice"    // What may not be repeated runs once at most.
	CheckRefused  Check = "Refused"  // What is refused as not run does not run.
	CheckMixed    Check = "Mixed"    // Callers get the whole answers to their own requests.
	CheckDenied   Check = "Denied"   // Proper requests are not rejected as improper.
	CheckCut      Check = "Cut"      // A graceful shutdown cuts no request.
	CheckDrain    Check = "Drain"    // Servers that leave, or whose zone is out, get no new work.
	CheckCold     Check = "Cold"     // A cold server gets no more than it bears.
	CheckBudget   Check = "Budget"   // Repeats are bounded over all instances.
	CheckSettings Check = "Settings" // A configuration comes into force everywhere and stays.
	CheckRecovery Check = "Recovery" // When the faults are over, everything is served.
	CheckExit     Check = "Exit"     // Processes do not end by themselves.
)

// Violation is a broken promise.
type Violation struct {
	Check  Check
	At     time.Duration // From the start of the run.
	Detail string
}

// String returns the violation as a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %s: %s", v.Check, v.At.Round(time.Millisecond), v.Detail)
}

// attempt is what is known of one request of a caller.
type attempt struct {
	unsafe   bool
	runs     int
	arrivals int
	status   int
	at       string // The server that ran it first.
}

// holder is one life of a backend server.
type holder struct {
	server identifier.BackendServer
	life   registrar.Life
}

// taken is a grant that a backend server has accepted.
type taken struct {
	holder
	rng   identifier.Range
	epoch identifier.Epoch
}

// judge collects what callers and backend servers see, and what is wrong with it. It is
// safe for concurrent use.
type judge struct {
	mu         sync.Mutex
	began      time.Time
	attempts   map[string]*attempt
	taken      map[taken]bool
	lastRun    map[identifier.Point]map[holder]time.Time // When requests on a key began at a server.
	asked      map[identifier.Service][]time.Time
	repeated   map[identifier.Service][]time.Time
	violations []Violation
	found      map[Check]int
	served     int
	total      int
}

func newJudge(now time.Time) *judge {
	return &judge{
		began: now, attempts: map[string]*attempt{}, taken: map[taken]bool{}, found: map[Check]int{},
		lastRun: map[identifier.Point]map[holder]time.Time{},
		asked:   map[identifier.Service][]time.Time{}, repeated: map[identifier.Service][]time.Time{},
	}
}

// mostReported bounds the violations of one check that are kept in full.
const mostReported = 5

func (j *judge) violated(now time.Time, c Check, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report(now, c, format, args...)
}

// report notes a violation. The caller holds the lock.
func (j *judge) report(now time.Time, c Check, format string, args ...any) {
	j.found[c]++
	if j.found[c] <= mostReported {
		j.violations = append(j.violations, Violation{c, now.Sub(j.began), fmt.Sprintf(format, args...)})
	}
}

// sent takes in that a caller sends a request.
func (j *judge) sent(now time.Time, id string, service identifier.Service, unsafe bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.attempts[id] = &attempt{unsafe: unsafe}
	j.asked[service] = append(j.asked[service], now)
	j.total++
}

// arrived takes in that a request has reached a backend server, run there or not.
func (j *judge) arrived(now time.Time, id string, service identifier.Service) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[id]
	if a == nil {
		return
	}
	a.arrivals++
	if a.arrivals > 1 {
		j.repeated[service] = append(j.repeated[service], now)
		j.checkBudget(now, service)
	}
}

// checkBudget compares the repeats in the window that ends now with what its requests
// allow. The caller holds the lock.
func (j *judge) checkBudget(now time.Time, service identifier.Service) {
	window := bounds.RetryWindow
	most := 0
	for _, end := range []time.Time{now, now.Add(-window / 2), now.Add(-window)} {
		most = max(most, countBetween(j.asked[service], end.Add(-window), end))
	}
	repeats := countBetween(j.repeated[service], now.Add(-window), now.Add(time.Nanosecond))
	if allowed := bounds.RetryRatio*float64(most) + bounds.RetryExtra; float64(repeats) > allowed {
		j.report(now, CheckBudget, "%s got %d repeats in %s, %.0f are allowed", service, repeats, window, allowed)
	}
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for i := len(times) - 1; i >= 0 && !times[i].Before(from); i-- {
		if times[i].Before(to) {
			n++
		}
	}
	return n
}

// ran takes in that a backend server began to run a request.
func (j *judge) ran(now time.Time, id string, by holder) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[id]
	if a == nil {
		j.report(now, CheckMixed, "%s runs request %s that no caller sent", by.server, id)
		return
	}
	a.runs++
	if a.runs == 1 {
		a.at = string(by.server)
	}
	if a.unsafe && a.runs > 1 {
		j.report(now, CheckTwice, "request %s ran at %s and again at %s", id, a.at, by.server)
	}
	if a.unsafe && promisesNotRun(a.status) {
		j.report(now, CheckRefused, "request %s runs at %s after it was answered %d", id, by.server, a.status)
	}
}

// overlap takes in that another server holds a key since a time on which a request now
// begins: both must not run requests on it.
func (j *judge) overlap(now time.Time, key identifier.Point, by, other holder, since time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if at, ok := j.lastRun[key][other]; ok && !at.Before(since) {
		j.report(now, CheckOwner, "%s and %s run requests on key %d while both hold it, since %s", by.server, other.server, key, since.Sub(j.began))
	}
}

// keyRan notes when a request on a key began at a server.
func (j *judge) keyRan(now time.Time, key identifier.Point, by holder) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lastRun[key] == nil {
		j.lastRun[key] = map[holder]time.Time{}
	}
	j.lastRun[key][by] = now
}

// granted takes in that a server accepted a grant.
func (j *judge) granted(now time.Time, by holder, o leaser.Order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	g := taken{by, o.Range, o.Epoch}
	if j.taken[g] {
		return
	}
	for other := range j.taken {
		if other.holder != by && other.epoch >= o.Epoch && other.rng.Overlaps(o.Range) {
			j.report(now, CheckEpoch, "%s (life %d) takes %s with epoch %d, %s (life %d) had %s with epoch %d",
				by.server, by.life, o.Range, o.Epoch, other.server, other.life, other.rng, other.epoch)
		}
	}
	j.taken[g] = true
}

// answered takes in what a caller got: a status of 0 stands for no answer.
func (j *judge) answered(now time.Time, id string, status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := j.attempts[id]
	a.status = status
	if status == http.StatusOK {
		j.served++
	}
	if a.unsafe && a.runs > 0 && promisesNotRun(status) {
		j.report(now, CheckRefused, "request %s ran at %s and was answered %d", id, a.at, status)
	}
}

// reached reports whether a request has reached a backend server.
func (j *judge) reached(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.attempts[id].arrivals > 0
}

// promisesNotRun reports whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
