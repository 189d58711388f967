package rationer_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/rationer"
)

// TestBound guards against holdings that exceed the bound together, that are not returned, or that use the part for small
// ones although they are large: seeded schedules of holdings that grow, shrink and close.
func TestBound(t *testing.T) {
	for seed := range int64(50) {
		rng := rand.New(rand.NewSource(seed))
		const limit = 1 << 20
		r := rationer.New(limit)
		holdings := make([]*rationer.Holding, 20)
		sizes := make([]int64, len(holdings))
		for n := range holdings {
			holdings[n] = r.Open()
		}
		for range 2000 {
			n := rng.Intn(len(holdings))
			size := rng.Int63n([]int64{1000, rationer.SmallBytes, limit}[rng.Intn(3)])
			if holdings[n].Resize(size) {
				sizes[n] = size
			} else if size <= sizes[n] {
				t.Fatalf("seed %d: a smaller holding was refused", seed)
			}
			var sum, large int64
			for _, s := range sizes {
				sum += s
				if s > rationer.SmallBytes {
					large += s
				}
			}
			if sum != r.Held() || sum > limit || large > limit*3/4 {
				t.Fatalf("seed %d: %d bytes held, %d of them large, %d counted", seed, sum, large, r.Held())
			}
		}
		for _, h := range holdings {
			h.Close()
		}
		if r.Held() != 0 {
			t.Fatalf("seed %d: %d bytes held after the end", seed, r.Held())
		}
	}
}

// TestReadAll guards against data that are read wrongly or beyond the bound, with a length and without.
func TestReadAll(t *testing.T) {
	endless := endlessReader{}
	cases := map[string]struct {
		r      io.Reader
		length int64
		want   string
		err    error
	}{
		"Length":        {strings.NewReader("abc"), 3, "abc", nil},
		"NoLength":      {strings.NewReader(strings.Repeat("x", 9000)), -1, strings.Repeat("x", 9000), nil},
		"Empty":         {strings.NewReader(""), -1, "", nil},
		"EndlessLength": {endless, 1 << 40, "", rationer.ErrExhausted},
		"Endless":       {endless, -1, "", rationer.ErrExhausted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := rationer.New(1 << 20)
			h := r.Open()
			data, err := h.ReadAll(c.r, c.length)
			if !errors.Is(err, c.err) || !bytes.Equal(data, []byte(c.want)) {
				t.Errorf("%d bytes, error %v", len(data), err)
			}
			if r.Held() < int64(len(data)) || r.Held() > r.Limit() {
				t.Errorf("%d bytes held for %d", r.Held(), len(data))
			}
			h.Close()
			if r.Held() != 0 {
				t.Errorf("%d bytes held after the end", r.Held())
			}
		})
	}
}

// stallingReader returns some bytes, and then waits until it is interrupted.
type stallingReader struct {
	data      []byte
	stalled   chan<- struct{}
	interrupt <-chan struct{}
}

func (s *stallingReader) Read(p []byte) (int, error) {
	if len(s.data) > 0 {
		n := copy(p, s.data)
		s.data = s.data[n:]
		return n, nil
	}
	s.stalled <- struct{}{}
	<-s.interrupt
	return 0, errors.New("interrupted")
}

// TestRevocation guards against data that never arrive whole and keep others from being read for ever: what has stalled for
// longest is revoked for others, however the bound is exceeded. Data that have arrived are not revoked, nor those that have just
// stalled.
func TestRevocation(t *testing.T) {
	const limit = 1 << 20
	var mu sync.Mutex
	now := time.Unix(1000, 0)
	clock := func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	advance := func(d time.Duration) { mu.Lock(); defer mu.Unlock(); now = now.Add(d) }
	r := rationer.New(limit)
	type result struct {
		n   int
		err error
	}
	results := make([]chan result, 4)
	holdings := make([]*rationer.Holding, 4)
	for n := range results {
		stalled, interrupt := make(chan struct{}, 1), make(chan struct{})
		results[n], holdings[n] = make(chan result, 1), r.Open()
		holdings[n].AllowRevocation(clock, func() { close(interrupt) })
		go func() {
			_, err := holdings[n].ReadAll(&stallingReader{make([]byte, 1000), stalled, interrupt}, 180<<10)
			results[n] <- result{n, err}
		}()
		<-stalled
		advance(100 * time.Millisecond)
	}
	next := func(size int) error {
		h := r.Open()
		defer h.Close()
		h.AllowRevocation(clock, func() {})
		_, err := h.ReadAll(bytes.NewReader(make([]byte, size)), int64(size))
		return err
	}
	if err := next(100 << 10); !errors.Is(err, rationer.ErrExhausted) {
		t.Errorf("data that need the memory of others that have just stalled: %v, want ErrExhausted", err)
	}
	if err := next(rationer.SmallBytes); err != nil {
		t.Errorf("small data: %v", err)
	}
	advance(rationer.StallTime - 300*time.Millisecond) // Two of them have stalled for long enough.
	if err := next(100 << 10); err != nil {
		t.Errorf("data that need the memory of others that have stalled: %v", err)
	}
	if got := <-results[0]; !errors.Is(got.err, rationer.ErrRevoked) {
		t.Errorf("the data that have stalled for longest: %v, want ErrRevoked", got.err)
	}
	if err := holdings[0].Unless(func() { t.Error("the read of revoked data is prolonged") }); !errors.Is(err, rationer.ErrRevoked) {
		t.Errorf("revoked holding: %v", err)
	}
	select {
	case got := <-results[1]:
		t.Errorf("data %d were revoked although their memory was not needed: %v", got.n, got.err)
	default:
	}
	whole := r.Open()
	whole.AllowRevocation(clock, func() { t.Error("data that have arrived are revoked") })
	if _, err := whole.ReadAll(bytes.NewReader(make([]byte, 200<<10)), 200<<10); err != nil {
		t.Errorf("data that need the memory of others that have stalled: %v", err)
	}
	advance(10 * rationer.StallTime)
	if err := next(700 << 10); !errors.Is(err, rationer.ErrExhausted) {
		t.Errorf("data that need the memory of data that have arrived: %v, want ErrExhausted", err)
	}
	for n, h := range holdings {
		if n > 0 {
			<-results[n]
		}
		h.Close()
	}
	whole.Close()
	if r.Held() != 0 {
		t.Errorf("%d bytes held after the end", r.Held())
	}
}

// TestTinyHoldings guards against small incomplete bodies that lock tiny ones out.
func TestTinyHoldings(t *testing.T) {
	r := rationer.New(10 << 20)
	for r.Open().Resize(rationer.SmallBytes) {
	}
	for r.Open().Resize(rationer.TinyBytes + 1) {
	}
	for n := range 100 {
		if !r.Open().Resize(rationer.TinyBytes) {
			t.Fatalf("tiny holding %d is refused beside small ones", n)
		}
	}
}

// endlessReader never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }
