package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/forwarder"
)

// TestQuota guards against a request over its tenant's quota that is sent, also as a repetition, against a status that denies
// that an earlier attempt may have run, and against requests that count as waiting for good.
func TestQuota(t *testing.T) {
	t.Parallel()
	base := tenantTable(t)
	table, err := base.WithTenants([]director.Tenant{{Name: "a", Keys: []director.KeyDigest{director.DigestKey("k")}, Rate: 1}})
	if err != nil {
		t.Fatal(err)
	}
	second := 1500 * time.Millisecond
	cases := map[string]struct {
		core   core
		path   string
		status int
		sends  int
		after  string
	}{
		"Within":          {core{steps: []string{"ok"}, quotaSends: 1}, "/read/a", 200, 1, ""},
		"OverAtArrival":   {core{steps: []string{"ok"}, quotaAtArrival: &forwarder.QuotaRefusal{RetryAfter: second}}, "/read/a", 429, 0, "1.50"},
		"UnknownAtStart":  {core{steps: []string{"ok"}, quotaAtArrival: &forwarder.QuotaRefusal{Unknown: true, RetryAfter: second}}, "/read/a", 503, 0, "1.50"},
		"OverWhenSent":    {core{steps: []string{"ok"}}, "/read/a", 429, 0, "2.00"},
		"OverAfterUnsent": {core{steps: []string{"unsent", "ok"}, retries: true, quotaSends: 1}, "/read/a", 429, 1, "2.00"},
		"OverAfterShed":   {core{steps: []string{"shed", "ok"}, retries: true, quotaSends: 1}, "/read/a", 429, 1, "2.00"},
		"OverAfterBroken": {core{steps: []string{"broken", "ok"}, retries: true, quotaSends: 1}, "/read/a", 502, 1, ""},
		"AnonymousRoute":  {core{steps: []string{"ok"}}, "/open/a", 200, 1, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.core.table = table
			resp := send(&c.core, http.MethodPost, c.path, func(r *http.Request) { r.Header.Set("Authorization", "Bearer k") })
			if resp.Code != c.status || len(c.core.requests) != c.sends || resp.Header().Get("Retry-After") != c.after {
				t.Errorf("status %d after %d requests to backend servers, Retry-After %q; want %d after %d, %q",
					resp.Code, len(c.core.requests), resp.Header().Get("Retry-After"), c.status, c.sends, c.after)
			}
			want := 1
			if c.core.quotaAtArrival != nil || c.path == "/open/a" {
				want = 0
			}
			if c.core.quotaLeft != want {
				t.Errorf("LeaveQuota called %d times, want %d", c.core.quotaLeft, want)
			}
			returned := map[string]int{"OverAfterUnsent": 1, "OverAfterShed": 1}[name] // A broken one may have run.
			if c.core.quotaReturned != returned {
				t.Errorf("ReturnQuota called %d times, want %d", c.core.quotaReturned, returned)
			}
		})
	}
}
