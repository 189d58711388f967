package connector_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/turmericlift/turmericlift/connector"
)

// partsConn is a connection from which parts are read, one by one.
type partsConn struct {
	net.Conn
	parts [][]byte
}

func (c *partsConn) Read(p []byte) (int, error) {
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	if c.parts[0] = c.parts[0][n:]; len(c.parts[0]) == 0 {
		c.parts = c.parts[1:]
	}
	return n, nil
}

func (c *partsConn) SetWriteDeadline(time.Time) error { return nil }

// parsedAnswer is an answer as net/http reads it.
type parsedAnswer struct {
	Status int
	Header http.Header
	Rest   string // What follows the head.
}

// readAnswer reads an answer behind its interim ones.
func readAnswer(r *bufio.Reader) (parsedAnswer, error) {
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return parsedAnswer{}, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		_ = resp.Body.Close() // The bodies here have no length: closing them reads nothing.
		rest, err := io.ReadAll(r)
		return parsedAnswer{resp.StatusCode, resp.Header, string(rest)}, err
	}
}

// malformedLine finds a line of a head that does not begin with a field's name and a colon.
var malformedLine = regexp.MustCompile("(?m)^[^\\n\\r!#$%&'*+.^_`|~0-9a-zA-Z-]|^[^:\\n\\r]+[^:\\n\\r!#$%&'*+.^_`|~0-9a-zA-Z-][^:\\n\\r]*:")

// TestHeadsAgainstNetHTTP compares a Conn with net/http alone, for random heads that arrive in random parts. It guards against
// heads that end elsewhere for the check than for net/http, and against well-formed heads that are rejected.
func TestHeadsAgainstNetHTTP(t *testing.T) {
	t.Parallel()
	piece := rapid.SampledFrom([]string{"A", "b-1", ":", ":", " ", "\t", "\r", "\n", "\r\n", "\r\n", "\r\n", "x: y\r\n", "Odd Name: z\r\n", " fold\r\n", "\x00", "HTTP/1.1 200 OK\r\n", "\r\n\r\n"})
	status := rapid.SampledFrom([]string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1   200\r\n", "HTTP/1.0 404 \n", "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n", "HTTP/1.1  100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"})
	rapid.Check(t, func(t *rapid.T) {
		begin := status.Draw(t, "Status")
		fields := strings.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "Fields"), "") + "\r\n\r\nrest: of it"
		text := []byte(begin + fields)
		conn := &partsConn{}
		for left := text; len(left) > 0; {
			n := rapid.IntRange(1, len(left)).Draw(t, "Part")
			conn.parts = append(conn.parts, left[:n])
			left = left[n:]
		}
		c := connector.New(conn)
		if err := c.BeginAnswer(nil); err != nil {
			t.Fatal(err)
		}
		got, err := readAnswer(bufio.NewReader(c))
		want, wantErr := readAnswer(bufio.NewReader(bytes.NewReader(text)))
		head := fields[:len(fields)-len(want.Rest)]
		isMalformed := wantErr != nil || malformedLine.MatchString(head)
		switch {
		case isMalformed && err == nil:
			t.Fatalf("%q: no error", text)
		case !isMalformed && err != nil:
			t.Fatalf("%q: %v", text, err)
		case !isMalformed && !reflect.DeepEqual(got, want):
			t.Fatalf("%q: %+v, want %+v", text, got, want)
		}
	})
}
