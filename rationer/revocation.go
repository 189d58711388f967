package rationer

import (
	"errors"
	"time"
)

// ErrRevoked says that data stopped arriving and that others needed the bytes of their holding.
var ErrRevoked = errors.New("the data stopped arriving, and other requests need their memory")

// AllowRevocation lets other holdings revoke this one while ReadAll waits for data that have not arrived for StallTime, and
// lets this one revoke others. interrupt must end the read that waits; it is called at most once and must not block.
func (h *Holding) AllowRevocation(clock func() time.Time, interrupt func()) {
	h.clock, h.interrupt = clock, interrupt
}

// Unless runs fn unless the holding is revoked, and returns ErrRevoked otherwise. If fn undoes what interrupt does, the
// interruption is not lost.
func (h *Holding) Unless(fn func()) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.interrupted {
		return ErrRevoked
	}
	fn()
	return nil
}

// reserve changes the holding to a number of bytes. It revokes those that have stalled for longest as far as they are needed.
func (h *Holding) reserve(bytes int64) error {
	for !h.Resize(bytes) {
		if h.clock == nil || !h.rationer.revokeLongest(h, h.clock()) {
			return h.exhausted(bytes)
		}
	}
	return nil
}

// revokeLongest revokes the holding other than h whose data have not arrived for longest. It returns false if there is none.
func (r *Rationer) revokeLongest(h *Holding, now time.Time) bool {
	r.mu.Lock()
	var longest *Holding
	for other := range r.reading {
		if other != h && now.Sub(other.progressAt) >= StallTime && (longest == nil || other.progressAt.Before(longest.progressAt)) {
			longest = other
		}
	}
	if longest != nil {
		delete(r.reading, longest)
		r.resize(longest, 0)
		longest.revoked = true
	}
	r.mu.Unlock()
	if longest == nil {
		return false
	}
	longest.mu.Lock()
	defer longest.mu.Unlock()
	longest.interrupted = true
	longest.interrupt()
	return true
}

// recordProgress records that data have arrived, and returns ErrRevoked if the holding is revoked.
func (h *Holding) recordProgress() error {
	if h.clock == nil {
		return nil
	}
	now := h.clock()
	r := h.rationer
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.revoked {
		return ErrRevoked
	}
	h.progressAt = now
	r.reading[h] = struct{}{}
	return nil
}

// endReading records that no more data are read. From then on the holding is not revoked; the result is ErrRevoked if it was.
func (h *Holding) endReading() error {
	r := h.rationer
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reading, h)
	if h.revoked {
		return ErrRevoked
	}
	return nil
}
