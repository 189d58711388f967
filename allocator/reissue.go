package allocator

import "github.com/turmericlift/turmericlift/identifier"

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
