package conductor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// noStore is a store whose calls all fail with storer.ErrUnavailable.
type noStore struct{}

func (noStore) List(context.Context, storer.ObjectKind) (storer.Page, error) {
	return storer.Page{}, storer.ErrUnavailable
}

func (noStore) Watch(context.Context, storer.ObjectKind, identifier.Version, time.Duration) (storer.Events, error) {
	return storer.Events{}, storer.ErrUnavailable
}

func (noStore) Delete(context.Context, storer.ObjectKind, string, identifier.Version) error {
	return errors.New("no store")
}

func (noStore) Put(context.Context, storer.ObjectKind, string, identifier.Version, []byte) (identifier.Version, error) {
	return 0, storer.ErrUnavailable
}

func (noStore) Era() identifier.Era { return 0 }

// newIdle returns a Conductor that does not run and whose clock reads *now.
func newIdle(now *time.Time) *Conductor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	kinds := Kinds{Servers: "servers", Config: "config", Evacuations: "zones-out", Shared: "own", ConfigObject: "main"}
	return New(Settings{Instance: "one", Incarnation: 1, Zone: "a", MaxLeaseDuration: 10 * time.Second, BodyMemory: 64 << 20, PeerMemory: 64 << 20}, kinds, Codec{}, noStore{},
		func() time.Time { return *now }, logrus.NewEntry(log), tally.NoopScope, http.NotFoundHandler())
}

// TestStoreOutage checks which results of calls to the store count as an outage. During an outage
// nothing is planned, so a garbled answer or a dropped history must not start one.
func TestStoreOutage(t *testing.T) {
	cases := []struct {
		name string
		err  error
		down bool
	}{
		{"Answered", nil, false},
		{"NoAnswer", storer.ErrUnavailable, true},
		{"HistoryGone", storer.ErrHistoryGone, false},
		{"Garbled", fmt.Errorf("list config: %w: %w", storer.ErrMalformedAnswer, errors.New("unexpected end of JSON input")), false},
		{"OwnBudget", storer.ErrBudgetExhausted, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			conductor := newIdle(&now)
			conductor.recordStoreCall("config", c.err)
			if down := !conductor.view.storeDownAt.IsZero(); down != c.down {
				t.Errorf("store counts as down after the call: %t, want %t", down, c.down)
			}
		})
	}
}
