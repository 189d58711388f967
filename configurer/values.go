package configurer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/turmericlift/turmericlift/identifier"
)

// Values are the settings that one level of the tree names. A nil field is
// inherited from the level above.
type Values struct {
	Keyed                 *bool   `json:",omitempty"`
	Partitions            *int    `json:",omitempty"`
	ChecksGrants          *bool   `json:",omitempty"`
	IsolationHoldMs       *int    `json:",omitempty"`
	BalanceMovesPerMinute *int    `json:",omitempty"`
	AutoPins              *int    `json:",omitempty"`
	Slots                 *int    `json:",omitempty"`
	ColdSlots             *int    `json:",omitempty"`
	QueueLength           *int    `json:",omitempty"`
	Connections           *int    `json:",omitempty"`
	TimeoutMs             *int    `json:",omitempty"`
	MaxTimeoutMs          *int    `json:",omitempty"`
	MaxBodyBytes          *int    `json:",omitempty"`
	RetryPercent          *int    `json:",omitempty"`
	HedgePercent          *int    `json:",omitempty"`
	OutcomeRecord         *string `json:",omitempty"`
	OutcomeRetentionS     *int    `json:",omitempty"`
	JournalGroups         *int    `json:",omitempty"`
}

// The values of OutcomeRecord.
const (
	RecordMemory   = "Memory"
	RecordPlatform = "Platform"
)

// FieldError reports a setting that is unknown or whose value is not valid.
type FieldError struct {
	Path  string // Where in the tree, for example "quokka/sitefront".
	Field string
	Value string
	Rule  string
}

// Error names the place, the field, the value and the rule.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s %q is not valid: %s", e.Path, e.Field, e.Value, e.Rule)
}

// Field describes one setting: its name, its default and how to reach it.
type Field struct {
	Name    string
	Help    string
	Default string
	Rule    string
	get     func(*Values) (string, bool)
	set     func(*Values, string) error
	clear   func(*Values)
}

// Fields is the table of all settings of the tree, in the order of the docs.
var Fields = []Field{
	flag("Keyed", "Whether the service's state is divided by key, each key owned by one backend server.", "true",
		func(v *Values) **bool { return &v.Keyed }),
	number("Partitions", "Number of partitions of a keyed service, a power of two; fixed once the service has an assignment.", 256, 1, 65536,
		func(v *Values) **int { return &v.Partitions }),
	flag("ChecksGrants", "Whether the backend servers refuse requests without a grant in force.", "true",
		func(v *Values) **bool { return &v.ChecksGrants }),
	number("IsolationHoldMs", "How long instances that are cut off from the platform keep granting, in ms; 0 until operators declare the zone lost.", 0, 0, 86400000,
		func(v *Values) **int { return &v.IsolationHoldMs }),
	number("BalanceMovesPerMinute", "Most moves of partitions a minute that only even out load.", 120, 0, 10000,
		func(v *Values) **int { return &v.BalanceMovesPerMinute }),
	number("AutoPins", "Most pinned keys up to which hot keys are pinned by themselves; 0 for none.", 64, 0, 1024,
		func(v *Values) **int { return &v.AutoPins }),
	number("Slots", "Requests that one backend server runs at a time.", 6, 1, 10000,
		func(v *Values) **int { return &v.Slots }),
	number("ColdSlots", "Requests that a cold backend server runs at a time.", 1, 1, 10000,
		func(v *Values) **int { return &v.ColdSlots }),
	number("QueueLength", "Requests that wait for one backend server.", 64, 0, 100000,
		func(v *Values) **int { return &v.QueueLength }),
	number("Connections", "Connections to one backend server, over all instances.", 100, 1, 10000,
		func(v *Values) **int { return &v.Connections }),
	number("TimeoutMs", "Deadline of a request that names none, in ms.", 5000, 1, 600000,
		func(v *Values) **int { return &v.TimeoutMs }),
	number("MaxTimeoutMs", "Longest deadline that a request may name, in ms.", 60000, 1, 600000,
		func(v *Values) **int { return &v.MaxTimeoutMs }),
	number("MaxBodyBytes", "Largest body of a request or an answer, in bytes.", 1<<20, 1, 64<<20,
		func(v *Values) **int { return &v.MaxBodyBytes }),
	number("RetryPercent", "Retries, as a share of first attempts, in percent.", 20, 0, 100,
		func(v *Values) **int { return &v.RetryPercent }),
	number("HedgePercent", "Hedges of idempotent requests to a pool, as a share of requests, in percent.", 4, 0, 50,
		func(v *Values) **int { return &v.HedgePercent }),
	choice("OutcomeRecord", "Where outcomes of requests that may not be repeated are kept.",
		[]string{RecordPlatform, RecordMemory}, func(v *Values) **string { return &v.OutcomeRecord }),
	number("OutcomeRetentionS", "How long the outcome of a request that may not be repeated is kept, in s.", 600, 10, 86400,
		func(v *Values) **int { return &v.OutcomeRetentionS }),
	number("JournalGroups", "Number of journal objects of the service; each takes 20 writes a second at most.", 4, 1, 256,
		func(v *Values) **int { return &v.JournalGroups }),
}

