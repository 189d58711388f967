package transporter

import (
	"context"
	"errors"
	"testing"
	"time"
)

// echo answers requests with their data and keeps messages.
type echo struct {
	messages chan string
	block    chan struct{} // Requests of "block" wait for it.
}

func (e echo) HandleMessage(data []byte) { e.messages <- string(data) }

func (e echo) HandleRequest(ctx context.Context, kind Kind, data []byte) []byte {
	if string(data) == "block" {
		select {
		case <-e.block:
		case <-ctx.Done():
		}
	}
	return append([]byte{byte(kind)}, data...)
}

func start(t *testing.T, id Identity) (*Transport, echo) {
	t.Helper()
	config, err := id.TLS()
	if err != nil {
		t.Fatal(err)
	}
	h := echo{make(chan string, 10), make(chan struct{})}
	tr, err := New("127.0.0.1:0", config, h)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go tr.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-tr.Done()
	})
	return tr, h
}

func identities(t *testing.T, n int) []Identity {
	t.Helper()
	ids, err := NewIdentities(time.Now(), time.Hour, n)
	if err != nil {
		t.Fatal(err)
	}
	return ids
}

// TestContract sends messages and requests both ways.
func TestContract(t *testing.T) {
	t.Parallel()
	ids := identities(t, 2)
	a, _ := start(t, ids[0])
	b, hb := start(t, ids[1])
	ctx := context.Background()
	if err := a.Send(ctx, b.Address(), []byte("hello")); err != nil {
		t.Fatal(err)
	}
	if got := <-hb.messages; got != "hello" {
		t.Errorf("message %q", got)
	}
	blocked := make(chan string, 1)
	go func() {
		reply, _ := a.Call(ctx, b.Address(), KindRequest, []byte("block"))
		blocked <- string(reply)
	}()
	// A later request is answered first, and each gets its own answer.
	if reply, err := a.Call(ctx, b.Address(), KindRecord, []byte("quick")); err != nil || string(reply) != "\x02quick" {
		t.Errorf("answer %q, %v", reply, err)
	}
	close(hb.block)
	if got := <-blocked; got != "\x01block" {
		t.Errorf("answer %q", got)
	}
}

// TestStrangerIsRefused checks that a peer whose certificate another authority has
// signed gets nothing in.
func TestStrangerIsRefused(t *testing.T) {
	t.Parallel()
	member, hm := start(t, identities(t, 1)[0])
	stranger, _ := start(t, identities(t, 1)[0])
	_, err := stranger.Call(context.Background(), member.Address(), KindRequest, []byte("let me in"))
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) {
		t.Errorf("error %v, want that the peer cannot be reached", err)
	}
	if len(hm.messages) > 0 {
		t.Error("a stranger's message was taken in")
	}
}

// TestDropEndsCalls checks that a call to a peer that is found dead ends, and does
// not claim that the peer has not got it.
func TestDropEndsCalls(t *testing.T) {
	t.Parallel()
	ids := identities(t, 2)
	a, _ := start(t, ids[0])
	b, _ := start(t, ids[1])
	ended := make(chan error, 1)
	go func() {
		_, err := a.Call(context.Background(), b.Address(), KindRequest, []byte("block"))
		ended <- err
	}()
	for {
		a.Drop(b.Address())
		select {
		case err := <-ended:
			var unreachable *UnreachableError
			if err == nil || errors.As(err, &unreachable) {
				t.Errorf("error %v, want one that leaves the outcome open", err)
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// BenchmarkHop measures what the hop from the entry instance to the coordinator adds
// to a request, against handling it in place.
func BenchmarkHop(b *testing.B) {
	ids, err := NewIdentities(time.Now(), time.Hour, 2)
	if err != nil {
		b.Fatal(err)
	}
	ends := make([]*Transport, 2)
	h := echo{make(chan string, 1), nil}
	ctx, cancel := context.WithCancel(context.Background())
	for n := range ends {
		config, err := ids[n].TLS()
		if err != nil {
			b.Fatal(err)
		}
		if ends[n], err = New("127.0.0.1:0", config, h); err != nil {
			b.Fatal(err)
		}
		go ends[n].Run(ctx)
	}
	request := make([]byte, 400)
	b.Run("Direct", func(b *testing.B) {
		for b.Loop() {
			h.HandleRequest(ctx, KindRequest, request)
		}
	})
	b.Run("Hop", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ends[0].Call(ctx, ends[1].Address(), KindRequest, request); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("HopParallel", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := ends[0].Call(ctx, ends[1].Address(), KindRequest, request); err != nil {
					b.Error(err)
				}
			}
		})
	})
	cancel()
	for _, end := range ends {
		<-end.Done()
	}
}
