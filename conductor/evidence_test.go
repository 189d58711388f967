package conductor

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/transporter"
)

// newStrict returns an idle instance that has a configuration with tenants and must know that their keys are valid.
func newStrict(t *testing.T, now *time.Time, store Store) *Conductor {
	t.Helper()
	c, _ := newWithQuota(t, now, "one", store)
	c.settings.StrictRevoke, c.settings.RevokeTime = true, 5*time.Second
	c.wasReady = true
	return c
}

// TestKeyEvidence guards against requests with keys that are sent although the configuration may have changed longer ago than
// the bound: without evidence, once it is too old, and after evidence of a newer configuration than this instance has.
func TestKeyEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newStrict(t, &now, modelStore{imitator.NewObjectStore()})
	check := func(what string, want bool) {
		t.Helper()
		if ok, _ := c.KeysAreCurrent(); ok != want || c.isReady() != want {
			t.Errorf("%s: keys are current: %t, instance is ready: %t; want %t for both", what, ok, c.isReady(), want)
		}
	}
	check("without evidence", false)
	c.evidence.seenVersion = 7
	c.applyEvidence(now, evidenceAnswer{Version: 8, AgeMs: 10})
	check("evidence of a newer configuration", false)
	c.applyEvidence(now, evidenceAnswer{Version: 7, AgeMs: -1})
	check("an instance without evidence", false)
	c.applyEvidence(now, evidenceAnswer{Version: 7, AgeMs: 4000})
	check("evidence of 4 s", true)
	now = now.Add(600 * time.Millisecond)
	check("evidence of 4.6 s", false)
	c.applyEvidence(now, evidenceAnswer{Version: 6, AgeMs: 100})
	check("evidence of an older configuration than the present one", true)
	now = now.Add(time.Second)
	c.applyEvidence(now.Add(-time.Second), evidenceAnswer{Version: 7, AgeMs: 3000})
	var answer evidenceAnswer
	if err := cbor.Unmarshal(c.HandleRequest(context.Background(), transporter.KindEvidence, nil), &answer); err != nil || answer.Version != 7 || answer.AgeMs < 1100 || answer.AgeMs > 1102 {
		t.Errorf("answer %+v, error %v; want version 7 and the age of the youngest evidence, 1.1 s", answer, err)
	}
	c.settings.StrictRevoke = false
	now = now.Add(time.Hour)
	check("not strict", true)
}

// TestStoreEvidence guards against an instance that takes a changed configuration, or a history that is gone, for evidence that
// its own is current.
func TestStoreEvidence(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	objects := imitator.NewObjectStore()
	c := newStrict(t, &now, modelStore{objects})
	current := func() bool { ok, _ := c.KeysAreCurrent(); return ok }
	objects.Put(c.kinds.Config, c.kinds.ConfigObject, nil, []byte("x"))
	if c.checkConfig(ctx); current() {
		t.Error("a configuration that was not read counts as evidence")
	}
	page, err := c.store.List(ctx, c.kinds.Config)
	if err != nil {
		t.Fatal(err)
	}
	c.codec.DecodeTable = nil // The object is not decoded again.
	c.view.configObjectVersion = page.Revision
	c.mirrors[c.kinds.Config].ApplyList(newCopy(c.kinds.Config, page), time.Time{})
	if current() {
		t.Error("a copy without age counts as evidence")
	}
	if c.checkConfig(ctx); !current() {
		t.Error("a store without changes is no evidence")
	}
	now = now.Add(10 * time.Second)
	objects.Put(c.kinds.Config, "other", nil, []byte("x"))
	objects.DropHistory()
	if c.checkConfig(ctx); current() {
		t.Error("a history that is gone counts as evidence")
	}
}
