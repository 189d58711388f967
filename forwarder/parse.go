package forwarder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/scheduler"
)

// parse reads the request; the result is nil if it can be served.
func (f *Forwarder) parse(arrived time.Time, w http.ResponseWriter, r *http.Request) (*flight, *result) {
	fl := &flight{
		id: r.Header.Get(f.names.RequestID), method: r.Method, target: r.URL.RequestURI(), host: r.Host,
		arrived: arrived, sent: map[identifier.BackendServer]bool{},
	}
	if strings.HasPrefix(r.RequestURI, "/") {
		fl.target = r.RequestURI // As the caller spelled it.
	}
	table := f.core.Table()
	if table == nil {
		return fl, &result{code: answerer.CodePlatformDown, status: http.StatusServiceUnavailable, retryAfter: unknownRetry, detail: "no configuration is known yet"}
	}
	fl.version = table.Version
	fl.route = table.Match(r.Host, r.URL.Path)
	if fl.route == nil {
		return fl, &result{code: answerer.CodeUnknownService, status: http.StatusNotFound, detail: "no route matches host and path"}
	}
	left, res := f.timeLeft(fl.route, r)
	if res != nil {
		return fl, res
	}
	fl.deadline = arrived.Add(left)
	fl.returned = f.hasReturned(fl.route.Name, left)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(table.Limits.MaxBodyBytes, 1)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fl, &result{code: answerer.CodeBodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: "the body is over the limit"}
	case err != nil:
		return fl, &result{code: answerer.CodeBadRequest, status: http.StatusBadRequest, detail: "the body is cut"}
	}
	fl.body = body
	fl.header = f.forwardable(r.Header)
	fl.service = f.core.Split(fl.route)
	if res := f.parseKey(fl, table, r); res != nil {
		return fl, res
	}
	fl.fingerprint = answerer.Request{
		Service: identifier.ServiceName{Organisation: identifier.Organisation(r.Host)},
		Key:     identifier.Key(r.Header.Get(f.names.Key)), Method: r.Method, Path: fl.target, Body: body,
	}.Fingerprint()
	if f.core.Quarantined(fl.fingerprint) {
		return fl, &result{code: answerer.CodeQuarantined, status: http.StatusServiceUnavailable, retryAfter: quarantineRetry,
			detail: "requests like this one have crashed backend servers"}
	}
	return fl, nil
}

func (f *Forwarder) parseKey(fl *flight, table *director.Table, r *http.Request) *result {
	fl.keyed = table.Services[fl.service].Keyed
	if !fl.keyed {
		return nil
	}
	value := r.Header.Get(f.names.Key)
	n, err := strconv.ParseUint(value, 10, 16)
	if err != nil {
		return &result{code: answerer.CodeBadKey, status: http.StatusBadRequest, detail: f.names.Key + " " + strconv.Quote(value) + " is not a key"}
	}
	fl.key = identifier.Point(n)
	return nil
}

// timeLeft returns how long the caller waits and the operator lets it wait.
func (f *Forwarder) timeLeft(route *director.Route, r *http.Request) (time.Duration, *result) {
	left := route.Timeout
	if value := r.Header.Get(f.names.TimeLeft); value != "" {
		ms, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return 0, &result{code: answerer.CodeBadDeadline, status: http.StatusBadRequest, detail: f.names.TimeLeft + " " + strconv.Quote(value) + " is not a number of milliseconds"}
		}
		given := time.Duration(ms)*time.Millisecond - answerReserve
		if left <= 0 || given < left {
			left = given
		}
	}
	if left <= 0 {
		return 0, &result{code: answerer.CodeExpired, status: http.StatusServiceUnavailable, retryAfter: unknownRetry, detail: "no time is left"}
	}
	return left, nil
}

// hasReturned reports whether a caller has less time than others at their first try.
func (f *Forwarder) hasReturned(route string, left time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if left > f.longest[route] {
		f.longest[route] = left
	}
	return float64(left) < returnedShare*float64(f.longest[route])
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length", "Host", "Expect",
}

func (f *Forwarder) forwardable(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h.Values("Connection") {
		for _, name := range strings.Split(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	out.Del(f.names.ExpectServer)
	out.Del(f.names.TimeLeft)
	return out
}

// readLoad reads the running and waiting requests and the slowness of the machine.
func (f *Forwarder) readLoad(h http.Header, r *scheduler.Report) {
	fields := strings.Split(h.Get(f.names.Load), ",")
	if len(fields) < 3 {
		return
	}
	running, err1 := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, err2 := strconv.Atoi(strings.TrimSpace(fields[1]))
	if err1 != nil || err2 != nil || running < 0 || waiting < 0 {
		return
	}
	r.HasLoad, r.Running, r.Waiting = true, running, waiting
	if len(fields) > 3 {
		if percent, err := strconv.ParseFloat(strings.TrimSpace(fields[3]), 64); err == nil {
			r.Slowness = percent / 100
		}
	}
}
