// Package receiver takes callers' requests over HTTP and gives them definite
// answers: a result code and one of the outcomes Ran, NotRun and Unknown.
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

// The headers between callers and the system.
const (
	// HeaderRequestID is the caller's ID of a request that may not be repeated.
	HeaderRequestID = "Idempotency-Key"
	// HeaderTimeout is the time that the caller gives a request, in ms.
	HeaderTimeout = "Turmericlift-Timeout-Ms"
	// HeaderIdempotent overrides whether a request is idempotent: true or false.
	HeaderIdempotent = "Turmericlift-Idempotent"
	// HeaderOutcome and HeaderCode are on every answer.
	HeaderOutcome = "Turmericlift-Outcome"
	HeaderCode    = "Turmericlift-Code"
)

// Dispatcher takes a request through the system.
type Dispatcher interface {
	Dispatch(ctx context.Context, r answerer.Request) answerer.Answer
	Table() *router.Table
}

// Observer counts answers.
type Observer interface {
	Answered(s identifier.ServiceName, a answerer.Answer, took time.Duration)
}

// Receiver is the callers' HTTP handler.
type Receiver struct {
	dispatcher Dispatcher
	observer   Observer
	clock      func() time.Time
}

// New returns the callers' HTTP handler.
func New(d Dispatcher, o Observer, clock func() time.Time) *Receiver {
	return &Receiver{d, o, clock}
}

// ServeHTTP answers one request.
func (v *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := v.clock()
	req, refusal := v.parse(w, r)
	var answer answerer.Answer
	if refusal != nil {
		answer = *refusal
	} else {
		answer = v.dispatcher.Dispatch(r.Context(), req)
	}
	v.observer.Answered(req.Service, answer, v.clock().Sub(start))
	write(w, answer)
}

// parse reads a request of the form /organisation/service/keys/key/rest, or
// /organisation/service/rest for a service that is not divided by key.
func (v *Receiver) parse(w http.ResponseWriter, r *http.Request) (answerer.Request, *answerer.Answer) {
	organisation, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
	service, rest, _ := strings.Cut(rest, "/")
	name := identifier.ServiceName{
		Organisation: identifier.Organisation(organisation), Service: identifier.Service(service),
	}
	found, ok := v.dispatcher.Table().Find(name)
	if !ok {
		return answerer.Request{}, refuse(answerer.CodeUnknownService, "service "+strconv.Quote(shorten(name.String()))+" does not exist")
	}
	req := answerer.Request{Service: name, Method: r.Method, Path: "/" + rest, Header: r.Header}
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	steps := []func(*http.Request, configurer.Effective, *answerer.Request) *answerer.Answer{
		parseKey(rest), parseTimeout, parseRepeat,
	}
	for _, step := range steps {
		if refusal := step(r, found.Settings, &req); refusal != nil {
			return req, refusal
		}
	}
	return req, readBody(w, r, found.Settings, &req)
}

func refuse(code answerer.Code, detail string) *answerer.Answer {
	a := answerer.Refuse(code, detail)
	return &a
}

func shorten(s string) string { return s[:min(len(s), 130)] }

func parseKey(rest string) func(*http.Request, configurer.Effective, *answerer.Request) *answerer.Answer {
	return func(_ *http.Request, s configurer.Effective, req *answerer.Request) *answerer.Answer {
		if !s.Keyed {
			return nil
		}
		after, ok := strings.CutPrefix(rest, "keys/")
		if !ok {
			return refuse(answerer.CodeBadKey, "a keyed service is called as /organisation/service/keys/KEY")
		}
		escaped, _, _ := strings.Cut(after, "/")
		key, err := unescape(escaped)
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

func parseTimeout(r *http.Request, s configurer.Effective, req *answerer.Request) *answerer.Answer {
	req.Remaining = s.Timeout
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms < 1 || ms > int(s.MaxTimeout/time.Millisecond) {
		return refuse(answerer.CodeBadDeadline, HeaderTimeout+" "+strconv.Quote(shorten(value))+
			" is not a number from 1 to "+strconv.Itoa(int(s.MaxTimeout/time.Millisecond)))
	}
	req.Remaining = time.Duration(ms) * time.Millisecond
	return nil
}

// parseRepeat decides whether the request is idempotent, by its method (RFC 9110,
// 9.2.2) or its header, and reads its ID.
func parseRepeat(r *http.Request, _ configurer.Effective, req *answerer.Request) *answerer.Answer {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		req.Idempotent = true
	}
	if value := r.Header.Get(HeaderIdempotent); value != "" {
		idempotent, err := strconv.ParseBool(value)
		if err != nil {
			return refuse(answerer.CodeBadRequest, HeaderIdempotent+" "+strconv.Quote(shorten(value))+" is not true or false")
		}
		req.Idempotent = idempotent
	}
	id := r.Header.Get(HeaderRequestID)
	if id == "" && !req.Idempotent {
		return refuse(answerer.CodeNeedsRequestID, r.Method+" may not be repeated and needs "+HeaderRequestID)
	}
	if id != "" {
		if err := identifier.CheckRequestID(id); err != nil {
			return refuse(answerer.CodeBadRequestID, err.Error())
		}
	}
	req.ID = identifier.RequestID(id)
	return nil
}

func readBody(w http.ResponseWriter, r *http.Request, s configurer.Effective, req *answerer.Request) *answerer.Answer {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.MaxBodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(answerer.CodeBodyTooLarge, "the body has over "+strconv.Itoa(s.MaxBodyBytes)+" bytes")
	case err != nil:
		return refuse(answerer.CodeBadRequest, "the body cannot be read: "+err.Error())
	}
	req.Body = body
	return nil
}

// ownAnswer is the body of an answer of the system's own.
type ownAnswer struct {
	Code    int
	Name    string
	Outcome answerer.Outcome
	Detail  string
}

func write(w http.ResponseWriter, a answerer.Answer) {
	w.Header().Set(HeaderOutcome, string(a.Outcome))
	w.Header().Set(HeaderCode, strconv.Itoa(int(a.Code)))
	if a.Outcome != answerer.Ran {
		writeOwn(w, a)
		return
	}
	for name, values := range a.Header {
		if name != HeaderOutcome && name != HeaderCode {
			w.Header()[name] = values
		}
	}
	// The length lets the caller tell a whole answer from one that breaks off.
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func writeOwn(w http.ResponseWriter, a answerer.Answer) {
	body, err := json.Marshal(ownAnswer{int(a.Code), a.Code.Name(), a.Outcome, a.Detail})
	if err != nil {
		body = []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
	w.WriteHeader(a.Code.Status())
	_, _ = w.Write(append(body, '\n'))
}
