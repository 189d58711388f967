package booker_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/booker"
)

var start = time.Unix(1000, 0)

// TestBook guards against callers that are told to return faster than there is capacity for them, and against bookings that
// are later than a caller waits.
func TestBook(t *testing.T) {
	var b booker.Booker
	earliest, latest := start.Add(100*time.Millisecond), start.Add(300*time.Millisecond)
	for n := range 5 {
		at, booked := b.Book(start, earliest, latest, 50*time.Millisecond)
		if want := earliest.Add(time.Duration(n) * 50 * time.Millisecond); !booked || !at.Equal(want) {
			t.Errorf("booking %d is at %s (%t), want %s", n, at.Sub(start), booked, want.Sub(start))
		}
	}
	for range 2 {
		at, booked := b.Book(start, earliest, latest, 50*time.Millisecond)
		if booked || !at.Equal(start.Add(350*time.Millisecond)) {
			t.Errorf("a booking after the latest time is at %s (%t), want none and 350ms", at.Sub(start), booked)
		}
	}
	if n := b.Due(start, start.Add(200*time.Millisecond)); n != 3 {
		t.Errorf("%d bookings are due in the first 200 ms, want 3", n)
	}
	if n := b.Due(start.Add(210*time.Millisecond), latest); n != 2 {
		t.Errorf("%d bookings are left after 210 ms, want 2", n)
	}
}

// TestBookAgain guards against a schedule that stays booked after its times have passed, and against memory that grows with
// the number of refusals.
func TestBookAgain(t *testing.T) {
	var b booker.Booker
	for range 5000 {
		b.Book(start, start, start.Add(time.Hour), time.Millisecond)
	}
	if n := b.Due(start, start.Add(time.Hour)); n != 1024 {
		t.Errorf("%d bookings are held, want 1024", n)
	}
	now := start.Add(time.Minute)
	if at, booked := b.Book(now, now, now.Add(time.Second), time.Millisecond); !booked || !at.Equal(now) {
		t.Errorf("booking is at %s (%t) after all others have passed, want at once", at.Sub(now), booked)
	}
}
