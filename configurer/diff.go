package configurer

import (
	"maps"
	"slices"
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
