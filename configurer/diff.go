package configurer

import (
	"errors"
	"maps"
	"slices"
	"strings"
)

// Difference is a setting that two trees name differently at one level; an empty
// value is inherited.
type Difference struct {
	Path   string
	Field  string
	Before string
	After  string
}

// Diff returns the differences between two trees, sorted by level.
func Diff(before, after *Tree) []Difference {
	x, y := before.levels(), after.levels()
	var all []Difference
	for _, path := range slices.Sorted(maps.Keys(union(x, y))) {
		for _, f := range Fields {
			a, b := named(f, x[path]), named(f, y[path])
			if a != b {
				all = append(all, Difference{path, f.Name, a, b})
			}
		}
	}
	return all
}

func named(f Field, v *Values) string {
	if v == nil {
		return ""
	}
	s, _ := f.get(v)
	return s
}

func union(x, y map[string]*Values) map[string]*Values {
	both := maps.Clone(x)
	maps.Copy(both, y)
	return both
}

// levels returns the values of each level by its path.
func (t *Tree) levels() map[string]*Values {
	root := string(t.Organisation)
	all := map[string]*Values{root: &t.Values}
	for name, s := range t.Services {
		path := root + "/" + string(name)
		all[path] = &s.Values
		for z, node := range s.Zones {
			all[path+"/"+string(z)] = &node.Values
		}
	}
	return all
}

// Touch makes a level that names nothing, if there is none.
func (t *Tree) Touch(p Path) { t.level(p) }

// SetUnchecked names a setting at a level without checking the tree as a whole, for
// changes that are only right together. Check must follow.
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

// String returns the path as organisation/service/zone.
func (p Path) String() string {
	return strings.TrimRight(strings.Join([]string{string(p.Organisation), string(p.Service), string(p.Zone)}, "/"), "/")
}

// Table returns the table of settings as a Markdown table; flag gives the name of a
// setting's flag.
func Table(flag func(field string) string) string {
	var b strings.Builder
	b.WriteString("| Setting | Flag | Default | Rule | Meaning |\n|---|---|---|---|---|\n")
	for _, f := range Fields {
		b.WriteString("| " + strings.Join([]string{f.Name, "`--" + flag(f.Name) + "`", f.Default, f.Rule, f.Help}, " | ") + " |\n")
	}
	return b.String()
}
