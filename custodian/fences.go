package custodian

import (
	"slices"
	"sort"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
)

// fenceKey names one fence of a process on a cell's roster.
type fenceKey struct {
	cell   identifier.Cell
	holder leaser.Holder
}

// fenced takes in that a holder was fenced at a time or before.
func (c *Custodian) fenced(key fenceKey, at time.Time) {
	if known, ok := c.fencedAt[key]; !ok || at.Before(known) {
		c.fencedAt[key] = at
	}
}

// Fences returns how long ago, at least, holders were fenced.
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

// takeFences takes in how long ago another instance knows holders to have been fenced: a
// process that starts while a holder's authority runs out need not wait for all of it.
func (c *Custodian) takeFences(now time.Time, fences []gossiper.Fence) {
	for _, f := range fences {
		if slices.Contains(c.rosters[f.Cell].Holders, f.Holder) && f.Holder.Fenced() && f.AgeMs > 0 {
			c.fenced(fenceKey{f.Cell, f.Holder}, now.Add(-time.Duration(f.AgeMs)*time.Millisecond))
		}
	}
}
