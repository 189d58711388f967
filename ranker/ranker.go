// Package ranker ranks candidates for a task by rendezvous hashing, so that all who
// see the same candidates agree on the first one, and the loss of a candidate moves
// only that candidate's tasks (Thaler and Ravishankar, 1998).
package ranker

import (
	"github.com/cespare/xxhash/v2"
)

// separator keeps ("ab", "c") and ("a", "bc") apart.
var separator = []byte{0}

// Weight returns the rank of a candidate for a task; the highest one wins.
func Weight(task, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(task)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Top returns the candidate that ranks first for a task; ok is false without
// candidates. Equal weights go to the lesser name.
func Top[T ~string](task string, candidates []T) (top T, ok bool) {
	var best uint64
	for _, c := range candidates {
		w := Weight(task, string(c))
		if !ok || w > best || w == best && c < top {
			top, best, ok = c, w, true
		}
	}
	return top, ok
}
