package storer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/storer"
)

// contract is one client against a fresh platform stand-in.
type contract struct {
	platform *imitator.Platform
	client   *storer.Client
}

func newContract(t *testing.T) contract {
	t.Helper()
	p := imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: 1000, ReadsPerSecond: 1000})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	budget := storer.Budget{CallsPerSecond: 1000, Burst: 1000}
	return contract{p, storer.New(server.URL, &http.Client{}, budget, 500*time.Millisecond)}
}

// TestWrites is the table of how conditional writes end.
func TestWrites(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	cases := []struct {
		name     string
		faults   imitator.PlatformFaults
		expected uint64 // On top of the present version.
		size     int
		want     error
		took     bool
	}{
		{"Written", imitator.PlatformFaults{}, 0, 3, nil, true},
		{"Conflict", imitator.PlatformFaults{}, 5, 3, &storer.ConflictError{}, false},
		{"AnswerLost", imitator.PlatformFaults{LoseAnswers: 1}, 0, 3, storer.ErrUnknown, true},
		{"Down", imitator.PlatformFaults{Down: true}, 0, 3, storer.ErrUnknown, false},
		{"Slow", imitator.PlatformFaults{SlowMs: 700}, 0, 3, storer.ErrUnknown, false},
		{"TooLarge", imitator.PlatformFaults{}, 0, storer.MaxValueSize + 1, errAny, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k := newContract(t)
			v, err := k.client.Write(ctx, "Turmericlift/Thing", 0, []byte("one"))
			if err != nil {
				t.Fatal(err)
			}
			k.platform.SetFaults(c.faults)
			_, err = k.client.Write(ctx, "Turmericlift/Thing", v+identifier.Version(c.expected), make([]byte, c.size))
			checkError(t, err, c.want)
			k.platform.SetFaults(imitator.PlatformFaults{})
			o, err := k.client.Read(ctx, "Turmericlift/Thing")
			if err != nil || (o.Version > v) != c.took {
				t.Errorf("read back version %d after %d, %v; want it changed: %t", o.Version, v, err, c.took)
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
	t.Errorf("error %v, want %v", got, want)
}

// TestWatch checks that a watch brings every change after its revision, once, and
// that one that was cut can be resumed.
func TestWatch(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	k := newContract(t)
	for _, name := range []string{"Turmericlift/A", "Turmericlift/B", "Other/C"} {
		if _, err := k.client.Write(ctx, name, 0, []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	change, err := k.client.Watch(ctx, storer.Prefix, 0, time.Second)
	if err != nil || len(change.Objects) != 2 {
		t.Fatalf("watch from 0: %+v, %v; want 2 objects", change, err)
	}
	k.platform.SetFaults(imitator.PlatformFaults{CutWatches: true})
	if _, err := k.client.Watch(ctx, storer.Prefix, change.Revision, time.Second); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("watch that is cut: %v", err)
	}
	k.platform.SetFaults(imitator.PlatformFaults{})
	done := make(chan storer.Change, 1)
	go func() {
		c, _ := k.client.Watch(ctx, storer.Prefix, change.Revision, 5*time.Second)
		done <- c
	}()
	if _, err := k.client.Write(ctx, "Turmericlift/D", 0, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if c := <-done; len(c.Objects) != 1 || c.Objects[0].Name != "Turmericlift/D" {
		t.Errorf("watch from %d: %+v, want Turmericlift/D", change.Revision, c)
	}
}

// TestLimits checks the client's own budget and the platform's limit, and that
// neither lets a write take effect.
func TestLimits(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	p := imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: 1, ReadsPerSecond: 100})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	client := storer.New(server.URL, &http.Client{}, storer.Budget{CallsPerSecond: 0.001, Burst: 2}, time.Second)
	if _, err := client.Write(ctx, "Turmericlift/A", 0, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write(ctx, "Turmericlift/B", 0, nil); !errors.Is(err, storer.ErrBudget) {
		t.Errorf("over the platform's limit: %v", err)
	}
	if _, err := client.Write(ctx, "Turmericlift/C", 0, nil); !errors.Is(err, storer.ErrBudget) {
		t.Errorf("over the client's budget: %v", err)
	}
	if calls := p.Calls()["Write"]; calls != 2 {
		t.Errorf("%d calls reached the platform, want 2", calls)
	}
}

// TestListLags checks that a frozen list does not change.
func TestListLags(t *testing.T) {
	t.Parallel()
	ctx := context.Background()
	k := newContract(t)
	k.platform.PutInstance(storer.Listed{ID: "a", Kind: storer.KindEntry, State: storer.StateLive})
	k.platform.SetFaults(imitator.PlatformFaults{FreezeList: true})
	k.platform.DeleteInstance("a")
	if list, err := k.client.Instances(ctx); err != nil || len(list) != 1 {
		t.Errorf("frozen list: %v, %v", list, err)
	}
	k.platform.SetFaults(imitator.PlatformFaults{})
	if list, err := k.client.Instances(ctx); err != nil || len(list) != 0 {
		t.Errorf("list: %v, %v", list, err)
	}
}
