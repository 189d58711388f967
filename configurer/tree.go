// Package configurer holds the settings of an organisation as a tree of levels: organisation,
// service and availability zone. Each level inherits the settings of the level above and overrides
// only those for which it has a value of its own. A tree is checked as a whole before it is written
// and after it is read.
//
// Start in tree.go, which has the tree, its stored form and its checks. values.go has the table of
// all settings with their defaults and rules, path.go the changes to a tree, diff.go the comparison
// of two trees, table.go the table for the documentation, and zones.go the states of the zones.
package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Tree holds all settings of one organisation. It is stored as one object on the platform, so that a
// change takes effect as a whole or not at all. It is not safe for concurrent use.
type Tree struct {
	Organisation identifier.Organisation
	Values       Values
	Services     map[identifier.Service]*Service `json:",omitempty"`
	// History holds the last changes, the newest first, at most maxHistory of them.
	History []Change `json:",omitempty"`
}

// Change is an item of a tree's history: which operator has changed what, and when.
type Change struct {
	At       time.Time
	Operator string
	What     string
}

// maxHistory is the largest number of changes in a tree's history.
const maxHistory = 20

// RecordChange inserts a change at the head of the history and drops the oldest change if there are too many.
func (t *Tree) RecordChange(c Change) {
	t.History = slices.Insert(t.History, 0, c)
	t.History = t.History[:min(len(t.History), maxHistory)]
}

// Service holds the settings of one service, of its zones and of its backend servers.
type Service struct {
	Values  Values
	Zones   map[identifier.Zone]*Zone            `json:",omitempty"`
	Servers map[identifier.BackendServer]*Server `json:",omitempty"`
	// Pins are the keys that operators have pinned: each has a partition of its own.
	Pins []identifier.Key `json:",omitempty"`
	// Placements gives, for some of Pins, the backend server at which operators want the key.
	Placements map[identifier.Key]identifier.BackendServer `json:",omitempty"`
}

// Zone holds the settings of one service in one availability zone.
type Zone struct {
	Values Values
}

// Server holds the operators' settings of one backend server.
type Server struct {
	// Drained is true if the backend server must get no new work and its partitions must move away.
	Drained bool `json:",omitempty"`
}

// NewTree returns the tree of an organisation without services, in which every setting has its default.
func NewTree(o identifier.Organisation) *Tree {
	return &Tree{Organisation: o, Services: map[identifier.Service]*Service{}}
}

// Decode returns the tree whose stored form is data. It returns an error if data is not valid JSON, has
// an unknown field or does not pass Check.
func Decode(data []byte) (*Tree, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	t := &Tree{}
	if err := decoder.Decode(t); err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	if t.Services == nil {
		t.Services = map[identifier.Service]*Service{}
	}
	if err := t.Check(); err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	return t, nil
}

// Encode returns the tree in its stored form, JSON with names in Pascal case.
func (t *Tree) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return data, nil
}

// Check checks the names and values of all levels, and the rules between settings. It returns the first
// error that it finds: a FieldError or an identifier.InvalidError, which may be wrapped. Levels are
// checked in no fixed order.
func (t *Tree) Check() error {
	if err := identifier.CheckName("Organisation", string(t.Organisation)); err != nil {
		return fmt.Errorf("settings of the organisation: %w", err)
	}
	if err := t.Values.check(string(t.Organisation)); err != nil {
		return err
	}
	for name, s := range t.Services {
		if err := t.checkService(name, s); err != nil {
			return err
		}
	}
	return nil
}

