// Package rationer bounds the bytes that the requests of a process hold together: callers' bodies and messages of other
// instances. What does not fit is refused at once, so that no request waits for memory that another one holds.
//
// A part of the bound is reserved for small holdings, and a part of that for tiny ones, so that a few large ones do not end the
// others. Data that stop arriving lose their holding once others need it.
package rationer

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a holding may use the reserved part.
	SmallBytes = 64 << 10
	// largeShare is the share of the bound that holdings above SmallBytes may use together.
	largeShare = 0.75
	// TinyBytes is the size up to which a holding may use all of the bound.
	TinyBytes = 4 << 10
	// mediumShare is the share of the bound that holdings above TinyBytes may use together. The rest has room for a tiny
	// holding of each connection that an instance allows (docs/design/misbehaving-clients.md).
	mediumShare = 0.92
	// StallTime is how long data must not have arrived before their holding may be revoked.
	StallTime = time.Second
)

// Rationer hands out the bytes of a fixed bound. It is safe for concurrent use.
type Rationer struct {
	limit, mediumLimit, largeLimit int64

	mu                  sync.Mutex
	held, medium, large int64 // All bytes that are held, those of holdings that are not tiny, and those of large ones.
	reading             map[*Holding]struct{}
}

// New returns a Rationer for a bound in bytes.
func New(limit int64) *Rationer {
	return &Rationer{
		limit: limit, mediumLimit: int64(mediumShare * float64(limit)), largeLimit: int64(largeShare * float64(limit)),
		reading: map[*Holding]struct{}{},
	}
}

// Held returns the bytes that are held at present.
func (r *Rationer) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// Limit returns the bound.
func (r *Rationer) Limit() int64 { return r.limit }

// Open returns a holding of no bytes.
func (r *Rationer) Open() *Holding { return &Holding{rationer: r} }

// Holding is the part of the bound that one request uses. It is not safe for concurrent use, but other holdings may revoke it.
type Holding struct {
	rationer *Rationer
	bytes    int64

	// The rest is used by ReadAll.
	clock      func() time.Time // Nil if the holding cannot be revoked and revokes no others.
	interrupt  func()
	progressAt time.Time // Guarded by the rationer's lock, as is revoked.
	revoked    bool

	mu          sync.Mutex
	interrupted bool
}

// Resize changes the holding to a number of bytes, and reports whether these are within the bound. If not, the holding stays
// as it was. A smaller holding always is.
func (h *Holding) Resize(bytes int64) bool {
	r := h.rationer
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resize(h, bytes)
}

// resize is Resize for a caller that holds the lock.
func (r *Rationer) resize(h *Holding, bytes int64) bool {
	held := r.held + bytes - h.bytes
	medium := r.medium + bytesAbove(bytes, TinyBytes) - bytesAbove(h.bytes, TinyBytes)
	large := r.large + bytesAbove(bytes, SmallBytes) - bytesAbove(h.bytes, SmallBytes)
	exceeds := held > r.limit || bytes > TinyBytes && medium > r.mediumLimit || bytes > SmallBytes && large > r.largeLimit
	if bytes > h.bytes && (exceeds || h.revoked) {
		return false
	}
	r.held, r.medium, r.large, h.bytes = held, medium, large, bytes
	return true
}

// Bytes returns the number of bytes of the holding.
func (h *Holding) Bytes() int64 {
	h.rationer.mu.Lock()
	defer h.rationer.mu.Unlock()
	return h.bytes
}

// Close returns all bytes of the holding.
func (h *Holding) Close() { h.Resize(0) }

// bytesAbove returns the bytes of a holding that is larger than a size, and 0 for a smaller one.
func bytesAbove(bytes, size int64) int64 {
	if bytes <= size {
		return 0
	}
	return bytes
}
