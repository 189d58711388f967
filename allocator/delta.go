package allocator

import (
	"fmt"
	"sort"

	"github.com/turmericlift/turmericlift/identifier"
)

// Delta is the difference between two versions of an allocation.
type Delta struct {
	_       struct{} `cbor:",toarray"`
	Service identifier.Service
	// Base is the version that the delta applies to; 0 if there was no allocation.
	Base identifier.Version
	// Version is the version that results.
	Version   identifier.Version
	NextEpoch identifier.Epoch
	// Changed are the new segments. Together they cover whole segments of the base. There are none if the base was only
	// reissued for a later era of the store, which NextEpoch shows.
	Changed []Segment
}

// Diff returns the difference from a, which may be nil, to next, which was stored as version v.
func Diff(a, next *Allocation, v identifier.Version) Delta {
	d := Delta{Service: next.Service, Version: v, NextEpoch: next.NextEpoch}
	if a != nil && isReissue(a, next) {
		d.Base = a.Version
		return d
	}
	oldSegments := map[Segment]bool{}
	if a != nil {
		d.Base = a.Version
		for _, s := range a.Segments {
			oldSegments[s] = true
		}
	}
	for _, s := range next.Segments {
		if !oldSegments[s] {
			d.Changed = append(d.Changed, s)
		}
	}
	return d
}

// Apply returns the allocation that results from applying a delta to a, which may be nil and is not
// modified. It returns an error if the delta has another base version or the result does not cover
// every key exactly once.
func Apply(a *Allocation, d Delta) (*Allocation, error) {
	if a != nil && a.Version == d.Base && len(d.Changed) == 0 && a.NextEpoch.Era() < d.NextEpoch.Era() {
		return applyReissue(a, d)
	}
	next := &Allocation{Service: d.Service, NextEpoch: d.NextEpoch, Version: d.Version}
	base := identifier.Version(0)
	if a != nil {
		base = a.Version
		for _, s := range a.Segments {
			if !overlapsAny(d.Changed, s.Range) {
				next.Segments = append(next.Segments, s)
			}
		}
	}
	if base != d.Base {
		return nil, fmt.Errorf("delta of %s does not apply: its base is version %d, the known version is %d", d.Service, d.Base, base)
	}
	next.Segments = append(next.Segments, d.Changed...)
	sort.Slice(next.Segments, func(x, y int) bool { return next.Segments[x].Range.From < next.Segments[y].Range.From })
	return next, next.check()
}

// overlapsAny reports whether a range overlaps one of the segments, which are in order.
func overlapsAny(segments []Segment, r identifier.Range) bool {
	n := sort.Search(len(segments), func(n int) bool { return segments[n].Range.To >= r.From })
	return n < len(segments) && segments[n].Range.Overlaps(r)
}
