package allocator

import (
	"fmt"
	"sort"

	"github.com/turmericlift/turmericlift/identifier"
)

// Delta is the difference between two versions of an allocation.
type Delta struct {
	_         struct{} `cbor:",toarray"`
	Service   identifier.Service
	Base      identifier.Version
	Version   identifier.Version
	NextEpoch identifier.Epoch
	Changed   []Segment // They cover whole segments of the base.
}

// Diff returns the difference from a to next, which became version v.
func Diff(a, next *Allocation, v identifier.Version) Delta {
	d := Delta{Service: next.Service, Version: v, NextEpoch: next.NextEpoch}
	old := map[Segment]bool{}
	if a != nil {
		d.Base = a.Version
		for _, s := range a.Segments {
			old[s] = true
		}
	}
	for _, s := range next.Segments {
		if !old[s] {
			d.Changed = append(d.Changed, s)
		}
	}
	return d
}

// Apply returns the allocation that a delta leads to from a, which may be nil.
func Apply(a *Allocation, d Delta) (*Allocation, error) {
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
		return nil, fmt.Errorf("delta of %s is from version %d, not from %d", d.Service, d.Base, base)
	}
	next.Segments = append(next.Segments, d.Changed...)
	sort.Slice(next.Segments, func(x, y int) bool { return next.Segments[x].Range.From < next.Segments[y].Range.From })
	return next, next.check()
}

func overlapsAny(segments []Segment, r identifier.Range) bool {
	n := sort.Search(len(segments), func(n int) bool { return segments[n].Range.To >= r.From })
	return n < len(segments) && segments[n].Range.Overlaps(r)
}
