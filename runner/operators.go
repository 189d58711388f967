package runner

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/admitter"
	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/router"
)

// operatorHandler returns the operators' HTTP interface. Every call must carry the operators' token.
func (r *Runner) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.metrics)
	mux.HandleFunc("GET /dump", r.serveDump)
	mux.HandleFunc("GET /where/{organisation}/{service}/{key...}", r.serveWhere)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		token := strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(r.cfg.OperatorToken)) != 1 {
			http.Error(w, answerer.CodeUnauthorized.String(), http.StatusUnauthorized)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// serviceName returns the service that the path of a request names.
func serviceName(req *http.Request) identifier.ServiceName {
	return identifier.ServiceName{
		Organisation: identifier.Organisation(req.PathValue("organisation")),
		Service:      identifier.Service(req.PathValue("service")),
	}
}

// Dump is a view of an instance's whole state, for operators.
type Dump struct {
	controller.Dump
	Ready   bool
	Leaving bool
	Queues  map[identifier.BackendServer]admitter.State
}

// serveDump answers with the instance's Dump in JSON.
func (r *Runner) serveDump(w http.ResponseWriter, req *http.Request) {
	d := Dump{Ready: r.ready.Load(), Leaving: r.leaving.Load(), Queues: r.coordinator.QueueStates()}
	r.runInLoop(req.Context(), func(c *controller.Controller) { d.Dump = c.Dump(time.Now()) })
	serveJSON(w, d)
}

// KeyRoute is the route of a key: its partition, the partition's owner and coordinator, and the result code that a
// request would get.
type KeyRoute struct {
	router.Route
	Code string
	// NextOwner is the backend server that the partition is moving to; it is empty if the partition is not moving.
	NextOwner identifier.BackendServer `json:"Next,omitempty"`
}

// serveWhere answers with the route of the key that the path names, in JSON.
func (r *Runner) serveWhere(w http.ResponseWriter, req *http.Request) {
	s, ok := r.dispatcher.Table().Find(serviceName(req))
	if !ok {
		http.Error(w, answerer.CodeUnknownService.String(), http.StatusNotFound)
		return
	}
	route, code := s.RouteKey(identifier.Key(req.PathValue("key")))
	where := KeyRoute{Route: route, Code: code.String()}
	if s.Assignment != nil {
		where.NextOwner, _ = s.Assignment.NextOwner(route.Partition)
	}
	serveJSON(w, where)
}

// serveJSON answers with v in JSON.
func serveJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
