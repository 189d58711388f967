package allocator_test

import (
	"reflect"
	"testing"

	"github.com/turmericlift/turmericlift/allocator"
	"github.com/turmericlift/turmericlift/identifier"
)

// TestReissue guards against epochs that are used twice or do not rise when the store came back from a copy, against keys
// that change their owner, and against an instance that gets another allocation from the delta than from the store.
func TestReissue(t *testing.T) {
	t.Parallel()
	cell := identifier.Cell{Zone: "a"}
	a := &allocator.Allocation{Service: "invoices", NextEpoch: 90, Version: 12, Segments: []allocator.Segment{
		{Range: identifier.Range{To: 99}, Owner: "x", Incarnation: 1, Cell: cell, Epoch: 80},
		{Range: identifier.Range{From: 100, To: 199}, Owner: "y", Incarnation: 1, Cell: cell, Epoch: 81, Moving: true, Round: 3, Fence: 89, Fencer: allocator.Fencer{Instance: "i"}},
		{Range: identifier.Range{From: 200, To: identifier.MaxShardKey}},
	}}
	before := *a
	for _, era := range []identifier.Era{1, 2} {
		next := a.Reissue(era)
		if a.Segments[0].Epoch != 80 || next.Segments[0].Epoch < era.FirstEpoch() || next.Segments[1].Epoch <= next.Segments[0].Epoch || next.NextEpoch <= next.Segments[1].Epoch {
			t.Errorf("era %d: epochs %d and %d, next %d, do not rise", era, next.Segments[0].Epoch, next.Segments[1].Epoch, next.NextEpoch)
		}
		if s := next.Segments[1]; next.Segments[0].Owner != "x" || s.Owner != "y" || !s.Moving || s.Round != 1 || s.Fence != 0 {
			t.Errorf("era %d: owners changed, or the move does not start again: %+v", era, next.Segments)
		}
		d := allocator.Diff(a, next, era.Version(5))
		if len(d.Changed) != 0 {
			t.Errorf("era %d: delta has %d segments, want none", era, len(d.Changed))
		}
		applied, err := allocator.Apply(a, d)
		next.Version = era.Version(5)
		if err != nil || !reflect.DeepEqual(applied, next) {
			t.Errorf("era %d: delta gives %+v, error %v; want %+v", era, applied, err, next)
		}
		d.NextEpoch++
		if _, err := allocator.Apply(a, d); err == nil {
			t.Errorf("era %d: delta that stands for another allocation applies", era)
		}
		again := next.Reissue(era)
		if again.Segments[0].Epoch < next.NextEpoch {
			t.Errorf("era %d: epoch %d is used twice", era, again.Segments[0].Epoch)
		}
	}
	if !reflect.DeepEqual(*a, before) {
		t.Error("the allocation that was reissued is modified")
	}
}
