package quarantiner_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/registrar"
)

// TestBlocked checks after which crashes a fingerprint is blocked. Too early, requests that only ran when a server
// crashed would be refused; too late, a request would crash more servers.
func TestBlocked(t *testing.T) {
	const fingerprint = answerer.Fingerprint(7)
	now := time.Unix(1000, 0)
	crashOf := func(server string, incarnation uint64) quarantiner.Crash {
		return quarantiner.Crash{Fingerprint: fingerprint, Run: quarantiner.Run{Server: identifier.BackendServer(server), ServerIncarnation: registrar.Incarnation(incarnation)}}
	}
	cases := []struct {
		name    string
		events  []any // In order: a Crash, or nil for a request that ran to its end.
		blocked bool
	}{
		{"One", []any{crashOf("x", 1)}, false},
		{"TwoServers", []any{crashOf("x", 1), crashOf("y", 1)}, true},
		{"TwoRequestsAtOneCrash", []any{crashOf("x", 1), crashOf("x", 1)}, false},
		{"OneServerTwice", []any{crashOf("x", 1), crashOf("x", 2)}, true},
		{"CompletedBetween", []any{crashOf("x", 1), nil, crashOf("y", 1)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := quarantiner.New()
			for _, event := range c.events {
				if crash, ok := event.(quarantiner.Crash); ok {
					q.RecordCrash(now, crash)
				} else {
					q.RecordCompletion(fingerprint)
				}
			}
			if got := q.Blocked(now, fingerprint); got != c.blocked {
				t.Errorf("fingerprint is blocked: %t, want %t", got, c.blocked)
			}
		})
	}
}
