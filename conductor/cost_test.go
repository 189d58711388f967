package conductor

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/registrar"
)

// TestCostAware guards against decisions by cost in a deployment that does not ask for them, and against a deployment with
// fewer slots of a service than instances that goes on guessing.
func TestCostAware(t *testing.T) {
	cases := map[string]struct {
		settings  bool
		instances int
		slots     map[identifier.Service]int
		want      bool
	}{
		"EnoughSlots":   {false, 24, map[identifier.Service]int{"a": 24, "b": 400}, false},
		"ScarceSlots":   {false, 25, map[identifier.Service]int{"a": 24, "b": 400}, true},
		"BySettings":    {true, 2, map[identifier.Service]int{"a": 24}, true},
		"NoServerKnown": {false, 24, nil, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := newIdle(&now)
			c.settings.CostAware = tc.settings
			c.view.table = director.New(1, nil, nil, director.Limits{})
			records := []apportioner.Record{{Instance: "one"}}
			for len(records) < tc.instances {
				records = append(records, apportioner.Record{Instance: identifier.Instance(string(rune('a' + len(records))))})
			}
			c.apportioner.RecordList(now, now, records)
			for service, slots := range tc.slots {
				id := identifier.BackendServer("server-of-" + service)
				c.view.entries[id] = registrar.Entry{ID: id, Service: service, Slots: slots}
			}
			c.refresh(now)
			if c.costAware != tc.want {
				t.Errorf("decisions by cost %t, want %t", c.costAware, tc.want)
			}
			c.view.entries = map[identifier.BackendServer]registrar.Entry{}
			c.refresh(now)
			if c.costAware != tc.want {
				t.Error("decisions by cost changed when servers left")
			}
		})
	}
}
