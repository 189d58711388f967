// Package transporter carries control messages and requests between instances over QUIC.
//
// A control message is sent as a datagram if it fits into one, otherwise on a unidirectional stream. A
// request and its answer share one bidirectional stream, so that an answer belongs to the request of its
// stream whatever the order of answers. A datagram, a message on a stream, the data of a request and an
// answer are each one CBOR value, so that one that is cut off does not decode.
//
// Start in transporter.go, which has the Transport. tls.go has the certificates by which instances
// authenticate each other, and anonymous.go the configuration for platforms without certificates.
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

	"github.com/turmericlift/turmericlift/rationer"
	"github.com/turmericlift/turmericlift/supervisor"
)

const (
	// maxMessageBytes is the largest size of a control message on a stream, a request or an answer.
	maxMessageBytes = 80 << 20
	// messageTimeout bounds the time in which a message or request arrives on its stream.
	messageTimeout = 30 * time.Second
	// idleTimeout is the time without traffic after which a connection is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the time to establish a connection to a peer.
	dialTimeout = time.Second
	// maxStreams is the largest number of requests that one connection of a peer may have under way, and
	// the largest number of its control messages on streams.
	maxStreams = 4096
)

// Handler handles the messages and requests of peers. Its methods are called concurrently.
type Handler interface {
	// HandleMessage handles a control message.
	HandleMessage(data []byte)
	// HandleRequest returns the answer to a request. ctx ends when the peer no longer waits for the answer.
	HandleRequest(ctx context.Context, kind Kind, data []byte) []byte
}

// Kind is the kind of a request, and the first byte on its stream.
type Kind byte

// The kinds of requests.
const (
	KindRequest Kind = 1 // A caller's request, forwarded to a coordinator.
	KindRecord  Kind = 2 // A call of package recorder to a journal writer.
	KindCopy    Kind = 3 // A request for another instance's copies of the platform's objects.
	KindQuota   Kind = 4 // A call of package rentier to the distributor of the tenants' quotas.
	// KindEvidence asks how old the evidence is that another instance's configuration is current.
	KindEvidence Kind = 5
)

// UnreachableError reports that a peer could not be reached and has not received the message or request.
type UnreachableError struct {
	Address string
	Err     error // The cause.
}

// Error returns a message with the address and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s cannot be reached: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// Transport holds one instance's connections to its peers. Send, Call and Drop are safe for concurrent use.
type Transport struct {
	quic     *quic.Transport
	listener *quic.Listener
	tls      *tls.Config
	handler  Handler
	memory   *rationer.Rationer // For what peers send on streams.

	mu    sync.Mutex
	peers map[string]*peer
	tasks *supervisor.Group // Set by Run.
	done  chan error
}

// peer holds the outgoing connection to one address.
type peer struct {
	dialing sync.Mutex // Serialises the attempts to establish the connection.
	mu      sync.Mutex
	conn    *quic.Conn
}

// New returns a Transport that listens at a UDP address, host:port. Run must be called to accept
// connections and, at the end, to close the socket. Messages, requests and answers on streams are held
// within the bound of memory; what does not fit is lost like a message of a peer that ends.
func New(address string, config *tls.Config, handler Handler, memory *rationer.Rationer) (*Transport, error) {
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
		quic: qt, listener: listener, tls: config, handler: handler, memory: memory,
		peers: map[string]*peer{}, done: make(chan error, 1),
	}, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout: idleTimeout, HandshakeIdleTimeout: dialTimeout,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: maxStreams, EnableDatagrams: true,
	}
}

// Address returns the UDP address at which the Transport listens.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Done returns the channel on which Run sends one value when it has ended: nil, or the error of closing
// the connections.
func (t *Transport) Done() <-chan error { return t.done }

// Run accepts connections and handles their messages and requests until ctx ends. It then closes all
// connections, waits for the calls of the Handler to return, and reports its end on Done. It must be
// called once.
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

// serve starts the goroutines that receive the datagrams and both kinds of streams of a connection until
// it ends.
func (t *Transport) serve(conn *quic.Conn) {
	t.tasks.Go(func(ctx context.Context) { t.receiveDatagrams(ctx, conn) })
	t.tasks.Go(func(ctx context.Context) { t.acceptMessages(ctx, conn) })
	t.tasks.Go(func(ctx context.Context) { t.acceptRequests(ctx, conn) })
}

