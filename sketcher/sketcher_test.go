package sketcher

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/turmericlift/turmericlift/identifier"
)

// TestErrorBound guards against counts outside the error bound of the algorithm: it compares the counts of a sketch
// with exact counts of a skewed stream.
func TestErrorBound(t *testing.T) {
	t.Parallel()
	const size, total = 64, 20000
	for seed := range uint64(20) {
		z := rand.NewZipf(rand.New(rand.NewPCG(seed, seed)), 1.3, 1, 100000)
		s, exact := New(size), map[identifier.Key]int{}
		for range total {
			k := identifier.Key(fmt.Sprint(z.Uint64()))
			s.Add(k)
			exact[k]++
		}
		for _, c := range s.Top(size) {
			if c.Count < exact[c.Key] || c.Count > exact[c.Key]+total/size {
				t.Errorf("seed %d: the count of key %s is %d, the exact count %d", seed, c.Key, c.Count, exact[c.Key])
			}
		}
		if top := s.Top(1)[0].Key; top != "0" {
			t.Errorf("seed %d: the most frequent key is %s, want 0", seed, top)
		}
	}
}

// BenchmarkAdd measures the time to count one key, which the request path spends for each request.
func BenchmarkAdd(b *testing.B) {
	z := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, 100000)
	keys := make([]identifier.Key, 4096)
	for n := range keys {
		keys[n] = identifier.Key(fmt.Sprint(z.Uint64()))
	}
	s := New(64)
	n := 0
	for b.Loop() {
		s.Add(keys[n&4095])
		n++
	}
}
