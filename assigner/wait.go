package assigner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Wait says what a marked partition waits for.
type Wait struct {
	Partition identifier.Partition
	SinceMs   int64 // Since it was marked, in ms.
	For       string
}

// Waits returns what each marked partition waits for, as the assigner sees it.
func (a *Assigner) Waits(now time.Time) []Wait {
	if !a.Leads() || a.assignment == nil {
		return nil
	}
	var waits []Wait
	for p, m := range a.marks {
		waits = append(waits, Wait{p, now.Sub(m.seenAt).Milliseconds(), a.reason(now, m)})
	}
	slices.SortFunc(waits, func(x, y Wait) int { return cmp.Compare(x.Partition, y.Partition) })
	return waits
}

func (a *Assigner) reason(now time.Time, m mark) string {
	owner, _, _ := a.assignment.Owner(m.grant.Partition)
	zone := a.assignment.ZoneOf(owner)
	roster := a.rosters[zone].roster
	if roster.Floors[a.cfg.Service] < m.version {
		return fmt.Sprintf("the platform to take the floor of the roster of %s", zone)
	}
	var missing []string
	for _, member := range roster.Members {
		p := a.promises[member.Holder()]
		if p.version < m.version && !a.excused(now, zone, member) {
			missing = append(missing, string(member.Instance))
		}
	}
	if len(missing) > 0 {
		return "the promise of " + strings.Join(missing, ", ")
	}
	if !a.over(now, m) {
		return "the grants to " + string(owner) + " to end"
	}
	return "the platform to take the commit"
}
