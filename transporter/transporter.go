// Package transporter carries messages and requests between instances over QUIC.
//
// A control message is a datagram if it fits one, else one unidirectional stream; a request and its answer are one
// bidirectional stream, so that answers are matched to requests by the transport
// and never by their order. A datagram, or each side of a stream, is one CBOR value: a
// message that is cut does not decode.
package transporter

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/turmericlift/turmericlift/supervisor"
)

const (
	// maxMessage bounds a control message and a request, in bytes.
	maxMessage = 80 << 20
	// idleTimeout ends a connection that carries nothing.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the time until a connection to a peer is made.
	dialTimeout = time.Second
	// maxStreams bounds the requests that one peer may have under way.
	maxStreams = 4096
)

// Handler takes in what peers send. Its methods are called concurrently.
type Handler interface {
	// HandleMessage takes in a control message.
	HandleMessage(data []byte)
	// HandleRequest answers a request. ctx ends when the peer gives it up.
	HandleRequest(ctx context.Context, kind Kind, data []byte) []byte
}

// Kind says what a request is; it is the first byte on its stream.
type Kind byte

// The kinds of requests.
const (
	KindRequest Kind = 1 // A caller's request on its way to a coordinator.
	KindRecord  Kind = 2 // A call of a journal's keeper.
	KindCopy    Kind = 3 // A call for another instance's copies of the platform's objects.
)

// UnreachableError reports that nothing was sent to a peer.
type UnreachableError struct {
	Address string
	Err     error
}

// Error names the address.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s cannot be reached: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Transport is one instance's end of the connections to all peers.
type Transport struct {
	quic     *quic.Transport
	listener *quic.Listener
	tls      *tls.Config
	handler  Handler

	mu    sync.Mutex
	peers map[string]*peer
	tasks *supervisor.Group // Set by Run.
	done  chan error
}

// peer is the connection to one address. dialing serialises attempts to make it.
type peer struct {
	dialing sync.Mutex
	mu      sync.Mutex
	conn    *quic.Conn
}

// New returns a Transport that listens at a UDP address.
func New(address string, config *tls.Config, handler Handler) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer address %q: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("listen for peers at %q: %w", address, err)
	}
	qt := &quic.Transport{Conn: socket}
	listener, err := qt.Listen(config, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen for peers at %q: %w", address, err)
	}
	return &Transport{
		quic: qt, listener: listener, tls: config, handler: handler,
		peers: map[string]*peer{}, done: make(chan error, 1),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: maxStreams, EnableDatagrams: true,
	}
}

// Address returns the UDP address that peers reach.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Done returns the channel on which Run reports its end.
func (t *Transport) Done() <-chan error { return t.done }

// Run accepts connections until ctx ends, and reports its end on Done.
func (t *Transport) Run(ctx context.Context) {
	t.tasks = supervisor.New(ctx)
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			break
		}
		t.serve(conn)
	}
	_ = t.listener.Close()
	err := t.quic.Close()
	t.tasks.Close()
	_ = t.quic.Conn.Close()
	t.done <- err
}

// serve reads datagrams and both kinds of streams of a connection until it ends.
func (t *Transport) serve(conn *quic.Conn) {
	t.tasks.Go(func(ctx context.Context) { t.receiveDatagrams(ctx, conn) })
	t.tasks.Go(func(ctx context.Context) { t.acceptMessages(ctx, conn) })
	t.tasks.Go(func(ctx context.Context) { t.acceptRequests(ctx, conn) })
}

func (t *Transport) receiveDatagrams(ctx context.Context, conn *quic.Conn) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		t.handler.HandleMessage(data)
	}
}

func (t *Transport) acceptMessages(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		t.tasks.Go(func(context.Context) {
			if data, err := readAll(stream); err == nil {
				t.handler.HandleMessage(data)
			}
		})
	}
}

func (t *Transport) acceptRequests(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		t.tasks.Go(func(context.Context) { t.answer(stream) })
	}
}

func (t *Transport) answer(stream *quic.Stream) {
	data, err := readAll(stream)
	if err != nil || len(data) == 0 {
		stream.CancelWrite(0)
		return
	}
	// The stream's context ends when the peer stops reading its answer.
	reply := t.handler.HandleRequest(stream.Context(), Kind(data[0]), data[1:])
	if _, err := stream.Write(reply); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
}

func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxMessage+1))
	if err != nil {
		return nil, fmt.Errorf("read stream: %w", err)
	}
	if len(data) > maxMessage {
		return nil, fmt.Errorf("read stream: over %d bytes", maxMessage)
	}
	return data, nil
}

// Send sends a control message. It may be lost without an error.
func (t *Transport) Send(ctx context.Context, address string, data []byte) error {
	conn, err := t.connect(ctx, address)
	if err != nil {
		return err
	}
	var tooLarge *quic.DatagramTooLargeError
	if err := conn.SendDatagram(data); !errors.As(err, &tooLarge) {
		if err != nil {
			return &UnreachableError{address, err}
		}
		return nil
	}
	stream, err := conn.OpenUniStream()
	if err != nil {
		return &UnreachableError{address, err}
	}
	if _, err := stream.Write(data); err != nil {
		return fmt.Errorf("send to %s: %w", address, err)
	}
	return stream.Close()
}

// Call sends a request and returns its answer. An UnreachableError says that the
// peer has not got it; any other error leaves that open.
func (t *Transport) Call(ctx context.Context, address string, kind Kind, data []byte) ([]byte, error) {
	conn, err := t.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &UnreachableError{address, err}
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if _, err := stream.Write(append([]byte{byte(kind)}, data...)); err != nil {
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	if err := stream.Close(); err != nil {
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	reply, err := readAll(stream)
	if err != nil {
		stream.CancelRead(0)
		return nil, fmt.Errorf("call %s: %w", address, errors.Join(err, ctx.Err()))
	}
	return reply, nil
}

func (t *Transport) connect(ctx context.Context, address string) (*quic.Conn, error) {
	p := t.peer(address)
	if conn := p.open(); conn != nil {
		return conn, nil
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if conn := p.open(); conn != nil {
		return conn, nil
	}
	conn, err := t.dial(ctx, address)
	if err != nil {
		return nil, &UnreachableError{address, err}
	}
	p.mu.Lock()
	p.conn = conn
	p.mu.Unlock()
	return conn, nil
}

func (t *Transport) dial(ctx context.Context, address string) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.quic.Dial(ctx, udp, t.tls, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return conn, nil
}

func (t *Transport) peer(address string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[address]
	if !ok {
		p = &peer{}
		t.peers[address] = p
	}
	return p
}

func (p *peer) open() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		return nil
	}
	return p.conn
}

// Drop ends the connection to a peer that is dead, so that calls to it end at once. The
// peer stays known: a connection that is being made meanwhile can be dropped later.
func (t *Transport) Drop(address string) {
	t.mu.Lock()
	p, ok := t.peers[address]
	t.mu.Unlock()
	if !ok {
		return
	}
	if conn := p.open(); conn != nil {
		_ = conn.CloseWithError(0, "peer is dead")
	}
}
