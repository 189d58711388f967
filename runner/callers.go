package runner

import (
	"errors"
	"net/http"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/recorder"
)

// serveReady tells the platform's balancer whether the instance takes requests.
func (r *Runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || !r.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveOutcome tells a caller what has become of a request, by its Idempotency-Key.
func (r *Runner) serveOutcome(w http.ResponseWriter, req *http.Request) {
	name := serviceName(req)
	s, ok := r.dispatch.Table().Find(name)
	if !ok {
		http.Error(w, answerer.CodeUnknownService.String(), http.StatusNotFound)
		return
	}
	found, err := r.record.Find(req.Context(), name, identifier.RequestID(req.PathValue("id")), s.Settings)
	switch {
	case errors.Is(err, recorder.ErrNotRecorded):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, answerer.CodePlatformDown.String(), http.StatusServiceUnavailable)
	default:
		serveJSON(w, found)
	}
}