// checkService checks the names and values of all levels of one service, and the rules between its
// settings.
func (t *Tree) checkService(name identifier.Service, s *Service) error {
	path := string(t.Organisation) + "/" + string(name)
	if err := identifier.CheckName("Service", string(name)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if s == nil {
		return &FieldError{Path: path, Field: "Service", Value: "null", Reason: "the value of a service must be an object"}
	}
	if err := s.Values.check(path); err != nil {
		return err
	}
	for z, settings := range s.Zones {
		if err := identifier.CheckName("Zone", string(z)); err != nil || settings == nil {
			return &FieldError{Path: path, Field: "Zone", Value: string(z), Reason: "want a valid name with an object as its value"}
		}
		if err := settings.Values.check(path + "/" + string(z)); err != nil {
			return err
		}
	}
	for b, settings := range s.Servers {
		if err := identifier.CheckName("BackendServer", string(b)); err != nil || settings == nil {
			return &FieldError{Path: path, Field: "BackendServer", Value: string(b), Reason: "want a valid name with an object as its value"}
		}
	}
	if err := checkPins(path, s.Pins); err != nil {
		return err
	}
	return t.checkEffective(path, name, s)
}

// checkEffective checks the rules between the settings in force of a service, for the service itself
// and for each of its zones.
func (t *Tree) checkEffective(path string, name identifier.Service, s *Service) error {
	zones := []identifier.Zone{""}
	for z := range s.Zones {
		zones = append(zones, z)
	}
	for _, z := range zones {
		e := t.effective(name, z)
		if *e.ColdSlots > *e.Slots {
			return &FieldError{path, "ColdSlots", fmt.Sprint(*e.ColdSlots), fmt.Sprintf("must be at most Slots, which is %d", *e.Slots)}
		}
		if *e.TimeoutMs > *e.MaxTimeoutMs {
			return &FieldError{path, "TimeoutMs", fmt.Sprint(*e.TimeoutMs), fmt.Sprintf("must be at most MaxTimeoutMs, which is %d", *e.MaxTimeoutMs)}
		}
		if h := *e.IsolationHoldMs; h > 0 && h < minIsolationHoldMs {
			return &FieldError{path, "IsolationHoldMs", fmt.Sprint(h), fmt.Sprintf("must be 0 or at least %d", minIsolationHoldMs)}
		}
	}
	return nil
}

// minIsolationHoldMs is the smallest value of IsolationHoldMs other than 0, in ms. A healthy instance
// receives an answer from the platform at least once in this time.
const minIsolationHoldMs = 20000

// effective returns the values in force for a service in a zone, every one set. The zone may be empty;
// for a service that does not exist they are those of the organisation.
func (t *Tree) effective(name identifier.Service, z identifier.Zone) Values {
	v := defaults()
	v.overlay(&t.Values)
	s, ok := t.Services[name]
	if !ok {
		return v
	}
	v.overlay(&s.Values)
	if settings, ok := s.Zones[z]; ok {
		v.overlay(&settings.Values)
	}
	return v
}

// EffectiveSettings holds the settings in force for a service in a zone. Fields describes each setting.
type EffectiveSettings struct {
	Keyed                 bool
	Partitions            int
	ChecksGrants          bool
	IsolationHold         time.Duration
	BalanceMovesPerMinute int
	AutoPins              int
	Slots                 int
	ColdSlots             int
	QueueLength           int
	Connections           int
	Timeout               time.Duration
	MaxTimeout            time.Duration
	MaxBodyBytes          int
	RetryPercent          int
	HedgePercent          int
	OutcomeRecord         string
	OutcomeRetention      time.Duration
	JournalGroups         int
}

// Effective returns the settings in force for a service in a zone. With an empty zone they are those of
// the service, and for a service that does not exist those of the organisation.
func (t *Tree) Effective(name identifier.Service, z identifier.Zone) EffectiveSettings {
	v := t.effective(name, z)
	return EffectiveSettings{
		Keyed: *v.Keyed, Partitions: *v.Partitions, ChecksGrants: *v.ChecksGrants,
		IsolationHold:         milliseconds(*v.IsolationHoldMs),
		BalanceMovesPerMinute: *v.BalanceMovesPerMinute, AutoPins: *v.AutoPins,
		Slots: *v.Slots, ColdSlots: *v.ColdSlots, QueueLength: *v.QueueLength,
		Connections: *v.Connections, Timeout: milliseconds(*v.TimeoutMs), MaxTimeout: milliseconds(*v.MaxTimeoutMs),
		MaxBodyBytes: *v.MaxBodyBytes, RetryPercent: *v.RetryPercent, HedgePercent: *v.HedgePercent,
		OutcomeRecord: *v.OutcomeRecord, OutcomeRetention: time.Duration(*v.OutcomeRetentionS) * time.Second,
		JournalGroups: *v.JournalGroups,
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Explanation is one setting in force with the level that sets it.
type Explanation struct {
	Field  string
	Value  string
	Source string // The path of the level that sets the value, or "default".
}

// Explain returns every setting in force for a service in a zone with its source, in the order of Fields.
func (t *Tree) Explain(name identifier.Service, z identifier.Zone) []Explanation {
	v := t.effective(name, z)
	rows := make([]Explanation, 0, len(Fields))
	for _, f := range Fields {
		value, _ := f.get(&v)
		rows = append(rows, Explanation{f.Name, value, t.source(f, name, z)})
	}
	return rows
}

// source returns the path of the lowest level that sets a setting, or "default" if no level does.
func (t *Tree) source(f Field, name identifier.Service, z identifier.Zone) string {
	path := string(t.Organisation)
	source := "default"
	if t.Values.sets(f) {
		source = path
	}
	s, ok := t.Services[name]
	if !ok {
		return source
	}
	path += "/" + string(name)
	if s.Values.sets(f) {
		source = path
	}
	if settings, ok := s.Zones[z]; ok && settings.Values.sets(f) {
		source = path + "/" + string(z)
	}
	return source
}
