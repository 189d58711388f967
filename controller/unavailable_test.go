package controller

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkUnavailable measures, for each kind of fault, the longest time that any partition is without service. It
// reports the median and the maximum over the seeds, in simulated time.
func BenchmarkUnavailable(b *testing.B) {
	kinds := []string{
		"LoseServer", "FreezeServer", "RestartServer", "KillInstance", "ReplaceInstance", "PauseInstance", "StopInstance",
		"ZoneOut", "DrainServer", "LeaveServer", "CutZonePlatform", "PlatformDown", "CutZone",
	}
	for _, kind := range kinds {
		b.Run(kind, func(b *testing.B) {
			var gaps []time.Duration
			for n := 0; b.Loop(); n++ {
				s := schedule{
					Seed: uint64(n), Zones: 3, Instances: 6, Servers: 6,
					Faults: []fault{{Kind: kind, AtMs: 500 + 7*n%1000, ForMs: 6000, Target: n}},
				}
				gaps = append(gaps, s.run().longestGap())
			}
			slices.Sort(gaps)
			b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-ms")
		})
	}
}
