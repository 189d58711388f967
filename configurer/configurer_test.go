package configurer

import (
	"errors"
	"testing"
)

func tree(t testing.TB, changes ...[2]string) *Tree {
	t.Helper()
	tr := NewTree("quokka")
	for _, c := range changes {
		if err := tr.Set(Path{Organisation: "quokka", Service: "sitefront"}, c[0], c[1]); err != nil {
			t.Fatal(err)
		}
	}
	return tr
}

// TestDefaults checks that every default passes its own rule.
func TestDefaults(t *testing.T) {
	t.Parallel()
	for _, f := range Fields {
		var v Values
		if err := f.set(&v, f.Default); err != nil {
			t.Errorf("%s: %v", f.Name, err)
		}
	}
}

// TestInherit checks that each level overrides what it names, and only that.
func TestInherit(t *testing.T) {
	t.Parallel()
	tr := tree(t, [2]string{"Slots", "2"})
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
		t.Errorf("service %+v, zone %+v", service, zone)
	}
	sources := map[string]string{}
	for _, e := range tr.Explain("sitefront", "crawley-a") {
		sources[e.Field] = e.Source
	}
	if sources["Slots"] != "quokka/sitefront/crawley-a" || sources["QueueLength"] != "quokka" || sources["ColdSlots"] != "default" {
		t.Errorf("sources %v", sources)
	}
	if err := tr.Unset(path, "Slots"); err != nil || tr.Effective("sitefront", "crawley-a").Slots != 2 {
		t.Errorf("after unset: %+v, %v", tr.Effective("sitefront", "crawley-a"), err)
	}
}

// TestBadSettings is the table of what is refused, and checks that the error names
// the field and the value.
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
		err := tree(t).Set(Path{Organisation: "quokka", Service: "sitefront"}, c.field, c.value)
		var invalid *FieldError
		if !errors.As(err, &invalid) {
			t.Errorf("%s=%s: %v", c.field, c.value, err)
			continue
		}
		if named := invalid.Field + invalid.Value; named != c.field+c.value && invalid.Value != c.field {
			t.Errorf("%s=%s: the error names %s %q", c.field, c.value, invalid.Field, invalid.Value)
		}
	}
}

// TestDiff checks that a diff shows what differs.
func TestDiff(t *testing.T) {
	t.Parallel()
	got := Diff(tree(t, [2]string{"Slots", "2"}), tree(t, [2]string{"QueueLength", "9"}))
	want := []Difference{
		{"quokka/sitefront", "Slots", "2", ""},
		{"quokka/sitefront", "QueueLength", "", "9"},
	}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// FuzzDecode feeds the decoder of settings: what it takes in must pass its own check
// and survive a round trip.
func FuzzDecode(f *testing.F) {
	data, err := tree(f, [2]string{"Slots", "2"}).Encode()
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
		again, err := tr.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Errorf("round trip: %v", err)
		}
	})
}
