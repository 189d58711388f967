package forwarder_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/scheduler"
)

// waitingCore changes the configuration, or what is known of it, while a request waits for a decision.
type waitingCore struct {
	core
	whileWaiting func(*core)
}

func (c *waitingCore) Admit(ctx context.Context, r *scheduler.PendingRequest) (scheduler.Decision, bool) {
	if len(c.steps) == 1 { // Before the last attempt.
		c.whileWaiting(&c.core)
	}
	return c.core.Admit(ctx, r)
}

// TestRevoke guards against a request that is sent although its key was removed while it waited or between two attempts, or
// although this instance cannot know whether it was, and against a status that denies that an earlier attempt may have run.
func TestRevoke(t *testing.T) {
	t.Parallel()
	with := func(tenants ...director.Tenant) *director.Table {
		table, err := tenantTable(t).WithTenants(tenants)
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	keys := []director.KeyDigest{director.DigestKey("k")}
	table := with(director.Tenant{Name: "a", Keys: keys})
	remove := func(c *core) { c.table = with(director.Tenant{Name: "a"}) }
	move := func(c *core) { c.table = with(director.Tenant{Name: "b", Keys: keys}) }
	lose := func(c *core) { c.staleKeys = true }
	keep := func(*core) {}
	cases := map[string]struct {
		core   core
		change func(*core)
		key    string
		status int
		sends  int
		tenant string
	}{
		"Kept":               {core{steps: []string{"ok"}}, keep, "k", 200, 1, "a"},
		"Removed":            {core{steps: []string{"ok"}}, remove, "k", 401, 0, ""},
		"Moved":              {core{steps: []string{"ok"}}, move, "k", 200, 1, "b"},
		"Stale":              {core{steps: []string{"ok"}}, lose, "k", 503, 0, ""},
		"StaleAtArrival":     {core{steps: []string{"ok"}, staleKeys: true}, keep, "k", 503, 0, ""},
		"StaleUnknown":       {core{steps: []string{"ok"}, staleKeys: true}, keep, "other", 503, 0, ""},
		"StaleMissing":       {core{steps: []string{"ok"}, staleKeys: true}, keep, "", 401, 0, ""},
		"RemovedAfterShed":   {core{steps: []string{"shed", "ok"}, retries: true}, remove, "k", 401, 1, "a"},
		"RemovedAfterBroken": {core{steps: []string{"broken", "ok"}, retries: true}, remove, "k", 502, 1, "a"},
		"StaleAfterBroken":   {core{steps: []string{"broken", "ok"}, retries: true}, lose, "k", 502, 1, "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.core.table = table
			k := &waitingCore{c.core, c.change}
			resp := sendTo(k, http.MethodPost, "/read/a", func(r *http.Request) {
				if c.key != "" {
					r.Header.Set("Authorization", "Bearer "+c.key)
				}
			})
			if resp.Code != c.status || len(k.requests) != c.sends {
				t.Fatalf("status %d after %d requests to backend servers, want %d after %d", resp.Code, len(k.requests), c.status, c.sends)
			}
			if c.sends > 0 && k.requests[0].Header.Get("Tenant") != c.tenant {
				t.Errorf("tenant %q, want %q", k.requests[0].Header.Get("Tenant"), c.tenant)
			}
			if (resp.Header().Get("Retry-After") != "") != (c.status == 503) {
				t.Errorf("status %d with Retry-After %q", resp.Code, resp.Header().Get("Retry-After"))
			}
		})
	}
}
