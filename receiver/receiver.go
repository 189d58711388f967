// Package receiver is the HTTP handler for callers. It reads and checks a request, has it dispatched, and
// writes the answer with a result code and one of the outcomes Ran, NotRun and Unknown.
//
// Start reading at Receiver.ServeHTTP in receiver.go.
package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/router"
)

// The headers of callers' requests and of the answers to them.
const (
	// HeaderRequestID is the caller's ID of a request; a request that is not idempotent must have one.
	HeaderRequestID = "Idempotency-Key"
	// HeaderTimeout is the time that the caller allows for a request, in ms from its arrival.
	HeaderTimeout = "Turmericlift-Timeout-Ms"
	// HeaderIdempotent says whether a request is idempotent, true or false, and overrides what its method
	// says.
	HeaderIdempotent = "Turmericlift-Idempotent"
	// HeaderOutcome and HeaderCode are set on every answer: the outcome, and the number of the result
	// code.
	HeaderOutcome = "Turmericlift-Outcome"
	HeaderCode    = "Turmericlift-Code"
)

// Dispatcher runs a request and returns its final answer. Table returns the routing table in use.
type Dispatcher interface {
	Dispatch(ctx context.Context, r answerer.Request) answerer.Answer
	Table() *router.Table
}

// Observer records each answer to a caller with the time that the request took.
type Observer interface {
	RecordAnswer(s identifier.ServiceName, a answerer.Answer, took time.Duration)
}

// Receiver is the HTTP handler for callers. It is safe for concurrent use.
type Receiver struct {
	dispatcher Dispatcher
	observer   Observer
	clock      func() time.Time
}

// New returns the HTTP handler for callers, which takes the time from clock.
func New(d Dispatcher, o Observer, clock func() time.Time) *Receiver {
	return &Receiver{d, o, clock}
}

// ServeHTTP answers one request. A request that is not valid is refused without being dispatched.
func (v *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := v.clock()
	req, refusal := v.parse(w, r)
	var answer answerer.Answer
	if refusal != nil {
		answer = *refusal
	} else {
		answer = v.dispatcher.Dispatch(r.Context(), req)
	}
	v.observer.RecordAnswer(req.Service, answer, v.clock().Sub(start))
	writeAnswer(w, answer)
}

// parse reads a request of the form /organisation/service/keys/KEY/rest, or /organisation/service/rest for
// a service that is not divided by key. It returns the refusal of a request that is not valid, together
// with what it has read of it.
func (v *Receiver) parse(w http.ResponseWriter, r *http.Request) (answerer.Request, *answerer.Answer) {
	organisation, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	service, rest, _ := strings.Cut(rest, "/")
	name := identifier.ServiceName{
		Organisation: identifier.Organisation(organisation), Service: identifier.Service(service),
	}
	found, ok := v.dispatcher.Table().Find(name)
	if !ok {
		return answerer.Request{}, refuse(answerer.CodeUnknownService, "service "+strconv.Quote(truncate(name.String()))+" is not in the settings")
	}
	req := answerer.Request{Service: name, Method: r.Method, Path: "/" + rest, Header: r.Header}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	steps := []func(*http.Request, configurer.EffectiveSettings, *answerer.Request) *answerer.Answer{
		parseKey(rest), parseTimeout, parseIdempotency,
	}
	for _, step := range steps {
		if refusal := step(r, found.Settings, &req); refusal != nil {
			return req, refusal
		}
	}
	return req, readBody(w, r, found.Settings, &req)
}

// refuse returns a pointer to the answer to a request that has not run.
func refuse(code answerer.Code, detail string) *answerer.Answer {
	a := answerer.Refuse(code, detail)
	return &a
}

// truncate returns the first 130 bytes of s, so that an error text does not repeat a text of any length.
func truncate(s string) string { return s[:min(len(s), 130)] }

