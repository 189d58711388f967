package storer_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/storer"
)

// fixture is one client of a new simulated platform.
type fixture struct {
	platform *imitator.Platform
	client   *storer.Client
}

func newFixture(t *testing.T) fixture {
	t.Helper()
	platform := imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: 1000, ReadsPerSecond: 1000})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	budget := storer.Budget{CallsPerSecond: 1000, Burst: 1000}
	return fixture{platform, storer.New(server.URL, &http.Client{}, budget, 500*time.Millisecond)}
}

// TestWrites guards against a conditional write whose reported outcome does not match what the
// platform has stored: each case has a fault, the expected error, and whether the object changes.
func TestWrites(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	cases := []struct {
		name     string
		faults   imitator.PlatformFaults
		expected uint64 // Added to the present version.
		size     int
		want     error
		changed  bool
	}{
		{"Written", imitator.PlatformFaults{}, 0, 3, nil, true},
		{"Conflict", imitator.PlatformFaults{}, 5, 3, &storer.ConflictError{}, false},
		{"AnswerLost", imitator.PlatformFaults{LoseAnswers: 1}, 0, 3, storer.ErrOutcomeUnknown, true},
		{"Down", imitator.PlatformFaults{Down: true}, 0, 3, storer.ErrOutcomeUnknown, false},
		{"Slow", imitator.PlatformFaults{SlowMs: 700}, 0, 3, storer.ErrOutcomeUnknown, false},
		{"TooLarge", imitator.PlatformFaults{}, 0, storer.MaxValueSize + 1, errAny, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			v, err := f.client.Write(ctx, "Turmericlift/Thing", 0, []byte("one"))
			if err != nil {
				t.Fatal(err)
			}
			f.platform.SetFaults(c.faults)
			_, err = f.client.Write(ctx, "Turmericlift/Thing", v+identifier.Version(c.expected), make([]byte, c.size))
			checkError(t, err, c.want)
			f.platform.SetFaults(imitator.PlatformFaults{})
			o, err := f.client.Read(ctx, "Turmericlift/Thing")
			if err != nil || (o.Version > v) != c.changed {
				t.Errorf("read back version %d after version %d, error %v; want a newer version: %t", o.Version, v, err, c.changed)
			}
		})
	}
}

var errAny = errors.New("any error")

func checkError(t *testing.T, got, want error) {
	t.Helper()
	var conflict *storer.ConflictError
	switch {
	case want == nil && got != nil, want != nil && got == nil:
	case errors.As(want, &conflict) && errors.As(got, &conflict), errors.Is(got, want), errors.Is(want, errAny):
		return
	}
	t.Errorf("write: error %v, want %v", got, want)
}

