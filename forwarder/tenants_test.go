package forwarder_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/scheduler"
)

// tenantTable returns a configuration with a protected and an anonymous route and two tenants, of which one has a priority.
func tenantTable(t *testing.T) *director.Table {
	t.Helper()
	shares := []director.Share{{Service: "pool", Weight: 1}}
	urgent := director.Priority(1)
	table, err := director.New(3, []director.Route{
		{Name: "read", Host: "h", PathPrefix: "/read/", Idempotent: true, Timeout: 300 * time.Millisecond, MaxAttempts: 2, Priority: 4, Shares: shares},
		{Name: "open", Host: "h", PathPrefix: "/open/", Idempotent: true, Timeout: 300 * time.Millisecond, MaxAttempts: 2, Priority: 4, Shares: shares, Anonymous: true},
	}, []director.Service{{Name: "pool"}}, director.Limits{MaxBodyBytes: 1000}).WithTenants([]director.Tenant{
		{Name: "a", Keys: []director.KeyDigest{director.DigestKey("key-of-a")}, Priority: &urgent},
		{Name: "b", Keys: []director.KeyDigest{director.DigestKey("key-of-b")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// priorityCore records the priority of the last request that waited for a decision.
type priorityCore struct {
	core
	priority director.Priority
}

func (c *priorityCore) Admit(ctx context.Context, r *scheduler.PendingRequest) (scheduler.Decision, bool) {
	c.priority = r.Priority
	return c.core.Admit(ctx, r)
}

// TestTenants guards against a request that is served without a known key, a key or a forged tenant that reaches a backend
// server, a tenant whose priority has no effect, and a key in a log line or an answer.
func TestTenants(t *testing.T) {
	t.Parallel()
	withKey := func(key string) func(*http.Request) {
		return func(r *http.Request) {
			r.Header.Set("Authorization", "Bearer "+key)
			r.Header.Set("Tenant", "forged")
		}
	}
	plain := table()
	cases := map[string]struct {
		table    *director.Table
		path     string
		change   func(*http.Request)
		status   int
		tenant   string
		key      string // The Authorization header that the backend server gets.
		priority director.Priority
	}{
		"TenantPriority":  {tenantTable(t), "/read/a", withKey("key-of-a"), 200, "a", "", 1},
		"RoutePriority":   {tenantTable(t), "/read/a", withKey("key-of-b"), 200, "b", "", 4},
		"UnknownKey":      {tenantTable(t), "/read/a", withKey("key-of-c"), 401, "", "", 0},
		"NoKey":           {tenantTable(t), "/read/a", nil, 401, "", "", 0},
		"LateWithoutKey":  {tenantTable(t), "/read/a", func(r *http.Request) { r.Header.Set("Left", "1") }, 401, "", "", 0},
		"Anonymous":       {tenantTable(t), "/open/a", withKey("key-of-c"), 200, "", "", 4},
		"AnonymousNoKey":  {tenantTable(t), "/open/a", nil, 200, "", "", 4},
		"HopByHopTenant":  {tenantTable(t), "/read/a", func(r *http.Request) { withKey("key-of-a")(r); r.Header.Set("Connection", "Tenant") }, 200, "a", "", 1},
		"NoTenants":       {plain, "/read/a", withKey("key-of-c"), 200, "forged", "Bearer key-of-c", 0},
		"NoConfiguration": {nil, "/read/a", withKey("key-of-c"), 503, "", "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lines bytes.Buffer
			log := logrus.New()
			log.SetOutput(&lines)
			k := &priorityCore{core: core{table: c.table, steps: []string{"ok"}}}
			r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader("body"))
			r.Host = "h"
			r.Header.Set("Id", "id-1")
			if c.change != nil {
				c.change(r)
			}
			w := httptest.NewRecorder()
			forwarder.New(names, noNotice, k, rationer.New(1<<20), time.Now, logrus.NewEntry(log)).ServeHTTP(w, r)
			if w.Code != c.status || (len(k.requests) == 1) != (c.status == 200) {
				t.Fatalf("status %d after %d requests to backend servers, want %d", w.Code, len(k.requests), c.status)
			}
			if (w.Header().Get("WWW-Authenticate") != "") != (c.status == 401) {
				t.Errorf("status %d with header WWW-Authenticate %q", w.Code, w.Header().Get("WWW-Authenticate"))
			}
			if c.status == 200 {
				h := k.requests[0].Header
				if h.Get("Tenant") != c.tenant || h.Get("Authorization") != c.key || k.priority != c.priority {
					t.Errorf("tenant %q, Authorization %q, priority %d; want %q, %q, %d", h.Get("Tenant"), h.Get("Authorization"), k.priority, c.tenant, c.key, c.priority)
				}
			}
			if text := lines.String() + w.Body.String(); strings.Contains(text, "key-of") {
				t.Errorf("log or answer has a key: %s", text)
			}
		})
	}
}