// receiveDatagrams handles the control messages that arrive as datagrams.
func (t *Transport) receiveDatagrams(ctx context.Context, conn *quic.Conn) {
	for {
		data, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		t.handler.HandleMessage(data)
	}
}

// acceptMessages handles the control messages that arrive on unidirectional streams.
func (t *Transport) acceptMessages(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		t.tasks.Go(func(context.Context) {
			held := t.memory.Open()
			defer held.Close()
			_ = stream.SetReadDeadline(time.Now().Add(messageTimeout)) // It fails only on a stream that has ended.
			if data, err := readAll(stream, held); err == nil {
				t.handler.HandleMessage(data)
			} else {
				stream.CancelRead(0)
			}
		})
	}
}

// acceptRequests handles the requests that arrive on bidirectional streams.
func (t *Transport) acceptRequests(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		t.tasks.Go(func(context.Context) { t.serveRequest(stream) })
	}
}

// serveRequest reads a request from its stream and writes the answer. If the request is cut off or empty,
// it resets the stream.
func (t *Transport) serveRequest(stream *quic.Stream) {
	held := t.memory.Open()
	defer held.Close()
	_ = stream.SetReadDeadline(time.Now().Add(messageTimeout)) // It fails only on a stream that has ended.
	data, err := readAll(stream, held)
	if err != nil || len(data) == 0 {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return
	}
	// The stream's context ends when the peer stops reading the answer.
	reply := t.handler.HandleRequest(stream.Context(), Kind(data[0]), data[1:])
	if _, err := stream.Write(reply); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
}

// readAll reads a stream to its end into memory that is counted in held. It returns an error if the stream has more than
// maxMessageBytes, or does not fit the memory that is left.
func readAll(r io.Reader, held *rationer.Holding) ([]byte, error) {
	data, err := held.ReadAll(io.LimitReader(r, maxMessageBytes+1), -1)
	if err != nil {
		return nil, fmt.Errorf("read stream: %w", err)
	}
	if len(data) > maxMessageBytes {
		return nil, fmt.Errorf("read stream: message has more than the allowed %d bytes", maxMessageBytes)
	}
	return data, nil
}

// Send sends a control message to a peer, to which it connects if need be. It returns an
// UnreachableError if nothing was sent. The message may be lost without an error.
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

// Call sends a request to a peer, to which it connects if need be, and returns the answer. An
// UnreachableError reports that the peer has not received the request; with any other error it may have
// received and handled it.
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
	held := t.memory.Open()
	defer held.Close()
	reply, err := readAll(stream, held)
	if err != nil {
		stream.CancelRead(0)
		return nil, fmt.Errorf("call %s: %w", address, errors.Join(err, ctx.Err()))
	}
	return reply, nil
}

// connect returns the open connection to an address, or establishes one. Of concurrent
// calls for one address, only one at a time tries to connect. An error is an UnreachableError.
func (t *Transport) connect(ctx context.Context, address string) (*quic.Conn, error) {
	p := t.peer(address)
	if conn := p.openConn(); conn != nil {
		return conn, nil
	}
	p.dialing.Lock()
	defer p.dialing.Unlock()
	if conn := p.openConn(); conn != nil {
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

// dial establishes a connection to an address within dialTimeout.
func (t *Transport) dial(ctx context.Context, address string) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := t.quic.Dial(ctx, udp, t.tls, quicConfig())
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	return conn, nil
}

// peer returns the peer at an address, which it creates if there is none.
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

// openConn returns the connection to the peer, or nil if there is none or it has ended.
func (p *peer) openConn() *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		return nil
	}
	return p.conn
}

// Drop closes the connection to a peer that is dead, so that calls to it end at once. It does not stop an
// attempt to connect that is under way: a connection from it can be dropped by a later Drop.
func (t *Transport) Drop(address string) {
	t.mu.Lock()
	p, ok := t.peers[address]
	t.mu.Unlock()
	if !ok {
		return
	}
	if conn := p.openConn(); conn != nil {
		_ = conn.CloseWithError(0, "peer is dead")
	}
}