// parseKey returns a step of parse that reads the key from rest, the path after the service.
func parseKey(rest string) func(*http.Request, configurer.EffectiveSettings, *answerer.Request) *answerer.Answer {
	return func(_ *http.Request, s configurer.EffectiveSettings, req *answerer.Request) *answerer.Answer {
		if !s.Keyed {
			return nil
		}
		after, ok := strings.CutPrefix(rest, "keys/")
		if !ok {
			return refuse(answerer.CodeBadKey, "the path has no key: a keyed service is called as /organisation/service/keys/KEY")
		}
		escaped, _, _ := strings.Cut(after, "/")
		key, err := unescapeSegment(escaped)
		if err != nil {
			return refuse(answerer.CodeBadKey, err.Error())
		}
		if err := identifier.CheckKey(key); err != nil {
			return refuse(answerer.CodeBadKey, err.Error())
		}
		req.Key = identifier.Key(key)
		return nil
	}
}

// parseTimeout reads the time that the caller allows, or takes it from the settings.
func parseTimeout(r *http.Request, s configurer.EffectiveSettings, req *answerer.Request) *answerer.Answer {
	req.Remaining = s.Timeout
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 1 || ms > int(s.MaxTimeout/time.Millisecond) {
		return refuse(answerer.CodeBadDeadline, HeaderTimeout+" "+strconv.Quote(truncate(value))+
			" is not a number from 1 to "+strconv.Itoa(int(s.MaxTimeout/time.Millisecond)))
	}
	req.Remaining = time.Duration(ms) * time.Millisecond
	return nil
}

// parseIdempotency decides whether the request is idempotent, by its method (RFC 9110, 9.2.2) or its
// header, and reads the request ID. It refuses a request that is not idempotent and has no ID.
func parseIdempotency(r *http.Request, _ configurer.EffectiveSettings, req *answerer.Request) *answerer.Answer {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		req.Idempotent = true
	}
	if value := r.Header.Get(HeaderIdempotent); value != "" {
		idempotent, err := strconv.ParseBool(value)
		if err != nil {
			return refuse(answerer.CodeBadRequest, HeaderIdempotent+" "+strconv.Quote(truncate(value))+" is not true or false")
		}
		req.Idempotent = idempotent
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" && !req.Idempotent {
		return refuse(answerer.CodeNeedsRequestID, r.Method+" is not idempotent and needs the header "+HeaderRequestID)
	}
	if id != "" {
		if err := identifier.CheckRequestID(id); err != nil {
			return refuse(answerer.CodeBadRequestID, err.Error())
		}
	}
	req.ID = identifier.RequestID(id)
	return nil
}

// readBody reads the body and refuses a request whose body is longer than the service allows.
func readBody(w http.ResponseWriter, r *http.Request, s configurer.EffectiveSettings, req *answerer.Request) *answerer.Answer {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(answerer.CodeBodyTooLarge, "the body is longer than "+strconv.Itoa(s.MaxBodyBytes)+" bytes")
	case err != nil:
		return refuse(answerer.CodeBadRequest, "the body cannot be read: "+err.Error())
	}
	req.Body = body
	return nil
}

// resultBody is the JSON body of an answer that has no answer of a backend server to pass on.
type resultBody struct {
	Code    int
	Name    string
	Outcome answerer.Outcome
	Detail  string
}

// writeAnswer writes an answer: the backend server's, without the headers that only the system may set, or
// a result code in JSON.
func writeAnswer(w http.ResponseWriter, a answerer.Answer) {
	w.Header().Set(HeaderOutcome, string(a.Outcome))
	w.Header().Set(HeaderCode, strconv.Itoa(int(a.Code)))
	if a.Outcome != answerer.Ran {
		writeResult(w, a)
		return
	}
	for name, values := range a.Header {
		if name != HeaderOutcome && name != HeaderCode {
			w.Header()[name] = values
		}
	}
	// With the length the caller can tell a complete answer from a truncated one.
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// writeResult writes the answer to a request for which there is no answer of a backend server to pass on.
func writeResult(w http.ResponseWriter, a answerer.Answer) {
	body, err := json.Marshal(resultBody{int(a.Code), a.Code.Name(), a.Outcome, a.Detail})
	if err != nil {
		body = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(a.Code.Status())
	_, _ = w.Write(append(body, '\n'))
}
