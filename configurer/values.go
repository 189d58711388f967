package configurer

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/turmericlift/turmericlift/identifier"
)

// Values holds the settings that one level of the tree sets. A nil field is inherited from the level
// above. Fields describes each setting.
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
	RecordMemory   = "Memory"   // Outcomes are recorded in the memory of one instance.
	RecordPlatform = "Platform" // Outcomes are recorded in objects on the platform.
)

// FieldError reports a setting or a name in the tree that is unknown or whose value is not valid.
type FieldError struct {
	Path   string // The level of the tree, for example "quokka/sitefront".
	Field  string
	Value  string
	Reason string // Why the value is not valid, usually the rule that it breaks.
}

// Error returns a message with the level, the field, the value and the reason.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s %q is not valid: %s", e.Path, e.Field, e.Value, e.Reason)
}

// Field describes one setting.
type Field struct {
	Name    string
	Help    string                       // The meaning of the setting, in one sentence.
	Default string                       // The default as text.
	Rule    string                       // The values that are valid.
	get     func(*Values) (string, bool) // Returns the value as text, and false if it is not set.
	set     func(*Values, string) error  // Sets the value from text, or returns a FieldError without a path.
	clear   func(*Values)                // Removes the value, so that it is inherited.
}

// Fields describes all settings of the tree, in the order in which the documentation lists them. It must
// not be changed.
var Fields = []Field{
	boolField("Keyed", "Whether the service's state is divided by key, each key owned by one backend server.", "true",
		func(v *Values) **bool { return &v.Keyed }),
	intField("Partitions", "Number of partitions of a keyed service, a power of two; fixed once the service has an assignment.", 256, 1, 65536,
		func(v *Values) **int { return &v.Partitions }),
	boolField("ChecksGrants", "Whether the backend servers refuse requests without a grant in force.", "true",
		func(v *Values) **bool { return &v.ChecksGrants }),
	intField("IsolationHoldMs", "How long instances that are cut off from the platform keep granting, in ms; 0: until operators declare the zone lost.", 0, 0, 86400000,
		func(v *Values) **int { return &v.IsolationHoldMs }),
	intField("BalanceMovesPerMinute", "Largest number of partition moves a minute that only balance load.", 120, 0, 10000,
		func(v *Values) **int { return &v.BalanceMovesPerMinute }),
	intField("AutoPins", "Number of pinned keys up to which hot keys are pinned automatically; 0: none.", 64, 0, 1024,
		func(v *Values) **int { return &v.AutoPins }),
	intField("Slots", "Largest number of requests that one backend server runs at a time.", 6, 1, 10000,
		func(v *Values) **int { return &v.Slots }),
	intField("ColdSlots", "Largest number of requests that a cold backend server runs at a time.", 1, 1, 10000,
		func(v *Values) **int { return &v.ColdSlots }),
	intField("QueueLength", "Largest number of requests that wait for one backend server.", 64, 0, 100000,
		func(v *Values) **int { return &v.QueueLength }),
	intField("Connections", "Largest number of connections to one backend server, over all instances.", 100, 1, 10000,
		func(v *Values) **int { return &v.Connections }),
	intField("TimeoutMs", "Time-out of a request that sets none, in ms.", 5000, 1, 600000,
		func(v *Values) **int { return &v.TimeoutMs }),
	intField("MaxTimeoutMs", "Longest time-out that a request may set, in ms.", 60000, 1, 600000,
		func(v *Values) **int { return &v.MaxTimeoutMs }),
	intField("MaxBodyBytes", "Largest body of a request or an answer, in bytes.", 1<<20, 1, 64<<20,
		func(v *Values) **int { return &v.MaxBodyBytes }),
	intField("RetryPercent", "Largest number of retries, in percent of first attempts.", 20, 0, 100,
		func(v *Values) **int { return &v.RetryPercent }),
	intField("HedgePercent", "Largest number of hedges of idempotent requests to a pool, in percent of requests.", 4, 0, 50,
		func(v *Values) **int { return &v.HedgePercent }),
	choiceField("OutcomeRecord", "Where the outcomes of requests that are not idempotent are recorded.",
		[]string{RecordPlatform, RecordMemory}, func(v *Values) **string { return &v.OutcomeRecord }),
	intField("OutcomeRetentionS", "How long the outcome of a request that is not idempotent stays recorded, in s.", 600, 10, 86400,
		func(v *Values) **int { return &v.OutcomeRetentionS }),
	intField("JournalGroups", "Number of journal objects of the service; each is written at most 20 times a second.", 4, 1, 256,
		func(v *Values) **int { return &v.JournalGroups }),
}

