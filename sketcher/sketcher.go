// Package sketcher finds the heaviest keys of a stream in bounded memory, by the
// Space-Saving algorithm (Metwally, Agrawal, El Abbadi, 2005).
package sketcher

import (
	"cmp"
	"slices"

	"github.com/turmericlift/turmericlift/identifier"
)

// Sketch counts at most a fixed number of keys. A count is never too low, and too
// high by at most the total over that number.
type Sketch struct {
	size   int
	counts map[identifier.Key]int
}

// New returns a sketch of at most size keys.
func New(size int) *Sketch {
	return &Sketch{size, make(map[identifier.Key]int, size)}
}

// Add counts a key. A key that is not in the sketch takes the place of the one with
// the least count, and its count.
func (s *Sketch) Add(k identifier.Key) {
	if _, ok := s.counts[k]; ok || len(s.counts) < s.size {
		s.counts[k]++
		return
	}
	least, count := s.least()
	delete(s.counts, least)
	s.counts[k] = count + 1
}

func (s *Sketch) least() (key identifier.Key, count int) {
	first := true
	for k, n := range s.counts {
		if first || n < count || n == count && k < key {
			key, count, first = k, n, false
		}
	}
	return key, count
}

// Counted is a key with its count.
type Counted struct {
	Key   identifier.Key
	Count int
}

// Top returns at most n keys, the heaviest first.
func (s *Sketch) Top(n int) []Counted {
	all := make([]Counted, 0, len(s.counts))
	for k, count := range s.counts {
		all = append(all, Counted{k, count})
	}
	slices.SortFunc(all, func(x, y Counted) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Key, y.Key))
	})
	return all[:min(n, len(all))]
}

// Reset forgets all counts.
func (s *Sketch) Reset() { clear(s.counts) }
