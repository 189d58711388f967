package controller

import (
	"fmt"
	"strings"

	"github.com/turmericlift/turmericlift/assigner"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/storer"
)

// The names of the objects that the system stores on the platform.
const (
	settingsPrefix    = storer.Prefix + "Settings/"
	assignmentsPrefix = storer.Prefix + "Assignments/"
	rostersPrefix     = storer.Prefix + "Rosters/"
	assignersPrefix   = storer.Prefix + "Assigners/"
	// ZonesName is the name of the object that holds the states of the zones.
	ZonesName = storer.Prefix + "Zones"
)

// SettingsName returns the name of the object that holds the settings of an organisation.
func SettingsName(o identifier.Organisation) string { return settingsPrefix + string(o) }

// AssignmentName returns the name of the object that holds the assignment of a service.
func AssignmentName(s identifier.ServiceName) string { return assignmentsPrefix + s.String() }

// RosterName returns the name of the object that holds the roster of a zone.
func RosterName(z identifier.Zone) string { return rostersPrefix + string(z) }

// AssignerName returns the name of the object that holds the assigner record of a service.
func AssignerName(s identifier.ServiceName) string { return assignersPrefix + s.String() }

// document is the decoded form of an object.
type document interface{ document() }

type settingsDocument struct{ tree *configurer.Tree }

type zonesDocument struct{ zones configurer.Zones }

type assignmentDocument struct {
	service    identifier.ServiceName
	assignment *partitioner.Assignment
}

type rosterDocument struct {
	zone   identifier.Zone
	roster granter.Roster
}

type recordDocument struct {
	service identifier.ServiceName
	record  assigner.Record
}

// unknownDocument stands for an object whose name this version of the program does not know. It is kept and sent to
// peers, but not decoded.
type unknownDocument struct{}

func (settingsDocument) document()   {}
func (zonesDocument) document()      {}
func (assignmentDocument) document() {}
func (rosterDocument) document()     {}
func (recordDocument) document()     {}
func (unknownDocument) document()    {}

// decode decodes an object in the form that its name implies. An object with an unknown name is no error.
func decode(o storer.Object) (document, error) {
	switch {
	case o.Name == ZonesName:
		z, err := configurer.DecodeZones(o.Data)
		return zonesDocument{z}, err
	case strings.HasPrefix(o.Name, settingsPrefix):
		t, err := configurer.Decode(o.Data)
		if err == nil && SettingsName(t.Organisation) != o.Name {
			err = fmt.Errorf("settings of %s are stored as %s", t.Organisation, o.Name)
		}
		return settingsDocument{t}, err
	case strings.HasPrefix(o.Name, assignmentsPrefix):
		a, err := partitioner.Decode(o.Data)
		return assignmentDocument{serviceInName(o.Name, assignmentsPrefix), a}, err
	case strings.HasPrefix(o.Name, rostersPrefix):
		r, err := granter.DecodeRoster(o.Data)
		return rosterDocument{identifier.Zone(strings.TrimPrefix(o.Name, rostersPrefix)), r}, err
	case strings.HasPrefix(o.Name, assignersPrefix):
		r, err := assigner.DecodeRecord(o.Data)
		return recordDocument{serviceInName(o.Name, assignersPrefix), r}, err
	}
	return unknownDocument{}, nil
}

// serviceInName returns the service in an object's name: "ORGANISATION/SERVICE" after the prefix.
func serviceInName(name, prefix string) identifier.ServiceName {
	o, s, _ := strings.Cut(strings.TrimPrefix(name, prefix), "/")
	return identifier.ServiceName{Organisation: identifier.Organisation(o), Service: identifier.Service(s)}
}