// TestWatch guards against changes that a watch omits or repeats: a watch must return every change
// after its revision once, and must be resumable from that revision after the platform has ended it
// with an error.
func TestWatch(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	f := newFixture(t)
	for _, name := range []string{"Turmericlift/A", "Turmericlift/B", "Other/C"} {
		if _, err := f.client.Write(ctx, name, 0, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	result, err := f.client.Watch(ctx, storer.Prefix, 0, time.Second)
	if err != nil || len(result.Objects) != 2 {
		t.Fatalf("watch from 0: %+v, error %v; want 2 objects", result, err)
	}
	f.platform.SetFaults(imitator.PlatformFaults{CutWatches: true})
	if _, err := f.client.Watch(ctx, storer.Prefix, result.Revision, time.Second); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("watch that the platform ends with an error: error %v, want ErrUnavailable", err)
	}
	f.platform.SetFaults(imitator.PlatformFaults{})
	done := make(chan storer.WatchResult, 1)
	go func() {
		c, _ := f.client.Watch(ctx, storer.Prefix, result.Revision, 5*time.Second)
		done <- c
	}()
	if _, err := f.client.Write(ctx, "Turmericlift/D", 0, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if c := <-done; len(c.Objects) != 1 || c.Objects[0].Name != "Turmericlift/D" {
		t.Errorf("watch from %d: %+v, want only Turmericlift/D", result.Revision, c)
	}
}

// TestLimits checks that writes over the platform's limit and over the client's own budget both end
// with ErrBudgetExhausted, and that a call over the client's budget does not reach the platform.
func TestLimits(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	platform := imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: 1, ReadsPerSecond: 100})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	client := storer.New(server.URL, &http.Client{}, storer.Budget{CallsPerSecond: 0.001, Burst: 2}, time.Second)
	if _, err := client.Write(ctx, "Turmericlift/A", 0, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write(ctx, "Turmericlift/B", 0, nil); !errors.Is(err, storer.ErrBudgetExhausted) {
		t.Errorf("write over the platform's limit: error %v, want ErrBudgetExhausted", err)
	}
	if _, err := client.Write(ctx, "Turmericlift/C", 0, nil); !errors.Is(err, storer.ErrBudgetExhausted) {
		t.Errorf("write over the client's budget: error %v, want ErrBudgetExhausted", err)
	}
	if calls := platform.Calls()["Write"]; calls != 2 {
		t.Errorf("%d writes reached the platform, want 2", calls)
	}
}

// TestFrozenList checks that the simulated platform's fault FreezeList keeps an ended instance on
// the list of instances, and that the list is right again without the fault.
func TestFrozenList(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	f := newFixture(t)
	f.platform.PutInstance(storer.ListedInstance{ID: "a", Kind: storer.KindEntry, State: storer.StateLive})
	f.platform.SetFaults(imitator.PlatformFaults{FreezeList: true})
	f.platform.DeleteInstance("a")
	if list, err := f.client.Instances(ctx); err != nil || len(list.Instances) != 1 {
		t.Errorf("frozen list: %v, error %v; want 1 instance", list, err)
	}
	f.platform.SetFaults(imitator.PlatformFaults{})
	if list, err := f.client.Instances(ctx); err != nil || len(list.Instances) != 0 {
		t.Errorf("list without the fault: %v, error %v; want no instance", list, err)
	}
}

// TestEndlessAnswer guards against an answer of the platform without end that is held in memory.
func TestEndlessAnswer(t *testing.T) {
	t.Parallel()
	sent := make(chan int, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		n := 0
		for {
			written, err := w.Write(block)
			n += written
			if err != nil {
				sent <- n
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	client := storer.New(server.URL, &http.Client{}, storer.Budget{CallsPerSecond: 10, Burst: 10}, 30*time.Second)
	if _, err := client.Read(context.Background(), "Turmericlift/Thing"); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
	if n := <-sent; n > 64<<20 {
		t.Errorf("the platform sent %d bytes before the connection was closed, want at most 64 MiB", n)
	}
}

// TestOddInstances guards against a single odd item that makes the platform's whole list of instances unreadable: nested very
// deeply, with a value of another type or out of range, or no object at all.
func TestOddInstances(t *testing.T) {
	t.Parallel()
	for name, item := range map[string]string{
		"Deep":      `{"ID":"odd","X":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		"WrongType": `{"ID":7}`, "NumberTooLarge": `{"ID":"odd","Zone":1e999}`, "Null": `null`, "Number": `1e999`, "NoID": `{"Kind":"Entry"}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `[`+item+`,{"ID":"good","Kind":"Entry","State":"Live","Zone":"a","Address":"10.0.0.1:80"}]`)
			}))
			defer server.Close()
			client := storer.New(server.URL, &http.Client{}, storer.Budget{CallsPerSecond: 1000, Burst: 1000}, time.Second)
			list, err := client.Instances(context.Background())
			if err != nil || len(list.Instances) != 1 || list.Instances[0].ID != "good" || len(list.Unreadable) != 1 {
				t.Errorf("list %+v, unreadable %d, error %v; want the good instance alone", list.Instances, len(list.Unreadable), err)
			}
		})
	}
}
