package configurer

import (
	"errors"
	"testing"
)

// newTestTree returns a tree in which the service sitefront has the given settings, each a name and a value.
func newTestTree(t testing.TB, changes ...[2]string) *Tree {
	t.Helper()
	tr := NewTree("quokka")
	for _, c := range changes {
		if err := tr.Set(Path{Organisation: "quokka", Service: "sitefront"}, c[0], c[1]); err != nil {
			t.Fatal(err)
		}
	}
	return tr
}

// TestDefaults guards against a default that breaks its setting's own rule: every error would be ignored
// when the defaults are applied.
func TestDefaults(t *testing.T) {
	t.Parallel()
	for _, f := range Fields {
		var v Values
		if err := f.set(&v, f.Default); err != nil {
			t.Errorf("default of %s is refused: %v", f.Name, err)
		}
	}
}

// TestInherit checks that each level overrides the settings that it sets and no others, that Explain
// names the level that sets a value, and that a setting that is unset is inherited again.
func TestInherit(t *testing.T) {
	t.Parallel()
	tr := newTestTree(t, [2]string{"Slots", "2"})
	path := Path{Organisation: "quokka"}
	if err := tr.Set(path, "QueueLength", "7"); err != nil {
		t.Fatal(err)
	}
	path.Service, path.Zone = "sitefront", "crawley-a"
	if err := tr.Set(path, "Slots", "3"); err != nil {
		t.Fatal(err)
	}
	service, zone := tr.Effective("sitefront", ""), tr.Effective("sitefront", "crawley-a")
	if service.Slots != 2 || zone.Slots != 3 || zone.QueueLength != 7 || zone.ColdSlots != 1 {
		t.Errorf("settings in force: service %+v, zone %+v; want Slots 2 and 3, and in the zone QueueLength 7, ColdSlots 1", service, zone)
	}
	sources := map[string]string{}
	for _, e := range tr.Explain("sitefront", "crawley-a") {
		sources[e.Field] = e.Source
	}
	if sources["Slots"] != "quokka/sitefront/crawley-a" || sources["QueueLength"] != "quokka" || sources["ColdSlots"] != "default" {
		t.Errorf("sources %v, want Slots from the zone, QueueLength from the organisation, ColdSlots by default", sources)
	}
	if err := tr.Unset(path, "Slots"); err != nil || tr.Effective("sitefront", "crawley-a").Slots != 2 {
		t.Errorf("after Unset of Slots in the zone: %+v, error %v; want Slots 2", tr.Effective("sitefront", "crawley-a"), err)
	}
}

// TestBadSettings guards against an invalid setting that is accepted, and against an error that does not
// name the field and the value.
func TestBadSettings(t *testing.T) {
	t.Parallel()
	cases := []struct{ field, value string }{
		{"Partitions", "100"},
		{"Partitions", "0"},
		{"Slots", "many"},
		{"ColdSlots", "7"},
		{"TimeoutMs", "600000"},
		{"IsolationHoldMs", "5"},
		{"Keyed", "perhaps"},
		{"OutcomeRecord", "Disk"},
		{"Nonsense", "1"},
	}
	for _, c := range cases {
		err := newTestTree(t).Set(Path{Organisation: "quokka", Service: "sitefront"}, c.field, c.value)
		var invalid *FieldError
		if !errors.As(err, &invalid) {
			t.Errorf("%s=%s: error %v, want a FieldError", c.field, c.value, err)
			continue
		}
		if reported := invalid.Field + invalid.Value; reported != c.field+c.value && invalid.Value != c.field {
			t.Errorf("%s=%s: the error names field %s and value %q", c.field, c.value, invalid.Field, invalid.Value)
		}
	}
}

// TestDiff checks that Diff reports each setting that only one of two trees sets, with an empty value
// for the other tree.
func TestDiff(t *testing.T) {
	t.Parallel()
	got := Diff(newTestTree(t, [2]string{"Slots", "2"}), newTestTree(t, [2]string{"QueueLength", "9"}))
	want := []Difference{
		{"quokka/sitefront", "Slots", "2", ""},
		{"quokka/sitefront", "QueueLength", "", "9"},
	}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("differences %+v, want %+v", got, want)
	}
}

// FuzzDecode guards against a decoder that panics on arbitrary data, or that accepts settings which cannot
// be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	data, err := newTestTree(f, [2]string{"Slots", "2"}).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"Organisation":"quokka","Services":{"a":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tr, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := tr.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Errorf("settings that were decoded and encoded cannot be decoded again: %v", err)
		}
	})
}
