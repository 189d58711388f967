package runner

import (
	"errors"
	"net/http"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/recorder"
)

// serveReady answers the platform's load balancer: 200 if the instance serves, 503 while it starts or shuts down.
func (r *Runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || !r.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// serveOutcome answers with the recorded outcome of a request, in JSON. The path names the service and the request's
// Idempotency-Key. The status is 404 if the service or the outcome is not known, and 503 if the record cannot be read.
func (r *Runner) serveOutcome(w http.ResponseWriter, req *http.Request) {
	name := serviceName(req)
	s, ok := r.dispatcher.Table().Find(name)
	if !ok {
		http.Error(w, answerer.CodeUnknownService.String(), http.StatusNotFound)
		return
	}
	found, err := r.recorder.Find(req.Context(), name, identifier.RequestID(req.PathValue("id")), s.Settings)
	switch {
	case errors.Is(err, recorder.ErrNotRecorded):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, answerer.CodePlatformDown.String(), http.StatusServiceUnavailable)
	default:
		serveJSON(w, found)
	}
}
