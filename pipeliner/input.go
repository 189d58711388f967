package pipeliner

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// input reads from a connection. It bounds the heads of requests in size and time, and knows when bytes arrived. It is used by
// the goroutine that reads requests, and by the handler of a request while that reads its body.
type input struct {
	rwc     net.Conn
	clock   func() time.Time
	timeout time.Duration // For the rest of a head.
	left    func()        // Called when a read shows that the caller has left.

	total    int64 // Bytes read so far.
	readAt   time.Time
	remain   int64 // Bytes that may still be read for the head that is being read.
	inHead   bool
	timed    bool // The read deadline is that of the head.
	hitLimit bool
}

// beginHead says that the bytes which follow belong to the head of a request of at most limit bytes, beside those that were
// read before.
func (in *input) beginHead(limit int64) {
	in.inHead, in.timed, in.remain, in.hitLimit = true, false, limit, false
}

// endHead says that the head was read. It reports whether the read deadline was changed.
func (in *input) endHead() bool {
	in.inHead = false
	return in.timed
}

// Read implements io.Reader. Most heads arrive in one piece: the deadline of a head is only set if a second read is needed.
func (in *input) Read(p []byte) (int, error) {
	if in.inHead {
		if in.remain <= 0 {
			in.hitLimit = true
			return 0, io.EOF
		}
		p = p[:min(int64(len(p)), in.remain)]
		if !in.timed {
			in.timed = true
			_ = in.rwc.SetReadDeadline(time.Now().Add(in.timeout)) // It fails only if the connection is closed, as does the read.
		}
	}
	n, err := in.rwc.Read(p)
	if n > 0 {
		in.total += int64(n)
		in.remain -= int64(n)
		in.readAt = in.clock()
	}
	if err != nil && !isTimeout(err) {
		in.left()
	}
	return n, err
}

// isTimeout reports whether an error says that the read deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
