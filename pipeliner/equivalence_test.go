package pipeliner_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"
)

// answers serves answers of many kinds, by the path of the request.
func answers(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, "/read/"), "/write/")
	switch name {
	case "length":
		w.Header().Set("Content-Length", "5")
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "hello")
	case "lengthOnly":
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "hello")
	case "large":
		_, _ = io.WriteString(w, strings.Repeat("x", 300000))
	case "flushed":
		_, _ = io.WriteString(w, "first")
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, "second")
	case "copied":
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.Copy(w, strings.NewReader(strings.Repeat("y", 100000)))
	case "empty":
	case "none":
		w.WriteHeader(http.StatusNoContent)
	case "unmodified":
		w.Header().Set("Content-Length", "7")
		w.WriteHeader(http.StatusNotModified)
	case "close":
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, "last")
	case "short":
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
	case "long":
		w.Header().Set("Content-Length", "2")
		_, err := io.WriteString(w, "more")
		if !errors.Is(err, http.ErrContentLength) {
			panic(err)
		}
		_, _ = io.WriteString(w, "ok")
	case "unread":
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "no route")
	case "limited":
		_, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 100))
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
		_, _ = fmt.Fprintf(w, "%v", err)
	case "abort":
		panic(http.ErrAbortHandler)
	case "abortHalfway":
		_, _ = io.WriteString(w, strings.Repeat("z", 5000))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case "readLate":
		w.Header().Set("Content-Length", "3")
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusOK)
		_, _ = io.Copy(w, r.Body)
	case "odd":
		w.WriteHeader(799)
	case "lateHeader":
		w.Header().Set("A", "1")
		w.WriteHeader(http.StatusOK)
		w.Header().Set("A", "2")
		_, _ = io.WriteString(w, "late")
	default:
		body, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s %s %s %q %v", r.Method, r.Host, r.RequestURI, r.Proto, body, err)
	}
}

// seen is what a caller sees of an answer.
type seen struct {
	Status                               int
	Proto, Body, Type, Length, Encodings string
	Connection, A                        string
	HasDate                              bool
	Err                                  bool // The answer broke off, or there was none.
}

// play sends bytes over a connection, reads the answers to requests with the given methods, and reports whether the connection
// can be used for another request then.
func play(t *testing.T, address, raw string, methods []string) (out []seen, open bool) {
	t.Helper()
	return playBytes(t, address, raw, methods, len(raw))
}

// playBytes is play; it sends pieces of a size, each in a packet of its own.
func playBytes(t *testing.T, address, raw string, methods []string, size int) (out []seen, open bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	for piece := range slices.Chunk([]byte(raw), size) {
		_, _ = c.Write(piece) // The server may close while it is written.
	}
	reader := bufio.NewReader(c)
	for _, method := range methods {
		out = append(out, readAnswer(reader, method))
	}
	_, _ = io.WriteString(c, "GET /probe HTTP/1.1\r\nHost: probe\r\n\r\n")
	probe := readAnswer(reader, http.MethodGet)
	return out, probe.Status == http.StatusOK && strings.Contains(probe.Body, "probe")
}

// readAnswer reads one answer.
func readAnswer(reader *bufio.Reader, method string) seen {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return seen{Err: true}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	s := seen{Status: resp.StatusCode, Proto: resp.Proto, Type: resp.Header.Get("Content-Type"), Length: resp.Header.Get("Content-Length"),
		Encodings: strings.Join(resp.TransferEncoding, ","), Connection: resp.Header.Get("Connection"), A: resp.Header.Get("A"),
		HasDate: resp.Header.Get("Date") != "", Err: err != nil}
	if resp.Close && s.Connection == "" {
		s.Connection = "close" // ReadResponse removes the field.
	}
	if err == nil {
		s.Body = string(body)
	}
	return s
}

const get = http.MethodGet

