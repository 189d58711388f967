// Package booker books the times at which refused callers return, at the rate at which there will be capacity, so that they
// do not all return at once and are served when they do. It does no I/O and reads no clock.
package booker

import "time"

// maxBookings bounds the bookings of one Booker.
const maxBookings = 1024

// Booker holds the bookings for one server or pool. The zero value has none.
type Booker struct {
	next   time.Time   // The first time that is not booked.
	booked []time.Time // In order of time.
}

// Book books the first free time from earliest on, if it is not after latest, and reports whether it did. The next free time
// is later by interval. Without a booking, it returns the first free time.
func (b *Booker) Book(now, earliest, latest time.Time, interval time.Duration) (at time.Time, booked bool) {
	b.expire(now)
	at = earliest
	if b.next.After(at) {
		at = b.next
	}
	if at.After(latest) || len(b.booked) >= maxBookings {
		return at, false
	}
	b.next = at.Add(interval)
	b.booked = append(b.booked, at)
	return at, true
}

// Due returns the number of bookings up to a time.
func (b *Booker) Due(now, until time.Time) int {
	b.expire(now)
	n := 0
	for n < len(b.booked) && !b.booked[n].After(until) {
		n++
	}
	return n
}

// expire drops the bookings whose time has passed.
func (b *Booker) expire(now time.Time) {
	n := 0
	for n < len(b.booked) && b.booked[n].Before(now) {
		n++
	}
	b.booked = append(b.booked[:0], b.booked[n:]...)
}
