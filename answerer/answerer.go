// Package answerer defines the request and the answer that pass between the instance that received a
// request from its caller and the instance that coordinates the backend server, and the numbered result
// codes.
//
// Start reading at Request and Answer in answerer.go; code.go has the result codes.
package answerer

import (
	"net/http"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Outcome says whether a request has run on a backend server.
type Outcome string

// The outcomes. NotRun means that no backend server can have started the request, Unknown that one may
// have run it.
const (
	Ran     Outcome = "Ran"
	NotRun  Outcome = "NotRun"
	Unknown Outcome = "Unknown"
)

// Request is a caller's request on its way to a backend server. It is encoded in CBOR between instances,
// under the names of its fields.
type Request struct {
	Service    identifier.ServiceName
	Key        identifier.Key // Empty for a request of a pool service, which is not divided by key.
	ID         identifier.RequestID
	Method     string
	Path       string // Path and query below the service's part of the URL path.
	Header     http.Header
	Body       []byte
	Idempotent bool
	// Remaining is the time until the request's deadline. It is sent as a duration, since the clocks of
	// two instances may differ.
	Remaining time.Duration
	// Server is the backend server that should run the request, chosen by the instance that received it
	// from the caller.
	Server identifier.BackendServer
}

// Answer is the answer to a request, or to one attempt at it. It is encoded in CBOR between instances,
// under the names of its fields.
type Answer struct {
	Outcome Outcome
	Code    Code
	Detail  string
	// Status, Header and Body are the backend server's answer if Outcome is Ran.
	Status int
	Header http.Header
	Body   []byte
}

// Refuse returns the answer to a request that no backend server has started. detail is text for the
// caller.
func Refuse(c Code, detail string) Answer {
	return Answer{Outcome: NotRun, Code: c, Detail: detail}
}

// Indeterminate returns the answer to a request that may or may not have run. detail is text for the
// caller.
func Indeterminate(c Code, detail string) Answer {
	return Answer{Outcome: Unknown, Code: c, Detail: detail}
}

// Valid reports whether the outcome is one of Ran, NotRun and Unknown.
func (o Outcome) Valid() bool { return o == Ran || o == NotRun || o == Unknown }