var equivalenceCases = map[string]struct {
	raw     string
	methods []string
}{
	"Simple":             {"GET /read/x HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Length":             {"GET /read/length HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"LengthOnly":         {"GET /read/lengthOnly HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Large":              {"GET /read/large HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Flushed":            {"GET /read/flushed HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Copied":             {"GET /read/copied HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Empty":              {"GET /read/empty HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"NoContent":          {"GET /read/none HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"NotModified":        {"GET /read/unmodified HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"AnswerCloses":       {"GET /read/close HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"ShortAnswer":        {"GET /read/short HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"LongAnswer":         {"GET /read/long HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Abort":              {"GET /read/abort HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"AbortHalfway":       {"GET /read/abortHalfway HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"OddStatus":          {"GET /read/odd HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"LateHeader":         {"GET /read/lateHeader HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"HeadLength":         {"HEAD /read/length HTTP/1.1\r\nHost: h\r\n\r\n", []string{"HEAD"}},
	"HeadNoLength":       {"HEAD /read/x HTTP/1.1\r\nHost: h\r\n\r\n", []string{"HEAD"}},
	"HeadLarge":          {"HEAD /read/large HTTP/1.1\r\nHost: h\r\n\r\n", []string{"HEAD"}},
	"HeadEmpty":          {"HEAD /read/empty HTTP/1.1\r\nHost: h\r\n\r\n", []string{"HEAD"}},
	"HeadNoContent":      {"HEAD /read/none HTTP/1.1\r\nHost: h\r\n\r\n", []string{"HEAD"}},
	"Pipelined":          {"GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /read/large HTTP/1.1\r\nHost: h\r\n\r\nHEAD /read/large HTTP/1.1\r\nHost: h\r\n\r\nGET /read/4 HTTP/1.1\r\nHost: h\r\n\r\n", []string{get, get, "HEAD", get}},
	"PipelinedWrites":    {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcPOST /write/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\ndeGET /read/3 HTTP/1.1\r\nHost: h\r\n\r\n", []string{"POST", "POST", get}},
	"LineBreakAfterPost": {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc\r\nGET /read/2 HTTP/1.1\r\nHost: h\r\n\r\n", []string{"POST", get}},
	"LineBreakAfterGet":  {"GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: h\r\n\r\n", []string{get, get}},
	"MalformedSecond":    {"GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\n", []string{get, get}},
	"CloseSecond":        {"GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\nGET /read/2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /read/3 HTTP/1.1\r\nHost: h\r\n\r\n", []string{get, get, get}},
	"ChunkedBody":        {"POST /write/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x=y\r\ndefg\r\n0\r\n\r\n", []string{"POST"}},
	"ChunkedTrailer":     {"POST /write/1 HTTP/1.1\r\nHost: h\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\n", []string{"POST"}},
	"ChunkedMalformed":   {"POST /write/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", []string{"POST"}},
	"LargeBody":          {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("b", 20000), []string{"POST"}},
	"ReadLate":           {"POST /write/readLate HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", []string{"POST"}},
	"UnreadBody":         {"POST /write/unread HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", []string{"POST"}},
	"UnreadChunked":      {"POST /write/unread HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", []string{"POST"}},
	"UnreadLarge":        {"POST /write/unread HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\n" + strings.Repeat("b", 400000), []string{"POST"}},
	"LimitedBody":        {"POST /write/limited HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("b", 101), []string{"POST"}},
	"SmugglingLength":    {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", []string{"POST"}},
	"TwoLengths":         {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", []string{"POST"}},
	"SameLengths":        {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", []string{"POST"}},
	"NegativeLength":     {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc", []string{"POST"}},
	"OddLength":          {"POST /write/1 HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", []string{"POST"}},
	"UnknownEncoding":    {"POST /write/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nabc", []string{"POST"}},
	"TwoEncodings":       {"POST /write/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []string{"POST"}},
	"Encoding10":         {"POST /write/1 HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", []string{"POST"}},
	"Continue":           {"POST /write/1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc", []string{"POST", "POST"}},
	"ContinueUnread":     {"POST /write/unread HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n", []string{"POST"}},
	"ContinueNoBody":     {"GET /read/1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n", []string{get}},
	"OtherExpectation":   {"POST /write/1 HTTP/1.1\r\nHost: h\r\nExpect: other\r\nContent-Length: 3\r\n\r\nabc", []string{"POST"}},
	"Old":                {"GET /read/x HTTP/1.0\r\n\r\n", []string{get}},
	"OldLength":          {"GET /read/length HTTP/1.0\r\nHost: h\r\n\r\n", []string{get}},
	"OldLarge":           {"GET /read/large HTTP/1.0\r\n\r\n", []string{get}},
	"OldKeepAlive":       {"GET /read/length HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /read/length HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", []string{get, get}},
	"OldKeepAliveLarge":  {"GET /read/large HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /read/length HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", []string{get, get}},
	"OldKeepAliveBad":    {"GET /read/large HTTP/1.0\r\nConnection: keep-alive\r\n\r\nnonsense\r\n\r\n", []string{get, get}},
	"OldFlushed":         {"GET /read/flushed HTTP/1.0\r\n\r\n", []string{get}},
	"Close":              {"GET /read/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", []string{get}},
	"CloseInList":        {"GET /read/x HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n", []string{get}},
	"Malformed":          {"nonsense\r\n\r\n", []string{get}},
	"MalformedField":     {"GET /read/x HTTP/1.1\r\nHost: h\r\nnocolon\r\n\r\n", []string{get}},
	"SpaceInName":        {"GET /read/x HTTP/1.1\r\nHost: h\r\nA B: c\r\n\r\n", []string{get}},
	"ControlInValue":     {"GET /read/x HTTP/1.1\r\nHost: h\r\nA: \x01\r\n\r\n", []string{get}},
	"NoHost":             {"GET /read/x HTTP/1.1\r\n\r\n", []string{get}},
	"TwoHosts":           {"GET /read/x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", []string{get}},
	"OddHost":            {"GET /read/x HTTP/1.1\r\nHost: h/\x80\r\n\r\n", []string{get}},
	"AbsoluteTarget":     {"GET http://other/read/x?q HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Version2":           {"GET /read/x HTTP/2.0\r\nHost: h\r\n\r\n", []string{get}},
	"Version12":          {"GET /read/x HTTP/1.2\r\nHost: h\r\n\r\n", []string{get}},
	"NoVersion":          {"GET /read/x\r\n\r\n", []string{get}},
	"OddMethod":          {"G@T /read/x HTTP/1.1\r\nHost: h\r\n\r\n", []string{get}},
	"Options":            {"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", []string{"OPTIONS"}},
	"LargeHead":          {"GET /read/x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 40000) + "\r\n\r\n", []string{get}},
	"TooLargeHead":       {"GET /read/x HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 80000) + "\r\n\r\n", []string{get}},
	"TooManyFields":      {"GET /read/x HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("A: b\r\n", 20000) + "\r\n", []string{get}},
	"LineFeeds":          {"GET /read/x HTTP/1.1\nHost: h\n\n", []string{get}},
}

// TestSameAsStandardServer guards against answers that differ from those of net/http's server, which callers are used to: the
// same bytes get the same answers, and the connection can be used afterwards in the same cases.
func TestSameAsStandardServer(t *testing.T) {
	t.Parallel()
	standard := httptest.NewUnstartedServer(http.HandlerFunc(answers))
	standard.Config.MaxHeaderBytes = settings.MaxHeaderBytes
	standard.Config.ErrorLog = nil
	standard.Start()
	t.Cleanup(standard.Close)
	own := start(t, settings, http.HandlerFunc(answers))
	for name, c := range equivalenceCases {
		t.Run(name, func(t *testing.T) {
			want, wantOpen := play(t, standard.Listener.Addr().String(), c.raw, c.methods)
			got, open := play(t, own.address, c.raw, c.methods)
			for i := range want {
				if got[i] != want[i] {
					t.Errorf("answer %d:\n got %s\nwant %s", i, short(got[i]), short(want[i]))
				}
			}
			if open != wantOpen {
				t.Errorf("connection can be used afterwards: %t, want %t", open, wantOpen)
			}
		})
	}
}

// TestSlowBytes guards against requests that are read otherwise if they arrive in small pieces.
func TestSlowBytes(t *testing.T) {
	t.Parallel()
	own := start(t, settings, http.HandlerFunc(answers))
	for name, c := range equivalenceCases {
		if len(c.raw) > 1000 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			want, wantOpen := play(t, own.address, c.raw, c.methods)
			got, open := playBytes(t, own.address, c.raw, c.methods, 1)
			if fmt.Sprint(got, open) != fmt.Sprint(want, wantOpen) {
				t.Errorf("answers %v, open %t; want %v, open %t", got, open, want, wantOpen)
			}
		})
	}
}

// short prints an answer without the most of its body.
func short(s seen) string {
	s.Body = s.Body[:min(len(s.Body), 200)]
	return fmt.Sprintf("%+v", s)
}
