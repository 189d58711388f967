package pipeliner

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// headSlack is added to the bound of a head, as net/http does: its buffer may already have a part of it.
const headSlack = 4096

// errHeadTooLarge says that the head of a request is larger than the bound.
var errHeadTooLarge = errors.New("the head is larger than the bound")

// headError is a request that is answered with a status without running.
type headError struct {
	status int
	text   string
}

func (e headError) Error() string { return e.text }

// readHead reads the head of the next request, of which a part has arrived.
func (c *conn) readHead() (*http.Request, error) {
	c.in.beginHead(int64(c.server.settings.MaxHeaderBytes) + headSlack)
	if c.lastMethod == http.MethodPost {
		// Some callers send a line break after a body, which belongs to neither request.
		peek, _ := c.reader.Peek(4) // ReadRequest meets the same error.
		_, _ = c.reader.Discard(len(peek) - len(strings.TrimLeft(string(peek), "\r\n")))
	}
	r, err := http.ReadRequest(c.reader)
	switch {
	case err != nil && c.in.hitLimit:
		return nil, errHeadTooLarge
	case err != nil:
		return nil, err
	}
	c.lastMethod = r.Method
	return r, checkHead(r)
}

// checkHead checks what http.ReadRequest leaves to net/http's server. A host of an absolute target hides the field Host from
// it, so that a request without this field passes.
func checkHead(r *http.Request) error {
	switch {
	case r.ProtoMajor != 1:
		return headError{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	case r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != http.MethodConnect:
		return headError{http.StatusBadRequest, "missing required Host header"}
	case strings.ContainsFunc(r.Host, isInvalidInHost):
		return headError{http.StatusBadRequest, "malformed Host header"}
	}
	for name := range r.Header {
		if strings.Contains(name, " ") { // The only invalid byte that http.ReadRequest lets pass.
			return headError{http.StatusBadRequest, "invalid header name"}
		}
	}
	if expect := r.Header.Get("Expect"); expect != "" && !expectsContinue(expect) {
		return headError{http.StatusExpectationFailed, ""}
	}
	return nil
}

// isInvalidInHost reports whether a character cannot be part of a host, by the lenient rule of net/http.
func isInvalidInHost(c rune) bool {
	return (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && !strings.ContainsRune("!$%&()*+,-.:;=[']_~", c)
}

// expectsContinue reports whether a caller waits for the status 100 before it sends a body.
func expectsContinue(expect string) bool {
	return slices.ContainsFunc(strings.Split(expect, ","), func(token string) bool {
		return strings.EqualFold(strings.TrimSpace(token), "100-continue")
	})
}

// errorAnswer returns the answer to a request whose head could not be read, or nothing if the caller has left. The texts are
// those of net/http.
func errorAnswer(err error) (answer string, status int) {
	const headers = "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"
	var malformed headError
	var broken *net.OpError
	switch {
	case errors.Is(err, errHeadTooLarge):
		status, answer = http.StatusRequestHeaderFieldsTooLarge, "431 Request Header Fields Too Large"
	case errors.As(err, &malformed):
		status = malformed.status
		if malformed.text == "" {
			return fmt.Sprintf("HTTP/1.1 %d %s\r\nDate: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status),
				time.Now().UTC().Format(http.TimeFormat)), status
		}
		line := fmt.Sprintf("%d %s: %s", status, http.StatusText(status), malformed.text)
		return "HTTP/1.1 " + line + headers + line, status
	case isUnsupportedEncoding(err):
		status = http.StatusNotImplemented
		return "HTTP/1.1 501 Not Implemented" + headers + "Unsupported transfer encoding", status
	case errors.Is(err, io.EOF), isTimeout(err), errors.As(err, &broken):
		return "", 0
	default:
		status, answer = http.StatusBadRequest, "400 Bad Request"
	}
	return "HTTP/1.1 " + answer + headers + answer, status
}

// isUnsupportedEncoding reports whether a body has an encoding that net/http does not know. net/http does not export the error.
func isUnsupportedEncoding(err error) bool {
	return strings.HasPrefix(err.Error(), "unsupported transfer encoding") || strings.HasPrefix(err.Error(), "too many transfer encodings")
}
