package identifier

import "fmt"

// Point is a numeric key of a service whose keys are divided among servers by number (a shard key).
type Point uint16

// MaxPoint is the highest key.
const MaxPoint Point = 65535

// Points is the number of keys.
const Points = int(MaxPoint) + 1

// Range is the keys from From to To, both included.
type Range struct {
	From, To Point
}

// Len returns the number of keys in the range.
func (r Range) Len() int { return int(r.To) - int(r.From) + 1 }

// Contains reports whether a key is in the range.
func (r Range) Contains(key Point) bool { return r.From <= key && key <= r.To }

// Overlaps reports whether two ranges have a key in common.
func (r Range) Overlaps(o Range) bool { return r.From <= o.To && o.From <= r.To }

// String returns the range as "from-to".
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }
