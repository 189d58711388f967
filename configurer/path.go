package configurer

import (
	"errors"
	"slices"
	"strings"

	"github.com/turmericlift/turmericlift/identifier"
)

// Path identifies a level of the tree. With an empty Service it is the level of the organisation, and
// with an empty Zone the level of the service.
type Path struct {
	Organisation identifier.Organisation
	Service      identifier.Service
	Zone         identifier.Zone
}

// level returns the values of a level, which it creates if there is none.
func (t *Tree) level(p Path) *Values {
	if p.Service == "" {
		return &t.Values
	}
	s := t.service(p.Service)
	if p.Zone == "" {
		return &s.Values
	}
	if s.Zones == nil {
		s.Zones = map[identifier.Zone]*Zone{}
	}
	if s.Zones[p.Zone] == nil {
		s.Zones[p.Zone] = &Zone{}
	}
	return &s.Zones[p.Zone].Values
}

// service returns the settings of a service, which it creates if there are none.
func (t *Tree) service(name identifier.Service) *Service {
	if t.Services[name] == nil {
		t.Services[name] = &Service{}
	}
	return t.Services[name]
}

// Set sets the value of a setting at a level, which it creates if there is none, and checks the tree. The
// tree is changed also if the check fails.
func (t *Tree) Set(p Path, field, value string) error {
	if err := t.SetUnchecked(p, field, value); err != nil {
		return err
	}
	return t.Check()
}

// Unset removes the value of a setting from a level, which then inherits it, and checks the tree.
func (t *Tree) Unset(p Path, field string) error {
	f, err := FieldByName(field)
	if err != nil {
		return err
	}
	f.clear(t.level(p))
	return t.Check()
}

// SetDrained sets whether a backend server of a service must be drained, and checks the tree. It returns a
// FieldError if there is no such service.
func (t *Tree) SetDrained(name identifier.Service, b identifier.BackendServer, drained bool) error {
	s, ok := t.Services[name]
	if !ok {
		return &FieldError{string(t.Organisation), "Service", string(name), "no such service"}
	}
	if s.Servers == nil {
		s.Servers = map[identifier.BackendServer]*Server{}
	}
	s.Servers[b] = &Server{Drained: drained}
	if !drained {
		delete(s.Servers, b)
	}
	return t.Check()
}

// Pin gives a key of a service a partition of its own, and checks the tree. It returns a FieldError if
// there is no such service.
func (t *Tree) Pin(name identifier.Service, k identifier.Key) error {
	s, ok := t.Services[name]
	if !ok {
		return &FieldError{string(t.Organisation), "Service", string(name), "no such service"}
	}
	if !slices.Contains(s.Pins, k) {
		s.Pins = append(s.Pins, k)
	}
	return t.Check()
}

// PinTo pins a key of a service and sets the backend server at which it should be, and checks the tree. It
// returns an error if there is no such service or the backend server's name is not valid.
func (t *Tree) PinTo(name identifier.Service, k identifier.Key, b identifier.BackendServer) error {
	if err := identifier.CheckName("BackendServer", string(b)); err != nil {
		return err
	}
	if err := t.Pin(name, k); err != nil {
		return err
	}
	s := t.Services[name]
	if s.Placements == nil {
		s.Placements = map[identifier.Key]identifier.BackendServer{}
	}
	s.Placements[k] = b
	return t.Check()
}

// Unpin removes a key from the pins and placements of a service, and checks the tree. It returns a
// FieldError if there is no such service.
func (t *Tree) Unpin(name identifier.Service, k identifier.Key) error {
	s, ok := t.Services[name]
	if !ok {
		return &FieldError{string(t.Organisation), "Service", string(name), "no such service"}
	}
	delete(s.Placements, k)
	s.Pins = slices.DeleteFunc(s.Pins, func(pinned identifier.Key) bool { return pinned == k })
	return t.Check()
}

// IsDrained reports whether operators have set that a backend server must be drained.
func (t *Tree) IsDrained(name identifier.Service, b identifier.BackendServer) bool {
	s, ok := t.Services[name]
	return ok && s.Servers[b] != nil && s.Servers[b].Drained
}

// CreateLevel creates a level that sets no values, if there is none.
func (t *Tree) CreateLevel(p Path) { t.level(p) }

// SetUnchecked sets the value of a setting at a level, which it creates if there is none. It checks the
// value by itself but not the tree as a whole, for changes that are valid only together; the caller
// must call Check afterwards.
func (t *Tree) SetUnchecked(p Path, field, value string) error {
	f, err := FieldByName(field)
	if err != nil {
		return err
	}
	if err := f.set(t.level(p), value); err != nil {
		var invalid *FieldError
		if errors.As(err, &invalid) {
			invalid.Path = p.String()
		}
		return err
	}
	return nil
}

// String returns the path as organisation/service/zone, without the parts that are empty.
func (p Path) String() string {
	return strings.TrimRight(strings.Join([]string{string(p.Organisation), string(p.Service), string(p.Zone)}, "/"), "/")
}
