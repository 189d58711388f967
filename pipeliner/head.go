package pipeliner

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// headPlan is what the head of an answer has beside the handler's header, by the rules of net/http's server.
type headPlan struct {
	header        http.Header
	exclude       map[string]bool // Fields of header that are not written.
	contentType   string
	contentLength int64 // -1 if header has it, or there is none.
	keepsAlive    bool  // HTTP/1.0 only.
	chunked       bool
	closes        bool // The connection cannot be used after the answer.
}

// writeHead writes the head of the answer. first is the begin of the body, and complete says that it is all of it.
func (x *exchange) writeHead(first []byte, complete bool) error {
	if x.headWritten {
		return nil
	}
	x.headWritten = true
	plan := x.planHead(first, complete)
	x.chunked = plan.chunked
	if !plan.closes && x.body != nil && !x.body.discard() {
		plan.closes = true
	}
	c := x.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := x.awaitRoom(); err != nil {
		return err
	}
	if plan.closes {
		c.last = true
		c.wake()
	}
	if x.state != live {
		x.hold(func(b *bytes.Buffer) { plan.write(b, x) })
		x.headEnd = x.held.Len()
		return nil
	}
	if !x.deadlineApplied {
		c.applyWriteDeadline(x, false)
	}
	x.sent = true
	closes := c.last && x.next == nil && x.req.ProtoAtLeast(1, 1)
	var err error
	c.unlocked(func() {
		plan.write(c.writer, x)
		err = c.write(headTail(closes))
	})
	return err
}

// planHead returns what the head has.
func (x *exchange) planHead(first []byte, complete bool) headPlan {
	h := x.snapshot
	if h == nil {
		h = x.header
	}
	p := headPlan{header: h, contentLength: -1}
	isHead, mayHaveBody := x.req.Method == http.MethodHead, bodyAllowed(x.status)
	if complete && mayHaveBody && x.contentLength < 0 && (!isHead || len(first) > 0) {
		x.contentLength = int64(len(first))
		p.contentLength = x.contentLength
	}
	hasLength := x.contentLength >= 0
	x.planConnection(&p, isHead || hasLength || !mayHaveBody)
	p.drop("Transfer-Encoding")
	if !mayHaveBody {
		p.dropBodyFields(x.status)
		return p
	}
	if h["Content-Type"] == nil && h.Get("Content-Encoding") == "" && len(first) > 0 {
		p.contentType = http.DetectContentType(first)
	}
	p.chunked = !isHead && !hasLength && x.req.ProtoAtLeast(1, 1)
	return p
}

// planConnection decides whether the connection can be used after the answer. hasEnd says that the caller can tell the end of
// the answer otherwise.
func (x *exchange) planConnection(p *headPlan, hasEnd bool) {
	p.closes = x.c.server.stopping.Load() || p.header.Get("Connection") == "close"
	p.drop("Connection") // Whether the answer is the last is decided when it is written.
	switch {
	case x.wantsKeepAlive && hasEnd:
		p.keepsAlive = !p.closes
	case x.req.Close || !x.req.ProtoAtLeast(1, 1):
		p.closes = true
	}
}

// dropBodyFields leaves out the fields of a body for a status without one.
func (p *headPlan) dropBodyFields(status int) {
	p.drop("Content-Length")
	if status == http.StatusNotModified {
		p.drop("Content-Type")
	}
}

// drop leaves a field out.
func (p *headPlan) drop(name string) {
	if _, ok := p.header[name]; !ok {
		return
	}
	if p.exclude == nil {
		p.exclude = map[string]bool{}
	}
	p.exclude[name] = true
}

// headWriter is a buffer for heads.
type headWriter interface {
	io.Writer
	io.StringWriter
}

// write writes the head without its end. Errors show with the next write of the connection.
func (p *headPlan) write(w headWriter, x *exchange) {
	var scratch [64]byte
	line := append(scratch[:0], "HTTP/1.1 "...)
	if !x.req.ProtoAtLeast(1, 1) {
		line[len("HTTP/1.")] = '0'
	}
	line = strconv.AppendInt(line, int64(x.status), 10)
	line = append(line, ' ')
	if text := http.StatusText(x.status); text != "" {
		line = append(line, text...)
	} else {
		line = strconv.AppendInt(append(line, "status code "...), int64(x.status), 10)
	}
	_, _ = w.Write(append(line, lineEnd...))
	_ = p.header.WriteSubset(w, p.exclude)
	if p.header["Date"] == nil {
		_, _ = w.Write(append(time.Now().UTC().AppendFormat(append(scratch[:0], "Date: "...), http.TimeFormat), lineEnd...))
	}
	if p.contentLength >= 0 {
		_, _ = w.Write(append(strconv.AppendInt(append(scratch[:0], "Content-Length: "...), p.contentLength, 10), lineEnd...))
	}
	if p.contentType != "" {
		_, _ = w.WriteString("Content-Type: " + p.contentType + "\r\n")
	}
	if p.keepsAlive {
		_, _ = w.WriteString("Connection: keep-alive\r\n")
	}
	if p.chunked {
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	}
}

// bodyAllowed reports whether answers with a status may have a body.
func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}
