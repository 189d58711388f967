package connector_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/connector"
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/sender"
	"github.com/turmericlift/turmericlift/storer"
)

// errNotRan is the error of a request of package sender whose outcome is not Ran.
var errNotRan = errors.New("outcome is not Ran")

// settleTime is how long the reading of a streamed answer waits, so that a reset arrives before.
const settleTime = 30 * time.Millisecond

// readFunc sends a request to the server at an address, which plays a script, and returns the body of the answer.
type readFunc func(ctx context.Context, address string, s imitator.AnswerScript) (string, error)

var readers = map[string]readFunc{
	"Exchanger": func(ctx context.Context, address string, s imitator.AnswerScript) (string, error) {
		p := exchanger.NewPool(address, 1, time.Now)
		defer p.Close()
		a, err := p.Do(ctx, &exchanger.Request{Method: http.MethodPost, Target: "/x", Host: "h", Body: upload(s)})
		if err != nil || a.Rest == nil {
			return string(a.Body), err
		}
		defer a.Close()
		time.Sleep(settleTime)
		rest, err := io.ReadAll(a.Rest)
		return string(a.Body) + string(rest), err
	},
	"Sender": func(ctx context.Context, address string, s imitator.AnswerScript) (string, error) {
		a := sender.New(1).SendRequest(ctx, address, answerer.Request{Method: http.MethodPost, Path: "/x", Body: upload(s)}, sender.Fencing{}, 1<<20)
		if a.Outcome != answerer.Ran {
			return "", fmt.Errorf("%w: %v, %s", errNotRan, a.Outcome, a.Detail)
		}
		return string(a.Body), nil
	},
	"Store": func(ctx context.Context, address string, s imitator.AnswerScript) (string, error) {
		transport := connector.NewTransport(&http.Transport{}, (&net.Dialer{}).DialContext)
		c := storer.New("http://"+address, &http.Client{Transport: transport}, storer.Budget{CallsPerSecond: 1000, Burst: 1000}, 10*time.Second)
		if s.UploadBytes == 0 {
			o, err := c.Read(ctx, "x")
			return string(o.Data), err
		}
		_, err := c.Write(ctx, "x", 0, upload(s)[:storer.MaxValueSize])
		return s.Body, err // A write does not return the body.
	},
}

// upload returns the body of the request to a script.
func upload(s imitator.AnswerScript) []byte { return []byte(imitator.RepeatedBody(s.UploadBytes)) }

// TestAnswers plays the scripts of a server with broken answers, and with sound ones beside them, to whatever reads answers.
// It guards against a broken answer that is taken for a sound one, and the other way round.
func TestAnswers(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("_fixtures/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, file := range files {
		scripts, err := imitator.ReadAnswerScripts(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range scripts {
			for name, read := range readers {
				t.Run(strings.TrimSuffix(filepath.Base(file), ".txt")+"/"+s.Name+name, func(t *testing.T) {
					t.Parallel()
					want := s.Verdict
					if want == imitator.AnswerReset && name == "Exchanger" {
						want = imitator.AnswerSound
					}
					play(t, s, read, want)
				})
			}
		}
	}
}

// attempts is how often each script is played: in some of them, a reader and a writer of a connection race.
const attempts = 10

// play plays a script and checks what a reader takes its answer for.
func play(t *testing.T, s imitator.AnswerScript, read readFunc, want imitator.AnswerVerdict) {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	address, ended, err := imitator.ServeAnswerScript(ctx, s)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		stop()
		<-ended
	}()
	for range attempts {
		body, err := read(ctx, address, s)
		if ctx.Err() != nil {
			t.Fatalf("the request ended only at its deadline: %v", err)
		}
		isWhole := err == nil && body == s.Body
		switch {
		case want == imitator.AnswerSound && !isWhole:
			t.Fatalf("answer of %d bytes, %v; want the whole answer", len(body), err)
		case want == imitator.AnswerBroken && err == nil:
			t.Fatalf("answer of %d bytes; want an error", len(body))
		case want == imitator.AnswerReset && err == nil && !isWhole:
			t.Fatalf("answer of %d bytes; want the whole answer or an error", len(body))
		}
	}
}