func number(name, help string, def, least, most int, at func(*Values) **int) Field {
	rule := fmt.Sprintf("a whole number from %d to %d", least, most)
	return Field{
		Name: name, Help: help, Default: strconv.Itoa(def), Rule: rule,
		get: func(v *Values) (string, bool) {
			if p := *at(v); p != nil {
				return strconv.Itoa(*p), true
			}
			return "", false
		},
		set: func(v *Values, s string) error {
			n, err := strconv.Atoi(s)
			if err != nil || n < least || n > most {
				return &FieldError{Field: name, Value: s, Rule: rule}
			}
			*at(v) = &n
			return nil
		},
		clear: func(v *Values) { *at(v) = nil },
	}
}

func flag(name, help, def string, at func(*Values) **bool) Field {
	const rule = "true or false"
	return Field{
		Name: name, Help: help, Default: def, Rule: rule,
		get: func(v *Values) (string, bool) {
			if p := *at(v); p != nil {
				return strconv.FormatBool(*p), true
			}
			return "", false
		},
		set: func(v *Values, s string) error {
			b, err := strconv.ParseBool(s)
			if err != nil {
				return &FieldError{Field: name, Value: s, Rule: rule}
			}
			*at(v) = &b
			return nil
		},
		clear: func(v *Values) { *at(v) = nil },
	}
}

func choice(name, help string, choices []string, at func(*Values) **string) Field {
	rule := "one of " + strings.Join(choices, ", ")
	return Field{
		Name: name, Help: help, Default: choices[0], Rule: rule,
		get: func(v *Values) (string, bool) {
			if p := *at(v); p != nil {
				return *p, true
			}
			return "", false
		},
		set: func(v *Values, s string) error {
			if !slices.Contains(choices, s) {
				return &FieldError{Field: name, Value: s, Rule: rule}
			}
			*at(v) = &s
			return nil
		},
		clear: func(v *Values) { *at(v) = nil },
	}
}

// FieldByName returns the description of a setting.
func FieldByName(name string) (Field, error) {
	for _, f := range Fields {
		if f.Name == name {
			return f, nil
		}
	}
	return Field{}, &FieldError{Field: "setting", Value: name, Rule: "no such setting; see docs/SETTINGS.md"}
}

// check checks every value that a level names.
func (v *Values) check(path string) error {
	for _, f := range Fields {
		s, named := f.get(v)
		if !named {
			continue
		}
		if err := f.set(v, s); err != nil {
			return &FieldError{Path: path, Field: f.Name, Value: s, Rule: f.Rule}
		}
	}
	if v.Partitions != nil && *v.Partitions&(*v.Partitions-1) != 0 {
		return &FieldError{Path: path, Field: "Partitions", Value: strconv.Itoa(*v.Partitions), Rule: "a power of two"}
	}
	return nil
}

// defaults returns the values that hold where no level names any.
func defaults() Values {
	var v Values
	for _, f := range Fields {
		_ = f.set(&v, f.Default) // A test sets every default.
	}
	return v
}

// overlay puts the values that over names on top of v.
func (v *Values) overlay(over *Values) {
	for _, f := range Fields {
		if s, named := f.get(over); named {
			_ = f.set(v, s) // Values that do not pass check are never stored.
		}
	}
}

// names reports whether a level names a setting.
func (v *Values) names(f Field) bool {
	_, named := f.get(v)
	return named
}

// keyName is the word for keys in errors of the tree.
const keyName = "Pins"

func checkPins(path string, pins []identifier.Key) error {
	for _, k := range pins {
		if err := identifier.CheckKey(string(k)); err != nil {
			return fmt.Errorf("%s: %s: %w", path, keyName, err)
		}
	}
	return nil
}
