package exchanger

import (
	"errors"
	"io"
)

// maxHeadBytes bounds the status line and the headers of an answer, in bytes. net/http bounds neither when it reads an
// answer from a connection.
const maxHeadBytes = 64 << 10

var errHeadTooLarge = errors.New("head of the answer is larger than 64 KiB")

// headLimiter reads from a connection. Between begin and end it fails once more than maxHeadBytes have been read.
type headLimiter struct {
	conn    io.Reader
	limited bool
	left    int
}

func (h *headLimiter) begin() { h.limited, h.left = true, maxHeadBytes }

func (h *headLimiter) end() { h.limited = false }

// Read implements io.Reader.
func (h *headLimiter) Read(p []byte) (int, error) {
	if !h.limited {
		return h.conn.Read(p)
	}
	if h.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := h.conn.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}
