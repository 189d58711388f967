package rentier

import "time"

// bucket is a token bucket whose rate and capacity are a part of a quota that changes.
type bucket struct {
	tokens float64
	at     time.Time // When it was last filled.
}

// advance fills the bucket with what was held during all of the time since it was last filled, and cuts it to the
// capacity of what is held now.
func (b *bucket) advance(now time.Time, q Quota, during, present float64) {
	if now.After(b.at) {
		b.tokens += during * q.Rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, present*q.Capacity)
}

// take takes one token. It reports whether there was one.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// wait returns the time until the bucket has a token besides those that others wait for.
func (b *bucket) wait(q Quota, part float64, waiting int) time.Duration {
	missing := float64(waiting) + 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	rate := part * q.Rate
	if rate <= 0 || missing/rate > maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / rate * float64(time.Second))
}
