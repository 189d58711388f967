package commander

import (
	"fmt"
	"time"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
)

// serviceSpec describes a service of the development mode.
type serviceSpec struct {
	name        identifier.Service
	servers     int
	slots       int
	connections int
	keyed       bool
	partitions  int
	serviceTime time.Duration
}

// organisationSpec describes an organisation of the development mode.
type organisationSpec struct {
	name      identifier.Organisation
	zones     []identifier.Zone
	instances int
	services  []serviceSpec
}

// devOrganisations are the organisations that the development mode runs. Zones, numbers of instances and services are
// those of the users' own organisations.
var devOrganisations = []organisationSpec{
	{
		name: "hyttevagten", zones: []identifier.Zone{"jyl-nord", "jyl-midt", "jyl-syd"}, instances: 6,
		services: []serviceSpec{
			{"hyttebog", 20, 6, 100, true, 256, 2 * time.Millisecond},
			{"reparation", 6, 6, 100, false, 0, 2 * time.Millisecond},
		},
	},
	{
		name: "quokka", zones: []identifier.Zone{"crawley-a", "bentley-b", "osborne-c", "joondalup-d"}, instances: 5,
		services: []serviceSpec{
			{"sitefront", 30, 2, 50, true, 256, 2 * time.Millisecond},
			{"ledger", 8, 2, 50, false, 0, 2 * time.Millisecond},
		},
	},
}

// settingsTree returns the settings of the organisation and its services.
func (o organisationSpec) settingsTree() (*configurer.Tree, error) {
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
				return nil, fmt.Errorf("settings of organisation %s: %w", o.name, err)
			}
		}
	}
	return t, nil
}
