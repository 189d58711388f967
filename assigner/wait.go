package assigner

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Wait describes what the prepared move of a partition waits for.
type Wait struct {
	Partition identifier.Partition
	// SinceMs is the time since this instance first saw the prepared move, in milliseconds.
	SinceMs int64
	// WaitsFor names what the move waits for, as a noun phrase for operators.
	WaitsFor string `json:"For"`
}

// Waits returns what each prepared move waits for, sorted by partition. It returns nil if this
// instance is not the service's assigner.
func (a *Assigner) Waits(now time.Time) []Wait {
	if !a.Leads() || a.assignment == nil {
		return nil
	}
	var waits []Wait
	for p, m := range a.prepared {
		waits = append(waits, Wait{p, now.Sub(m.seenAt).Milliseconds(), a.waitReason(now, m)})
	}
	slices.SortFunc(waits, func(x, y Wait) int { return cmp.Compare(x.Partition, y.Partition) })
	return waits
}

// waitReason returns what a prepared move waits for: the first condition of a commit that does not
// hold yet.
func (a *Assigner) waitReason(now time.Time, m preparedMove) string {
	owner, _, _ := a.assignment.Owner(m.grant.Partition)
	zone := a.assignment.ZoneOf(owner)
	roster := a.rosters[zone].roster
	if roster.Floors[a.cfg.Service] < m.version {
		return fmt.Sprintf("the platform to store the raised floor of the roster of %s", zone)
	}
	var missing []string
	for _, member := range roster.Members {
		last := a.confirmations[member.Holder()]
		if last.version < m.version && !a.fencedOut(now, zone, member) {
			missing = append(missing, string(member.Instance))
		}
	}
	if len(missing) > 0 {
		return "the confirmation of " + strings.Join(missing, ", ")
	}
	if !a.grantsEnded(now, m) {
		return "the grants to " + string(owner) + " to end"
	}
	return "the platform to store the commit"
}
