package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/forwarder"
)

// TestReadCold guards against an answer to a health call that is taken for that of a warm server although it does not say so.
func TestReadCold(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		value     string
		remaining time.Duration
		ok        bool
	}{
		"Missing":  {"", 0, true},
		"Zero":     {"0", 0, true},
		"Cold":     {"1760", 1760 * time.Millisecond, true},
		"Fraction": {" 0.5 ", 500 * time.Microsecond, true},
		"Negative": {"-1", 0, false},
		"NoNumber": {"soon", 0, false},
		"NaN":      {"NaN", 0, false},
		"Endless":  {"Inf", time.Hour, true},
		"TooLarge": {"1e300", time.Hour, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, ok := forwarder.HeaderNames{ColdRemaining: "Cold"}.ReadCold(http.Header{"Cold": {c.value}})
			if got != c.remaining || ok != c.ok {
				t.Errorf("%q: cold for %s, %t; want %s, %t", c.value, got, ok, c.remaining, c.ok)
			}
		})
	}
}
