package allocator_test

import (
	"math"
	"testing"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
)

// TestKeyRates checks the sum of sketches, and guards against one bad rate of one instance that spoils all sums.
func TestKeyRates(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	k := allocator.NewKeyRates([]allocator.Sketch{
		{Ends: []identifier.ShardKey{9, 19, identifier.MaxShardKey}, Rates: []float32{10, 40, 0}},
		{Ends: []identifier.ShardKey{14, identifier.MaxShardKey}, Rates: []float32{15, 0}},
		{Ends: []identifier.ShardKey{5, 6, 7, identifier.MaxShardKey}, Rates: []float32{nan, inf, -3, 0}},
		{Ends: []identifier.ShardKey{9}, Rates: []float32{1, 2}},
	})
	cases := []struct {
		from, to identifier.ShardKey
		want     float64
	}{{0, 9, 20}, {10, 14, 25}, {15, 19, 20}, {20, identifier.MaxShardKey, 0}, {0, identifier.MaxShardKey, 65}, {12, 12, 5}}
	for _, c := range cases {
		if got := k.Rate(identifier.Range{From: c.from, To: c.to}); math.Abs(got-c.want) > 1e-6 {
			t.Errorf("rate of keys %d to %d is %g, want %g", c.from, c.to, got, c.want)
		}
	}
}
