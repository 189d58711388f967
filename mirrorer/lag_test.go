package mirrorer_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
)

// TestLag checks when a copy is listed again, by the versions that another instance has, while the
// own watch may deliver no events. Such a watch was seen on qsl-edge-grown scale-2 --seed
// 854547570547.
func TestLag(t *testing.T) {
	const timeout = 300 * time.Millisecond
	type step struct {
		ms               int
		newest, revision identifier.Version
		relist           bool
	}
	cases := map[string][]step{
		"InTime":            {{0, 10, 5, false}, {200, 10, 10, false}, {900, 10, 10, false}},
		"NoEvents":          {{0, 10, 5, false}, {200, 10, 5, false}, {400, 10, 5, true}, {500, 10, 5, false}, {800, 10, 5, true}},
		"NoEventsWhileMore": {{0, 10, 5, false}, {200, 11, 5, false}, {400, 12, 5, true}},
		"CaughtUpOnce":      {{0, 10, 5, false}, {400, 10, 12, false}, {500, 15, 12, false}, {700, 15, 12, false}, {800, 15, 12, true}},
		"OthersAreBehind":   {{0, 3, 5, false}, {400, 3, 5, false}},
		"DeletedThere":      {{0, 10, 20, false}, {400, 10, 20, false}},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			var l mirrorer.LagDetector
			start := time.Unix(1000, 0)
			for _, s := range steps {
				if got := l.Observe(start.Add(time.Duration(s.ms)*time.Millisecond), s.newest, s.revision, timeout); got != s.relist {
					t.Errorf("at %d ms: list requested: %t, want %t", s.ms, got, s.relist)
				}
			}
		})
	}
}
