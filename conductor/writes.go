package conductor

import (
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
)

// addRecentWrites adds recent writes to a state. A short one goes into several states, since datagrams get lost. A longer
// one goes into one state, which is sent on a stream: repeated to each instance, it would fill slow links.
func (c *Conductor) addRecentWrites(now time.Time, s *gossiper.State) {
	kept := c.recentWrites[:0]
	for _, p := range c.recentWrites {
		if now.Sub(p.at) >= announceTime {
			continue
		}
		p.states++
		if p.states < shortWriteStates && p.isShort() {
			kept = append(kept, p)
		}
		if p.delta != nil {
			s.AllocationDeltas = append(s.AllocationDeltas, *p.delta)
		} else {
			s.WrittenObjects = append(s.WrittenObjects, p.object)
		}
	}
	c.recentWrites = kept
}

// isShort reports whether a write fits a datagram together with the rest of a state.
func (w *recentWrite) isShort() bool {
	if w.delta != nil {
		return len(w.delta.Changed) <= shortDeltaSegments
	}
	return len(w.object.Data) <= shortObjectBytes
}

const (
	// announceTime is how long a write is announced at most: two states.
	announceTime = 2 * gossiper.SendInterval
	// shortWriteStates is the number of states that a short write goes into.
	shortWriteStates = 3
	// shortDeltaSegments is the largest number of changed segments of a short delta; each takes about 100 bytes.
	shortDeltaSegments = 6
	// shortObjectBytes is the largest size of a short object, in bytes.
	shortObjectBytes = 600
)

// forwardWrites queues the objects and deltas of another instance's state that were new to this one for the instances to
// which this one relays: the objects that were written, by name, and the allocations that changed.
func (c *Conductor) forwardWrites(now time.Time, s gossiper.State, written []string, changed []identifier.Service) {
	if len(written)+len(changed) == 0 {
		return
	}
	c.mu.Lock()
	for _, o := range s.WrittenObjects {
		if slices.Contains(written, o.Name) {
			c.recentWrites = append(c.recentWrites, recentWrite{at: now, object: o})
		}
	}
	for _, d := range s.AllocationDeltas {
		if slices.Contains(changed, d.Service) {
			c.recentWrites = append(c.recentWrites, recentWrite{at: now, delta: &d})
		}
	}
	c.mu.Unlock()
	trigger(c.sendTrigger)
}
