package acceptor

import "net/http"

const (
	// headSlack is what the head of a request may have beyond the limit, as in net/http: its buffer may hold the start of the
	// body or of the next request.
	headSlack = 4 << 10
	// minFieldBytes is the size of the shortest header field, a name of one byte, a colon and a line end, so that no head
	// within the limit on its size has more fields than the bound on their number.
	minFieldBytes = 4
	// fieldCost is the memory, in bytes, that a header field uses beyond its text: its entries in the maps of the request, of
	// the headers that are forwarded and of each attempt, and what the garbage collector has not freed of these.
	fieldCost = 512
	// textCopies is how often the text of a head is held: as it arrives, parsed, and as it is sent on.
	textCopies = 3
)

// headCounter counts the bytes and lines of the head of a request as they arrive. An empty line ends the head.
type headCounter struct {
	bytes, fields int
	line          int // Bytes of the present line, without carriage returns.
	done          bool
}

// add counts bytes, and reports whether it did: what follows a head is not counted before the next head begins.
func (h *headCounter) add(p []byte) bool {
	if h.done || len(p) == 0 {
		return false
	}
	for n, b := range p {
		switch {
		case b == '\r':
		case b != '\n':
			h.line++
		case h.line > 0:
			h.fields++
			h.line = 0
		case h.fields > 0: // The empty line after the last field.
			h.bytes += n + 1
			h.done = true
			return true
		}
	}
	h.bytes += len(p)
	return true
}

// cost returns the memory that the head uses.
func (h *headCounter) cost() int64 { return headCost(h.bytes, h.fields) }

// headCost returns the memory that a head with some bytes and fields uses.
func headCost(bytes, fields int) int64 { return int64(textCopies*bytes + fieldCost*fields) }

// parsedCost returns the memory that the parsed head of a request uses. It can be more than what was counted, since a server
// may have read the start of the head with the request before it.
func parsedCost(r *http.Request) int64 {
	bytes, fields := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, v := range values {
			bytes += len(name) + len(v) + minFieldBytes
			fields++
		}
	}
	return headCost(bytes, fields)
}
