package conductor

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
)

// TestRelaysWatchShortly guards against a new configuration that the instances of a zone learn late after the store has
// dropped its history: watches that wait deliver nothing then, and others learn only what their relays have. Each zone needs
// relays whose watches are short. Pattern: 29 instances in 3 zones, each of which is asked in turn.
func TestRelaysWatchShortly(t *testing.T) {
	const instances, zones = 29, 3
	name := func(n int) identifier.Instance { return identifier.Instance(fmt.Sprintf("edge-%d", n)) }
	zone := func(n int) identifier.Zone { return identifier.Zone(fmt.Sprintf("zone-%d", n%zones)) }
	now := time.Unix(1000, 0)
	short := map[identifier.Zone]int{}
	for self := range instances {
		c := newIdle(&now)
		c.settings.Instance, c.settings.Zone = name(self), zone(self)
		c.ownership.Gossip = gossiper.New(gossiper.State{Instance: name(self), Incarnation: 1, Zone: zone(self), Address: string(name(self)), Capacity: 1})
		for n := range instances {
			c.ownership.HandleState(now, gossiper.State{Instance: name(n), Incarnation: 1, Zone: zone(n), Address: string(name(n)), SequenceNumber: 1, StoreUp: true, Capacity: 1})
		}
		c.ownership.Gossip.Deliveries(now)
		wait := c.watchTiming(c.kinds.Config).WatchWait
		if c.ownership.Gossip.Forwards() && wait > time.Second {
			t.Errorf("%s relays, and its watch of the configuration waits %s, want at most 1 s", name(self), wait)
		}
		if wait <= time.Second {
			short[zone(self)]++
		}
	}
	for n := range zones {
		if short[zone(n)] < 2 {
			t.Errorf("%d instances of %s have a short watch, want 2 or more", short[zone(n)], zone(n))
		}
	}
}
