package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/imitator"
)

// uploadTable returns a configuration with a route for large bodies that is not idempotent.
func uploadTable() *director.Table {
	return director.New(1, []director.Route{
		{Name: "write", Host: "h", PathPrefix: "/write/", Timeout: 30 * time.Second, TargetLatency: time.Second, MaxAttempts: 1, Shares: []director.Share{{Service: "pool", Weight: 1}}},
	}, []director.Service{{Name: "pool"}}, director.Limits{MaxBodyBytes: 16 << 20})
}

// TestBrokenAnswers plays the scripts of package connector. It guards against a broken answer of a backend server that a caller
// gets as a complete success.
func TestBrokenAnswers(t *testing.T) {
	t.Parallel()
	bothServers(t, testBrokenAnswers)
}

func testBrokenAnswers(t *testing.T, pipelined bool) {
	files, err := filepath.Glob("../connector/_fixtures/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, file := range files {
		scripts, err := imitator.ReadAnswerScripts(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range scripts {
			t.Run(strings.TrimSuffix(filepath.Base(file), ".txt")+"/"+s.Name, func(t *testing.T) {
				t.Parallel()
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				server, ended, err := imitator.ServeAnswerScript(ctx, s)
				if err != nil {
					t.Fatal(err)
				}
				defer func() {
					stop()
					<-ended
				}()
				checkCaller(t, startForwarderTo(t, server, pipelined, uploadTable(), 16<<20), s)
			})
		}
	}
}

// checkCaller checks what a caller of the Forwarder at an address gets when the backend server plays a script.
func checkCaller(t *testing.T, address string, s imitator.AnswerScript) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/write/x", strings.NewReader(imitator.RepeatedBody(s.UploadBytes)))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Left", "30000")
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(r)
	status, body := 0, []byte(nil)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		status = resp.StatusCode
		body, err = io.ReadAll(resp.Body)
	}
	if s.Verdict != imitator.AnswerBroken {
		if err != nil || status != http.StatusOK || string(body) != s.Body {
			t.Errorf("status %d with %d bytes, %v; want the server's answer", status, len(body), err)
		}
		return
	}
	if err == nil && status != http.StatusBadGateway {
		t.Errorf("status %d with %d bytes; want 502 or an answer that breaks off", status, len(body))
	}
}
