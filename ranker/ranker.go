// Package ranker ranks candidates for a task by rendezvous hashing (Thaler and Ravishankar, 1998). All processes that
// know the same candidates select the same one, and the loss of a candidate moves only the tasks of that candidate.
package ranker

import (
	"github.com/cespare/xxhash/v2"
)

// separator stands between task and candidate in the hash input, so that ("ab", "c") and ("a", "bc") hash
// differently.
var separator = []byte{0}

// Weight returns the weight of a candidate for a task. The candidate with the highest weight ranks first.
func Weight(task, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(task)
	_, _ = d.Write(separator)
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Top returns the candidate that ranks first for a task. Of candidates with equal weights, the one with the lexically
// lower name ranks first. ok is false if there are no candidates.
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
