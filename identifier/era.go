package identifier

import "strconv"

// Era counts how often the platform's store came back from a copy. It is 0 for a store that states no era; such a store is
// never restored.
type Era uint32

const (
	// MaxEra is the highest era. With it, versions fit into 64 bits, and epochs into 53: a backend server may read them as
	// floating-point numbers.
	MaxEra       Era = 1<<20 - 1
	revisionBits     = 44
	epochBits        = 32
	// MaxRevision is the highest revision of the store in an era above 0.
	MaxRevision = 1<<revisionBits - 1
)

// ParseEra returns the era that text states; ok is false unless that is a decimal number from 1 to MaxEra.
func ParseEra(text string) (e Era, ok bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	if err != nil || n == 0 || n > uint64(MaxEra) {
		return 0, false
	}
	return Era(n), true
}

// FirstVersion returns a version that is below all versions of the era and above all versions of the eras before.
func (e Era) FirstVersion() Version { return Version(e) << revisionBits }

// FirstEpoch returns the lowest epoch of the era. All epochs of the eras before are lower.
func (e Era) FirstEpoch() Epoch { return Epoch(e) << epochBits }

// Version returns the version that stands for a revision of the store in the era. In era 0 it is the bare revision.
func (e Era) Version(revision Version) Version { return e.FirstVersion() + revision }

// Era returns the era of a version.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the store's revision that a version of an era above 0 stands for.
func (v Version) Revision() Version { return v & MaxRevision }

// Era returns the era of an epoch.
func (e Epoch) Era() Era { return Era(e >> epochBits) }
