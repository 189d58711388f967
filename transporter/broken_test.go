package transporter

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
)

// startPeer runs a peer that hands the stream of each request, of which it has read the kind, to answer. It returns its address.
func startPeer(t *testing.T, id Identity, answer func(*quic.Conn, *quic.Stream)) string {
	t.Helper()
	config, err := id.TLSConfig()
	if err != nil {
		t.Fatal(err)
	}
	l, err := quic.ListenAddr("127.0.0.1:0", config, quicConfig())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := l.Accept(ctx)
			if err != nil {
				return
			}
			stream, err := conn.AcceptStream(ctx)
			if err != nil {
				return
			}
			if _, err := io.ReadFull(stream, make([]byte, 1)); err == nil {
				answer(conn, stream)
			}
		}
	}()
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		<-ended
	})
	return l.Addr().String()
}

// TestBrokenAnswers guards against a part of an answer that counts as the whole one: its stream or connection ends early, while
// the request may still be on its way.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	const part = "part of the answer"
	cases := map[string]struct {
		end func(*quic.Conn, *quic.Stream)
		ok  bool
	}{
		"Whole": {func(_ *quic.Conn, s *quic.Stream) { _, _ = io.Copy(io.Discard, s); _ = s.Close() }, true},
		"Reset": {func(_ *quic.Conn, s *quic.Stream) {
			s.CancelRead(0)
			s.CancelWrite(0)
		}, false},
		"ConnectionClosed": {func(c *quic.Conn, _ *quic.Stream) { _ = c.CloseWithError(0, "") }, false},
	}
	for name, c := range cases {
		for size, bytesSent := range map[string]int{"Small": 10, "Upload": 8 << 20} {
			t.Run(name+size, func(t *testing.T) {
				t.Parallel()
				ids := newTestIdentities(t, 2)
				a, _ := startTransport(t, ids[0])
				address := startPeer(t, ids[1], func(conn *quic.Conn, s *quic.Stream) {
					_, _ = io.WriteString(s, part)
					time.Sleep(20 * time.Millisecond) // The part is on its way.
					c.end(conn, s)
				})
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				reply, err := a.Call(ctx, address, KindRequest, bytes.Repeat([]byte("x"), bytesSent))
				if (err == nil) != c.ok || c.ok && string(reply) != part {
					t.Errorf("answer %q, %v; want the whole answer: %t", reply, err, c.ok)
				}
				if ctx.Err() != nil {
					t.Error("the call ended only at its deadline")
				}
			})
		}
	}
}
