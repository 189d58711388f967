package conductor

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// storeCallReason says why an instance calls the platform's store.
type storeCallReason string

// The reasons for calls to the store.
const (
	reasonFollow storeCallReason = "Follow" // A mirror lists or watches a kind.
	reasonVerify storeCallReason = "Verify" // A list verifies that connections lead to the listed servers.
	reasonShared storeCallReason = "Shared" // Shared objects are listed before or after a decision on them.
	reasonWrite  storeCallReason = "Write"
	// reasonEvidence: a watch that hardly waits shows whether the configuration is current.
	reasonEvidence storeCallReason = "Evidence"
)

// countedStore counts the calls to the store in the metric StoreCalls, by kind, call and reason.
type countedStore struct {
	store  Store
	reason storeCallReason
	scope  tally.Scope
}

// count counts one call.
func (s countedStore) count(call string, kind storer.ObjectKind) {
	s.scope.Tagged(map[string]string{"Call": call, "Kind": string(kind), "Reason": string(s.reason)}).Counter("StoreCalls").Inc(1)
}

// List implements mirrorer.Platform.
func (s countedStore) List(ctx context.Context, kind storer.ObjectKind) (storer.Page, error) {
	s.count("List", kind)
	return s.store.List(ctx, kind)
}

// Watch implements mirrorer.Platform.
func (s countedStore) Watch(ctx context.Context, kind storer.ObjectKind, from identifier.Version, wait time.Duration) (storer.Events, error) {
	s.count("Watch", kind)
	return s.store.Watch(ctx, kind, from, wait)
}

// Put implements Store.
func (s countedStore) Put(ctx context.Context, kind storer.ObjectKind, name string, expected identifier.Version, data []byte) (identifier.Version, error) {
	s.count("Put", kind)
	return s.store.Put(ctx, kind, name, expected, data)
}

// Delete implements Store.
func (s countedStore) Delete(ctx context.Context, kind storer.ObjectKind, name string, expected identifier.Version) error {
	s.count("Delete", kind)
	return s.store.Delete(ctx, kind, name, expected)
}

// calls returns the store as it is called for a reason.
func (c *Conductor) calls(reason storeCallReason) Store {
	return countedStore{c.store, reason, c.scope}
}

// Era implements Store. It makes no call.
func (s countedStore) Era() identifier.Era { return s.store.Era() }
