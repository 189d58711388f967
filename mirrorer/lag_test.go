package mirrorer_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
)

// TestLag is the table of what is heard of another instance's copy while the own watch may
// be deaf, as on qsl-edge-grown scale-2 --seed 854547570547.
func TestLag(t *testing.T) {
	const patience = 300 * time.Millisecond
	type heard struct {
		ms               int
		newest, revision identifier.Version
		lists            bool
	}
	cases := map[string][]heard{
		"InTime":          {{0, 10, 5, false}, {200, 10, 10, false}, {900, 10, 10, false}},
		"Deaf":            {{0, 10, 5, false}, {200, 10, 5, false}, {400, 10, 5, true}, {500, 10, 5, false}, {800, 10, 5, true}},
		"DeafWhileMore":   {{0, 10, 5, false}, {200, 11, 5, false}, {400, 12, 5, true}},
		"CaughtUpOnce":    {{0, 10, 5, false}, {400, 10, 12, false}, {500, 15, 12, false}, {700, 15, 12, false}, {800, 15, 12, true}},
		"OthersAreBehind": {{0, 3, 5, false}, {400, 3, 5, false}},
		"DeletedThere":    {{0, 10, 20, false}, {400, 10, 20, false}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			var l mirrorer.Lag
			start := time.Unix(1000, 0)
			for _, h := range steps {
				if got := l.Heard(start.Add(time.Duration(h.ms)*time.Millisecond), h.newest, h.revision, patience); got != h.lists {
					t.Errorf("at %d ms: lists %t, want %t", h.ms, got, h.lists)
				}
			}
		})
	}
}
