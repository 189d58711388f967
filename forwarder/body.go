package forwarder

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/rationer"
)

const (
	// defaultBodyProgressTime is the time in which further bytes of a body must arrive where the configuration has no time
	// for the headers, which bounds it otherwise. It is several times what TCP needs to send a lost segment again.
	defaultBodyProgressTime = 3 * time.Second
	// maxDiscardedBytes is the largest part of a refused body that is read: the largest body of the platform's configuration.
	maxDiscardedBytes = 64 << 20
	// refusalLogInterval is the time between two log lines on refused bodies.
	refusalLogInterval = 100 * time.Millisecond
)

// bodyReader reads a caller's body. Each read must end within progressTime and before the deadline.
type bodyReader struct {
	io.Reader
	caller       *http.ResponseController
	held         *rationer.Holding
	deadline     time.Time
	progressTime time.Duration
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if err := b.arm(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// arm sets the time at which the next read ends. It fails if the memory of the body is revoked.
func (b *bodyReader) arm() error {
	at := time.Now().Add(b.progressTime)
	if at.After(b.deadline) {
		at = b.deadline
	}
	// Not all writers have deadlines: those that have none are not bounded.
	return b.held.Unless(func() { _ = b.caller.SetReadDeadline(at) })
}

// readBody reads a caller's body, whose bytes are counted in held. The result is not nil if the body cannot be read: it is
// larger than the limit, does not arrive within the given time or makes no progress, or does not fit the memory.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, id string, within time.Duration, limits director.Limits, held *rationer.Holding) ([]byte, *result) {
	limit := max(limits.MaxBodyBytes, 1)
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, f.bodyTooLarge(id, limit, r.ContentLength)
	}
	progressTime := limits.HeaderTimeout
	if progressTime <= 0 {
		progressTime = defaultBodyProgressTime
	}
	caller := http.NewResponseController(w)
	held.AllowRevocation(f.clock, func() { _ = caller.SetReadDeadline(time.Unix(1, 0)) })
	in := &bodyReader{http.MaxBytesReader(w, r.Body, limit), caller, held, time.Now().Add(within), progressTime}
	err := in.arm()
	var body []byte
	if err == nil {
		body, err = held.ReadAll(in, r.ContentLength)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, rationer.ErrExhausted): // The deadline stays for the rest of the body.
		if n, ok := f.refusals.Allow(f.clock()); ok {
			f.log.WithFields(logrus.Fields{"ID": id, "Length": r.ContentLength, "HeldBytes": f.memory.Held(), "LimitBytes": f.memory.Limit(), "Suppressed": n}).Warning("body does not fit the memory that is left for requests, it was not read to its end")
		}
		return nil, &result{code: answerer.CodeMemoryFull, status: http.StatusServiceUnavailable, retryAfter: memoryRetryAfter, detail: "the instance has no memory for the body at present; the request was not sent"}
	case errors.Is(err, rationer.ErrRevoked), errors.Is(err, os.ErrDeadlineExceeded): // The deadline stays, or net/http would wait for the rest of the body before it answers.
		if n, ok := f.refusals.Allow(f.clock()); ok {
			f.log.WithFields(logrus.Fields{"ID": id, "Length": r.ContentLength, "ProgressMs": progressTime.Milliseconds(), "WithinMs": within.Milliseconds(), "Error": err, "Suppressed": n}).Warning("body did not arrive in time, the request was not sent")
		}
		return nil, &result{code: answerer.CodeExpired, status: http.StatusRequestTimeout, detail: "the body stopped arriving or did not arrive before the deadline; the request was not sent"}
	}
	// net/http goes on reading from the connection, to notice that the caller leaves.
	_ = caller.SetReadDeadline(time.Time{})
	switch {
	case errors.As(err, &tooLarge):
		return nil, f.bodyTooLarge(id, limit, r.ContentLength)
	case err != nil:
		return nil, &result{code: answerer.CodeBadRequest, status: http.StatusBadRequest, detail: "the body ended early or could not be read"}
	}
	return body, nil
}

// bodyTooLarge returns the answer to a request whose body is larger than the limit. length is -1 if it is not known.
func (f *Forwarder) bodyTooLarge(id string, limit, length int64) *result {
	if n, ok := f.refusals.Allow(f.clock()); ok {
		f.log.WithFields(logrus.Fields{"ID": id, "LimitBytes": limit, "Length": length, "Suppressed": n}).Warning("body is larger than the limit, the request was not sent")
	}
	return &result{code: answerer.CodeBodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: fmt.Sprintf("the body is larger than the limit of %d bytes", limit)}
}

// discardBody sends the answer and reads the rest of a body that was refused, until the read deadline and up to a number of
// bytes: closing the connection while the caller still sends would reset it, and the caller might lose the answer.
func discardBody(w http.ResponseWriter, r *http.Request, limit int64) {
	if err := http.NewResponseController(w).Flush(); err != nil {
		return // The caller has left.
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, limit)) // An error means that the caller has left, or that its time is over.
}
