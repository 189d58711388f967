package configurer

import (
	"maps"
	"slices"
)

// Difference is a setting with different values at one level of two trees.
type Difference struct {
	Path   string
	Field  string
	Before string // The value in the first tree; empty if it is inherited there.
	After  string // The value in the second tree; empty if it is inherited there.
}

// Diff returns the differences between the settings of two trees, sorted by the path of the level and
// then in the order of Fields. Pins, placements and drained backend servers are not compared.
func Diff(before, after *Tree) []Difference {
	beforeLevels, afterLevels := before.levels(), after.levels()
	var all []Difference
	for _, path := range slices.Sorted(maps.Keys(union(beforeLevels, afterLevels))) {
		for _, f := range Fields {
			a, b := valueText(f, beforeLevels[path]), valueText(f, afterLevels[path])
			if a != b {
				all = append(all, Difference{path, f.Name, a, b})
			}
		}
	}
	return all
}

// valueText returns the value of a setting at a level as text, or "" if the level does not set it.
func valueText(f Field, v *Values) string {
	if v == nil {
		return ""
	}
	s, _ := f.get(v)
	return s
}

// union returns a map with the keys of both maps.
func union(x, y map[string]*Values) map[string]*Values {
	both := maps.Clone(x)
	maps.Copy(both, y)
	return both
}

// levels returns the values of all levels, by the path of the level.
func (t *Tree) levels() map[string]*Values {
	root := string(t.Organisation)
	all := map[string]*Values{root: &t.Values}
	for name, s := range t.Services {
		path := root + "/" + string(name)
		all[path] = &s.Values
		for z, settings := range s.Zones {
			all[path+"/"+string(z)] = &settings.Values
		}
	}
	return all
}
