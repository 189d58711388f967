package identifier

import "fmt"

// ShardKey is a numeric key of a service whose keys are divided among servers by number.
type ShardKey uint16

// MaxShardKey is the highest key.
const MaxShardKey ShardKey = 65535

// ShardKeyCount is the number of keys.
const ShardKeyCount = int(MaxShardKey) + 1

// Range is the keys from From to To, both included.
type Range struct {
	From, To ShardKey
}

// Len returns the number of keys in the range.
func (r Range) Len() int { return int(r.To) - int(r.From) + 1 }

// Contains reports whether a key is in the range.
func (r Range) Contains(key ShardKey) bool { return r.From <= key && key <= r.To }

// Overlaps reports whether two ranges have a key in common.
func (r Range) Overlaps(o Range) bool { return r.From <= o.To && o.From <= r.To }

// String returns the range as "from-to".
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.From, r.To) }
