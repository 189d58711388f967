package commander

import (
	"fmt"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
)

// serviceSize is a service at today's size of one of the users.
type serviceSize struct {
	name        identifier.Service
	servers     int
	slots       int
	connections int
	keyed       bool
	partitions  int
	work        time.Duration
}

// organisationSize is one of the users at today's size.
type organisationSize struct {
	name      identifier.Organisation
	zones     []identifier.Zone
	instances int
	services  []serviceSize
}

// sizes are the users of today.
var sizes = []organisationSize{
	{
		name: "hyttevagten", zones: []identifier.Zone{"jyl-nord", "jyl-midt", "jyl-syd"}, instances: 6,
		services: []serviceSize{
			{"hyttebog", 20, 6, 100, true, 256, 2 * time.Millisecond},
			{"reparation", 6, 6, 100, false, 0, 2 * time.Millisecond},
		},
	},
	{
		name: "quokka", zones: []identifier.Zone{"crawley-a", "bentley-b", "osborne-c", "joondalup-d"}, instances: 5,
		services: []serviceSize{
			{"sitefront", 30, 2, 50, true, 256, 2 * time.Millisecond},
			{"ledger", 8, 2, 50, false, 0, 2 * time.Millisecond},
		},
	},
}

// tree returns the settings of an organisation at today's size.
func (o organisationSize) tree() (*configurer.Tree, error) {
	t := configurer.NewTree(o.name)
	for _, s := range o.services {
		p := configurer.Path{Organisation: o.name, Service: s.name}
		values := map[string]string{
			"Keyed": fmt.Sprint(s.keyed), "Slots": fmt.Sprint(s.slots), "Connections": fmt.Sprint(s.connections),
		}
		if s.keyed {
			values["Partitions"] = fmt.Sprint(s.partitions)
		}
		for field, value := range values {
			if err := t.Set(p, field, value); err != nil {
				return nil, fmt.Errorf("settings of %s: %w", o.name, err)
			}
		}
	}
	return t, nil
}
