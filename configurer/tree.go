// Package configurer holds the tree of settings: organisation, service and
// availability zone, each of which inherits from the level above and overrides only
// what it names. A tree is checked as a whole before it is written and after it is
// read.
package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// Tree is the aggregate of all settings of one organisation: one object on the
// platform, so that a change takes effect as a whole or not at all.
type Tree struct {
	Organisation identifier.Organisation
	Values       Values
	Services     map[identifier.Service]*Service `json:",omitempty"`
	// History holds the last changes, the newest first.
	History []Change `json:",omitempty"`
}

// Change says who has changed what, and when.
type Change struct {
	At       time.Time
	Operator string
	What     string
}

// maxHistory bounds the changes that a tree remembers.
const maxHistory = 20

// Note puts a change at the head of the history.
func (t *Tree) Note(c Change) {
	t.History = slices.Insert(t.History, 0, c)
	t.History = t.History[:min(len(t.History), maxHistory)]
}

// Service is the level of one service.
type Service struct {
	Values  Values
	Zones   map[identifier.Zone]*Zone            `json:",omitempty"`
	Servers map[identifier.BackendServer]*Server `json:",omitempty"`
	// Pins are the hot keys that have a partition of their own.
	Pins []identifier.Key `json:",omitempty"`
	// Placements are the pinned keys that operators want at a certain backend server.
	Placements map[identifier.Key]identifier.BackendServer `json:",omitempty"`
}

// Zone is the level of one availability zone within a service.
type Zone struct {
	Values Values
}

// Server holds what operators say of one backend server.
type Server struct {
	// Drained servers are given no new work and their partitions move away.
	Drained bool `json:",omitempty"`
}

// NewTree returns the tree of an organisation that names nothing.
func NewTree(o identifier.Organisation) *Tree {
	return &Tree{Organisation: o, Services: map[identifier.Service]*Service{}}
}

// Decode reads the stored form of a tree and checks it.
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

// Encode returns the stored form of a tree, in JSON with Pascal-case names.
func (t *Tree) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	return data, nil
}

// Check checks the tree as a whole.
func (t *Tree) Check() error {
	if err := identifier.CheckName("Organisation", string(t.Organisation)); err != nil {
		return fmt.Errorf("settings: %w", err)
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

func (t *Tree) checkService(name identifier.Service, s *Service) error {
	path := string(t.Organisation) + "/" + string(name)
	if err := identifier.CheckName("Service", string(name)); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if s == nil {
		return &FieldError{Path: path, Field: "Service", Value: "null", Rule: "a service needs an object"}
	}
	if err := s.Values.check(path); err != nil {
		return err
	}
	for z, node := range s.Zones {
		if err := identifier.CheckName("Zone", string(z)); err != nil || node == nil {
			return &FieldError{Path: path, Field: "Zone", Value: string(z), Rule: "a name with an object is needed"}
		}
		if err := node.Values.check(path + "/" + string(z)); err != nil {
			return err
		}
	}
	for b, node := range s.Servers {
		if err := identifier.CheckName("BackendServer", string(b)); err != nil || node == nil {
			return &FieldError{Path: path, Field: "BackendServer", Value: string(b), Rule: "a name with an object is needed"}
		}
	}
	if err := checkPins(path, s.Pins); err != nil {
		return err
	}
	return t.checkEffective(path, name, s)
}

// checkEffective checks rules between settings, at each zone that overrides any.
func (t *Tree) checkEffective(path string, name identifier.Service, s *Service) error {
	zones := []identifier.Zone{""}
	for z := range s.Zones {
		zones = append(zones, z)
	}
	for _, z := range zones {
		e := t.effective(name, z)
		if *e.ColdSlots > *e.Slots {
			return &FieldError{path, "ColdSlots", fmt.Sprint(*e.ColdSlots), fmt.Sprintf("at most Slots, %d", *e.Slots)}
		}
		if *e.TimeoutMs > *e.MaxTimeoutMs {
			return &FieldError{path, "TimeoutMs", fmt.Sprint(*e.TimeoutMs), fmt.Sprintf("at most MaxTimeoutMs, %d", *e.MaxTimeoutMs)}
		}
		if h := *e.IsolationHoldMs; h > 0 && h < leastHoldMs {
			return &FieldError{path, "IsolationHoldMs", fmt.Sprint(h), fmt.Sprintf("0, or at least %d", leastHoldMs)}
		}
	}
	return nil
}

// leastHoldMs bounds a finite IsolationHold from below, in ms: an instance in good
// health hears from the platform at least that often.
const leastHoldMs = 20000

func (t *Tree) effective(name identifier.Service, z identifier.Zone) Values {
	v := defaults()
	v.overlay(&t.Values)
	s, ok := t.Services[name]
	if !ok {
		return v
	}
	v.overlay(&s.Values)
	if node, ok := s.Zones[z]; ok {
		v.overlay(&node.Values)
	}
	return v
}

// Effective holds the settings in force for a service in a zone.
type Effective struct {
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

// Effective returns the settings in force for a service in a zone; the zone may be
// empty for those of the service.
func (t *Tree) Effective(name identifier.Service, z identifier.Zone) Effective {
	v := t.effective(name, z)
	return Effective{
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

// Explanation is one setting with the level that it comes from.
type Explanation struct {
	Field  string
	Value  string
	Source string // "default", or the path of the level.
}

// Explain returns every setting in force for a service in a zone, with its source.
func (t *Tree) Explain(name identifier.Service, z identifier.Zone) []Explanation {
	v := t.effective(name, z)
	rows := make([]Explanation, 0, len(Fields))
	for _, f := range Fields {
		value, _ := f.get(&v)
		rows = append(rows, Explanation{f.Name, value, t.source(f, name, z)})
	}
	return rows
}

func (t *Tree) source(f Field, name identifier.Service, z identifier.Zone) string {
	path := string(t.Organisation)
	source := "default"
	if t.Values.names(f) {
		source = path
	}
	s, ok := t.Services[name]
	if !ok {
		return source
	}
	path += "/" + string(name)
	if s.Values.names(f) {
		source = path
	}
	if node, ok := s.Zones[z]; ok && node.Values.names(f) {
		source = path + "/" + string(z)
	}
	return source
}
