package connector

import (
	"bytes"
	"errors"
	"fmt"
)

// errFieldName says that a line of a head does not begin with the name of a field.
var errFieldName = errors.New("malformed field name in the head of an answer")

// headState is the place in the heads of an answer at which a headChecker is.
type headState int

const (
	outsideHead   headState = iota
	inStatusLine            // In the first line of a head.
	atLineStart             // At the beginning of a field's line, or of the empty line that ends the head.
	inEmptyLine             // Behind the carriage return of that line.
	inFieldName             // Behind the first byte of a field's name.
	inFieldValue            // Behind the colon.
	inBrokenField           // Behind a byte that is in no field's name.
)

// interimStart is the begin of a status line of an interim answer, which another head follows.
const interimStart = "HTTP/1.1 1"

// headChecker checks the names of the fields in the heads of an answer: those of its interim answers and its own. net/http
// accepts names that hold blanks, and lines that begin with a blank or a tab, as continuations. It would pass over a field with
// such a name, or miss the length of the body. The rest of a head is left to it.
type headChecker struct {
	state      headState
	statusLine []byte // The begin of the status line, with one blank for several, as net/http reads it.
}

// begin makes the next byte the first one of an answer.
func (h *headChecker) begin() { h.state, h.statusLine = inStatusLine, h.statusLine[:0] }

// check checks the next bytes of the connection. It returns how many of them precede the first malformed field name, with an
// error if there is one.
func (h *headChecker) check(p []byte) (int, error) {
	for n := 0; n < len(p) && h.state != outsideHead; n++ {
		if h.state == inFieldValue { // Skips to the end of the line.
			end := bytes.IndexByte(p[n:], '\n')
			if end < 0 {
				return len(p), nil
			}
			n += end
		}
		h.step(p[n])
		if h.state == inBrokenField {
			return n, fmt.Errorf("%w: unexpected byte %q", errFieldName, p[n])
		}
	}
	return len(p), nil
}

// step moves on by one byte.
func (h *headChecker) step(b byte) {
	switch h.state {
	case inStatusLine:
		h.stepStatusLine(b)
	case atLineStart:
		switch {
		case b == '\n':
			h.end()
		case b == '\r':
			h.state = inEmptyLine
		case isNameByte[b]:
			h.state = inFieldName
		default:
			h.state = inBrokenField
		}
	case inEmptyLine:
		h.state = inBrokenField // A carriage return is in no name.
		if b == '\n' {
			h.end()
		}
	case inFieldName:
		switch {
		case b == ':':
			h.state = inFieldValue
		case !isNameByte[b]:
			h.state = inBrokenField
		}
	case inFieldValue:
		if b == '\n' {
			h.state = atLineStart
		}
	case outsideHead, inBrokenField:
	}
}

// stepStatusLine moves on by one byte of the status line.
func (h *headChecker) stepStatusLine(b byte) {
	if b == '\n' {
		h.state = atLineStart
		return
	}
	isRepeated := b == ' ' && bytes.HasSuffix(h.statusLine, []byte(" "))
	if len(h.statusLine) < len(interimStart) && !isRepeated {
		h.statusLine = append(h.statusLine, b)
	}
}

// end ends a head. Another one follows that of an interim answer.
func (h *headChecker) end() {
	if isInterim(h.statusLine) {
		h.begin()
		return
	}
	h.state = outsideHead
}

// isInterim reports whether a status line is that of an interim answer, in any version of HTTP/1.
func isInterim(line []byte) bool {
	const version = len("HTTP/1.1")
	return len(line) == len(interimStart) && string(line[version:]) == interimStart[version:]
}

// isNameByte has the bytes that a field's name may hold (RFC 9110, section 5.6.2).
var isNameByte = nameBytes()

func nameBytes() (set [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[b] = true
	}
	return set
}
