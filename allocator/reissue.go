package allocator

import (
	"fmt"
	"slices"

	"github.com/turmericlift/turmericlift/identifier"
)

// Reissue returns the allocation as it is written again in an era of the store. Each segment keeps its owner under a new
// epoch: whatever was granted in the eras before has a lower one. A move that was under way starts its round again.
func (a *Allocation) Reissue(era identifier.Era) *Allocation {
	next := *a
	next.Segments = append([]Segment(nil), a.Segments...)
	next.NextEpoch = max(next.NextEpoch, era.FirstEpoch())
	for n := range next.Segments {
		s := &next.Segments[n]
		if s.Owner == "" {
			continue
		}
		s.Epoch = next.NextEpoch
		next.NextEpoch++
		s.Fence, s.Fencer = 0, Fencer{}
		if s.Moving {
			s.Round = 1
		}
	}
	return &next
}

// isReissue reports whether next is a, reissued for a later era.
func isReissue(a, next *Allocation) bool {
	era := next.NextEpoch.Era()
	return a.NextEpoch.Era() < era && slices.Equal(a.Reissue(era).Segments, next.Segments)
}

// applyReissue reissues an allocation for the era of a delta. It returns an error if the delta stands for something else.
func applyReissue(a *Allocation, d Delta) (*Allocation, error) {
	next := a.Reissue(d.NextEpoch.Era())
	if next.NextEpoch != d.NextEpoch {
		return nil, fmt.Errorf("delta of %s does not apply: reissued for era %d, the next epoch is %d instead of %d", d.Service, d.NextEpoch.Era(), next.NextEpoch, d.NextEpoch)
	}
	next.Version = d.Version
	return next, nil
}
