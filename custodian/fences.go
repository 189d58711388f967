package custodian

import (
	"slices"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
)

// fenceKey identifies one fence of a process on a cell's roster.
type fenceKey struct {
	cell   identifier.Cell
	holder leaser.Holder
}

// recordFence records that a holder was fenced at the given time or before.
func (c *Custodian) recordFence(key fenceKey, at time.Time) {
	if known, ok := c.fencedAt[key]; !ok || at.Before(known) {
		c.fencedAt[key] = at
	}
}

// Fences returns, for each known fence in a fixed order, a lower bound of its age.
func (c *Custodian) Fences(now time.Time) []gossiper.Fence {
	fences := make([]gossiper.Fence, 0, len(c.fencedAt))
	for key, at := range c.fencedAt {
		fences = append(fences, gossiper.Fence{Cell: key.cell, Holder: key.holder, AgeMs: now.Sub(at).Milliseconds()})
	}
	sort.Slice(fences, func(a, b int) bool {
		x, y := fences[a], fences[b]
		return x.Cell.Compare(y.Cell) < 0 || x.Cell == y.Cell && (x.Holder.Instance < y.Holder.Instance ||
			x.Holder.Instance == y.Holder.Instance && x.Holder.Incarnation < y.Holder.Incarnation)
	})
	return fences
}

// applyFences records the ages of fences that another instance reports. A process that starts while
// the confirmation time-out of a fenced holder runs then need not wait for all of it.
func (c *Custodian) applyFences(now time.Time, fences []gossiper.Fence) {
	for _, f := range fences {
		if slices.Contains(c.rosters[f.Cell].Holders, f.Holder) && f.Holder.Fenced() && f.AgeMs > 0 {
			c.recordFence(fenceKey{f.Cell, f.Holder}, now.Add(-time.Duration(f.AgeMs)*time.Millisecond))
		}
	}
}
