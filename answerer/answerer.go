// Package answerer holds the types in which a request and its answer travel from
// the entry instance to the coordinator and back: the small API between the two
// halves of the path, and the numbered result codes.
package answerer

import (
	"net/http"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Outcome says whether a request took effect.
type Outcome string

// The three outcomes. NotRun is said only when no backend server can have started
// the request.
const (
	Ran     Outcome = "Ran"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Request is a caller's request on its way to a backend server.
type Request struct {
	Service    identifier.ServiceName
	Key        identifier.Key // Empty for a pool service.
	ID         identifier.RequestID
	Method     string
	Path       string // Path and query below the service.
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Remaining is the time that is left of the request's deadline. It travels as
	// a duration, since the clocks of two instances need not agree.
	Remaining time.Duration
	// Server is the backend server that the entry instance chose.
	Server identifier.BackendServer
}

// Answer is the outcome of one request or of one attempt at it.
type Answer struct {
	Outcome Outcome
	Code    Code
	Detail  string
	// Status, Header and Body are the backend server's answer when Outcome is Ran.
	Status int
	Header http.Header
	Body   []byte
}

// Refuse returns the answer to a request that no backend server has started.
func Refuse(c Code, detail string) Answer {
	return Answer{Outcome: NotRun, Code: c, Detail: detail}
}

// Indeterminate returns the answer to a request that may or may not have run.
func Indeterminate(c Code, detail string) Answer {
	return Answer{Outcome: Unknown, Code: c, Detail: detail}
}

// Valid reports whether the outcome is one of the three.
func (o Outcome) Valid() bool { return o == Ran || o == NotRun || o == Unknown }
