package configurer

import (
	"encoding/json"
	"fmt"

	"github.com/turmericlift/turmericlift/identifier"
)

// ZoneState is the state that operators have set for an availability zone.
type ZoneState string

// The states of a zone. A zone for which no state is set is in state ZoneIn.
const (
	ZoneIn   ZoneState = "In"   // The zone gets work.
	ZoneOut  ZoneState = "Out"  // The zone gets no new work; its instances keep running.
	ZoneLost ZoneState = "Lost" // Nothing in the zone runs any more; other zones may take over its partitions.
)

// Zones holds the states of all zones that are not in state ZoneIn. It is stored as one object on the
// platform, which all organisations of the installation share.
type Zones struct {
	States map[identifier.Zone]ZoneState
}

// DecodeZones returns the zones whose stored form is data. It returns an error if data is not valid JSON
// or has a zone name or state that is not valid.
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

// Encode returns the zones in their stored form, JSON.
func (z Zones) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(z, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode zones: %w", err)
	}
	return data, nil
}

// WithState returns a copy of the zones in which one zone has state s. z is not changed.
func (z Zones) WithState(name identifier.Zone, s ZoneState) Zones {
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
