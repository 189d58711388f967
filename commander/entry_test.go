package commander

import "testing"

// TestMaxCallerConnections guards against a bound on callers' connections that leaves no descriptors for backend servers, that
// exceeds the memory, or that ends all callers because a setting is too small.
func TestMaxCallerConnections(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		maxFDs, memoryMB, want int
	}{
		{8200, 144, 921}, {8200, 414, 2649}, {8200, 804, 4052}, {1024, 414, 464}, {256, 128, 80}, {100, 128, 16}, {1, 1, 16}, {8200, 0, 16},
	} {
		if got := maxCallerConnections(c.maxFDs, float64(c.memoryMB)*mb); got != c.want {
			t.Errorf("%d descriptors, %d MB: %d connections, want %d", c.maxFDs, c.memoryMB, got, c.want)
		}
	}
	if got := maxCallerConnections(0, 144*mb); got < minConnections || got > 921 {
		t.Errorf("without a number of descriptors: %d connections", got)
	}
}
