package quarantiner_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/registrar"
)

// TestBlocked is the table of crashes that a fingerprint was part of, and whether requests
// with it are refused after them.
func TestBlocked(t *testing.T) {
	const f = answerer.Fingerprint(7)
	now := time.Unix(1000, 0)
	at := func(server string, life uint64) quarantiner.Crash {
		return quarantiner.Crash{Fingerprint: f, Run: quarantiner.Run{Server: identifier.BackendServer(server), Life: registrar.Life(life)}}
	}
	cases := []struct {
		name    string
		crashes []any // A Crash, or nil for a request that ran to its end.
		blocked bool
	}{
		{"One", []any{at("x", 1)}, false},
		{"TwoServers", []any{at("x", 1), at("y", 1)}, true},
		{"TwoRequestsAtOneCrash", []any{at("x", 1), at("x", 1)}, false},
		{"OneServerTwice", []any{at("x", 1), at("x", 2)}, true},
		{"CompletedBetween", []any{at("x", 1), nil, at("y", 1)}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := quarantiner.New()
			for _, each := range c.crashes {
				if crash, ok := each.(quarantiner.Crash); ok {
					q.Crashed(now, crash)
				} else {
					q.Completed(f)
				}
			}
			if got := q.Blocked(now, f); got != c.blocked {
				t.Errorf("blocked %t, want %t", got, c.blocked)
			}
		})
	}
}
