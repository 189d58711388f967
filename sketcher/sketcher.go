// Package sketcher finds the most frequent keys of a stream in bounded memory, with the Space-Saving algorithm
// (Metwally, Agrawal, El Abbadi, 2005).
package sketcher

import (
	"cmp"
	"slices"

	"github.com/turmericlift/turmericlift/identifier"
)

// Sketch counts the occurrences of at most a fixed number of keys. The count of a key in the sketch is never too
// low. It is too high by at most the number of all occurrences divided by the size of the sketch. A Sketch is not
// safe for concurrent use.
type Sketch struct {
	capacity int
	counts   map[identifier.Key]int
}

// New returns an empty sketch that counts at most size keys; size must be positive.
func New(size int) *Sketch {
	return &Sketch{size, make(map[identifier.Key]int, size)}
}

// Add counts one occurrence of a key. If the sketch is full and does not contain the key, the key replaces the one
// with the lowest count and continues from that count.
func (s *Sketch) Add(k identifier.Key) {
	if _, ok := s.counts[k]; ok || len(s.counts) < s.capacity {
		s.counts[k]++
		return
	}
	least, count := s.leastFrequent()
	delete(s.counts, least)
	s.counts[k] = count + 1
}

// leastFrequent returns the key with the lowest count, of equal counts the first by name, and its count.
func (s *Sketch) leastFrequent() (key identifier.Key, count int) {
	first := true
	for k, n := range s.counts {
		if first || n < count || n == count && k < key {
			key, count, first = k, n, false
		}
	}
	return key, count
}

// KeyCount is a key with its number of occurrences.
type KeyCount struct {
	Key   identifier.Key
	Count int
}

// Top returns the n most frequent keys in the sketch, or all if there are fewer, in descending order of their counts
// and for equal counts by name.
func (s *Sketch) Top(n int) []KeyCount {
	all := make([]KeyCount, 0, len(s.counts))
	for k, count := range s.counts {
		all = append(all, KeyCount{k, count})
	}
	slices.SortFunc(all, func(x, y KeyCount) int {
		return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Key, y.Key))
	})
	return all[:min(n, len(all))]
}

// Reset removes all keys.
func (s *Sketch) Reset() { clear(s.counts) }