// intField describes a setting that is a whole number from minimum to maximum; pointer returns the
// address of its field in Values.
func intField(name, help string, defaultValue, minimum, maximum int, pointer func(*Values) **int) Field {
	rule := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return Field{
		Name: name, Help: help, Default: strconv.Itoa(defaultValue), Rule: rule,
		get: func(v *Values) (string, bool) {
			if p := *pointer(v); p != nil {
				return strconv.Itoa(*p), true
			}
			return "", false
		},
		set: func(v *Values, s string) error {
			n, err := strconv.Atoi(s)
			if err != nil || n < minimum || n > maximum {
				return &FieldError{Field: name, Value: s, Reason: rule}
			}
			*pointer(v) = &n
			return nil
		},
		clear: func(v *Values) { *pointer(v) = nil },
	}
}

// boolField describes a setting that is true or false; pointer returns the address of its field in Values.
func boolField(name, help, defaultValue string, pointer func(*Values) **bool) Field {
	const rule = "true or false"
	return Field{
		Name: name, Help: help, Default: defaultValue, Rule: rule,
		get: func(v *Values) (string, bool) {
			if p := *pointer(v); p != nil {
				return strconv.FormatBool(*p), true
			}
			return "", false
		},
		set: func(v *Values, s string) error {
			b, err := strconv.ParseBool(s)
			if err != nil {
				return &FieldError{Field: name, Value: s, Reason: rule}
			}
			*pointer(v) = &b
			return nil
		},
		clear: func(v *Values) { *pointer(v) = nil },
	}
}

// choiceField describes a setting that is one of the given texts, of which the first is the default;
// pointer returns the address of its field in Values.
func choiceField(name, help string, choices []string, pointer func(*Values) **string) Field {
	rule := "one of " + strings.Join(choices, ", ")
	return Field{
		Name: name, Help: help, Default: choices[0], Rule: rule,
		get: func(v *Values) (string, bool) {
			if p := *pointer(v); p != nil {
				return *p, true
			}
			return "", false
		},
		set: func(v *Values, s string) error {
			if !slices.Contains(choices, s) {
				return &FieldError{Field: name, Value: s, Reason: rule}
			}
			*pointer(v) = &s
			return nil
		},
		clear: func(v *Values) { *pointer(v) = nil },
	}
}

// FieldByName returns the description of the setting with a name, or a FieldError if there is none.
func FieldByName(name string) (Field, error) {
	for _, f := range Fields {
		if f.Name == name {
			return f, nil
		}
	}
	return Field{}, &FieldError{Field: "setting", Value: name, Reason: "no such setting; see docs/SETTINGS.md"}
}

// check checks every value that a level sets, and returns a FieldError with the level's path for the
// first one that is not valid.
func (v *Values) check(path string) error {
	for _, f := range Fields {
		s, isSet := f.get(v)
		if !isSet {
			continue
		}
		if err := f.set(v, s); err != nil {
			return &FieldError{Path: path, Field: f.Name, Value: s, Reason: f.Rule}
		}
	}
	if v.Partitions != nil && *v.Partitions&(*v.Partitions-1) != 0 {
		return &FieldError{Path: path, Field: "Partitions", Value: strconv.Itoa(*v.Partitions), Reason: "a power of two"}
	}
	return nil
}

// defaults returns the default values of all settings.
func defaults() Values {
	var v Values
	for _, f := range Fields {
		_ = f.set(&v, f.Default) // It cannot fail: TestDefaults sets every default.
	}
	return v
}

// overlay replaces the values of v by those that overriding sets.
func (v *Values) overlay(overriding *Values) {
	for _, f := range Fields {
		if s, isSet := f.get(overriding); isSet {
			_ = f.set(v, s) // It cannot fail: values that do not pass check are never stored.
		}
	}
}

// sets reports whether a level has its own value of a setting.
func (v *Values) sets(f Field) bool {
	_, isSet := f.get(v)
	return isSet
}

// pinsField is the name of the field Service.Pins in errors about pinned keys.
const pinsField = "Pins"

// checkPins checks that every pinned key is a valid key.
func checkPins(path string, pins []identifier.Key) error {
	for _, k := range pins {
		if err := identifier.CheckKey(string(k)); err != nil {
			return fmt.Errorf("%s: %s: %w", path, pinsField, err)
		}
	}
	return nil
}
