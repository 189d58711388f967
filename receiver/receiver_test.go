package receiver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/router"
)

// fixedDispatcher is a Dispatcher that returns the same answer to every request and keeps the last one. It
// has a keyed and a pool service, and is also the Observer.
type fixedDispatcher struct {
	answer answerer.Answer
	last   *answerer.Request
}

func (f *fixedDispatcher) Dispatch(_ context.Context, r answerer.Request) answerer.Answer {
	f.last = &r
	return f.answer
}

func (f *fixedDispatcher) Table() *router.Table {
	service := func(name identifier.Service, keyed bool) (identifier.ServiceName, *router.Service) {
		n := identifier.ServiceName{Organisation: "quokka", Service: name}
		return n, &router.Service{Name: n, Settings: configurer.EffectiveSettings{
			Keyed: keyed, Timeout: 5 * time.Second, MaxTimeout: time.Minute, MaxBodyBytes: 10,
		}}
	}
	t := &router.Table{Services: map[identifier.ServiceName]*router.Service{}}
	for name, keyed := range map[identifier.Service]bool{"sitefront": true, "ledger": false} {
		n, s := service(name, keyed)
		t.Services[n] = s
	}
	return t
}

func (f *fixedDispatcher) RecordAnswer(identifier.ServiceName, answerer.Answer, time.Duration) {}

// TestRequests guards against passing on a request that is not valid and against refusing a valid one. It
// checks the code, the HTTP status and the outcome of requests of each kind.
func TestRequests(t *testing.T) {
	t.Parallel()
	const page = "/quokka/sitefront/keys/open-day/index.html"
	cases := []struct {
		name, method, path, body string
		header                   map[string]string
		want                     answerer.Code
	}{
		{"Read", "GET", page, "", nil, answerer.CodeOK},
		{"Write", "POST", page, "build", map[string]string{HeaderRequestID: "publish-1"}, answerer.CodeOK},
		{"Pool", "GET", "/quokka/ledger/balance?month=1", "", nil, answerer.CodeOK},
		{"EscapedKey", "GET", "/quokka/sitefront/keys/a%2Fb", "", nil, answerer.CodeOK},
		{"NoPath", "GET", "/", "", nil, answerer.CodeUnknownService},
		{"UnknownService", "GET", "/quokka/nothing/keys/a", "", nil, answerer.CodeUnknownService},
		{"NoKey", "GET", "/quokka/sitefront/index.html", "", nil, answerer.CodeBadKey},
		{"EmptyKey", "GET", "/quokka/sitefront/keys/", "", nil, answerer.CodeBadKey},
		{"LongKey", "GET", "/quokka/sitefront/keys/" + strings.Repeat("k", 513), "", nil, answerer.CodeBadKey},
		{"ControlInKey", "GET", "/quokka/sitefront/keys/a%00b", "", nil, answerer.CodeBadKey},
		{"NoRequestID", "POST", page, "", nil, answerer.CodeNeedsRequestID},
		{"ReadNotIdempotent", "GET", page, "", map[string]string{HeaderIdempotent: "false"}, answerer.CodeNeedsRequestID},
		{"WriteIdempotent", "POST", page, "", map[string]string{HeaderIdempotent: "true"}, answerer.CodeOK},
		{"BadIdempotent", "GET", page, "", map[string]string{HeaderIdempotent: "perhaps"}, answerer.CodeBadRequest},
		{"LongRequestID", "POST", page, "", map[string]string{HeaderRequestID: strings.Repeat("i", 129)}, answerer.CodeBadRequestID},
		{"ZeroTimeout", "GET", page, "", map[string]string{HeaderTimeout: "0"}, answerer.CodeBadDeadline},
		{"NegativeTimeout", "GET", page, "", map[string]string{HeaderTimeout: "-5"}, answerer.CodeBadDeadline},
		{"TimeoutOverLimit", "GET", page, "", map[string]string{HeaderTimeout: "99999999999"}, answerer.CodeBadDeadline},
		{"WordAsTimeout", "GET", page, "", map[string]string{HeaderTimeout: "soon"}, answerer.CodeBadDeadline},
		{"LargeBody", "PUT", page, "eleven bytes", nil, answerer.CodeBodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fixedDispatcher{answer: answerer.Answer{Outcome: answerer.Ran, Status: http.StatusOK, Body: []byte("page")}}
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for name, value := range c.header {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			New(f, f, time.Now).ServeHTTP(w, r)
			code, outcome := w.Header().Get(HeaderCode), w.Header().Get(HeaderOutcome)
			if want := strings.Fields(c.want.String())[0]; code != want || w.Code != c.want.Status() {
				t.Errorf("code %s and status %d, want code %s and its status; the body is %s", code, w.Code, c.want, w.Body)
			}
			if refused := c.want != answerer.CodeOK; refused != (f.last == nil) || refused != (outcome == string(answerer.NotRun)) {
				t.Errorf("outcome %s with the request dispatched: %t; only a refusal must have outcome NotRun and not be dispatched", outcome, f.last != nil)
			}
		})
	}
}

// TestAnswerHeaders guards against an answer without its length, which a caller could not tell from a
// truncated one, and against a backend server that sets the system's own headers.
func TestAnswerHeaders(t *testing.T) {
	t.Parallel()
	f := &fixedDispatcher{answer: answerer.Answer{
		Outcome: answerer.Ran, Status: http.StatusCreated, Body: []byte("page"),
		Header: http.Header{HeaderOutcome: {"NotRun"}, HeaderCode: {"9"}, "Etag": {"x"}},
	}}
	w := httptest.NewRecorder()
	New(f, f, time.Now).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/quokka/ledger/balance", http.NoBody))
	if w.Code != http.StatusCreated || w.Header().Get("Content-Length") != "4" || w.Header().Get("Etag") != "x" ||
		w.Header().Get(HeaderOutcome) != "Ran" || w.Header().Get(HeaderCode) != "0" {
		t.Errorf("status %d and headers %v, want 201, the length 4, the backend server's Etag, outcome Ran and code 0", w.Code, w.Header())
	}
}
