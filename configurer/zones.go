package configurer

import (
	"encoding/json"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
)

// ZoneState is what operators have said of an availability zone.
type ZoneState string

// The states of a zone. A zone that is not named is in.
const (
	ZoneIn   ZoneState = "In"
	ZoneOut  ZoneState = "Out"  // Gets no new work; its instances go on.
	ZoneLost ZoneState = "Lost" // Nothing in the zone runs any more; its partitions may be taken.
)

// Zones holds the states of all zones that are not in: one object on the platform,
// shared by all organisations of the installation.
type Zones struct {
	States map[identifier.Zone]ZoneState
}

// DecodeZones reads the stored form of the zones and checks it.
func DecodeZones(data []byte) (Zones, error) {
	var z Zones
	if err := json.Unmarshal(data, &z); err != nil {
		return Zones{}, fmt.Errorf("decode zones: %w", err)
	}
	for name, s := range z.States {
		if err := identifier.CheckName("Zone", string(name)); err != nil {
			return Zones{}, fmt.Errorf("decode zones: %w", err)
		}
		if s != ZoneIn && s != ZoneOut && s != ZoneLost {
			return Zones{}, fmt.Errorf("decode zones: zone %s has State %q, want In, Out or Lost", name, s)
		}
	}
	return z, nil
}

// Encode returns the stored form of the zones, in JSON.
func (z Zones) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(z, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode zones: %w", err)
	}
	return data, nil
}

// Set returns the zones with the state of one changed.
func (z Zones) Set(name identifier.Zone, s ZoneState) Zones {
	states := make(map[identifier.Zone]ZoneState, len(z.States)+1)
	for n, present := range z.States {
		states[n] = present
	}
	states[name] = s
	if s == ZoneIn {
		delete(states, name)
	}
	return Zones{states}
}
