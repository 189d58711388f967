package conductor

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/rentier"
	"github.com/turmericlift/turmericlift/transporter"
)

// newWithQuota returns an idle instance of a name with a store, a configuration with the returned tenant, and the given time.
func newWithQuota(t *testing.T, now *time.Time, name identifier.Instance, store Store) (*Conductor, *director.Tenant) {
	t.Helper()
	c := newIdle(now)
	c.store = store
	c.settings.Instance, c.settings.Bootstrap = name, true
	c.settings.QuotaWindow, c.settings.QuotaSlack = 5*time.Second, 20
	c.apportioner = apportioner.New(name)
	c.quotas = newQuotas(*now, c.settings)
	table, err := director.New(1, nil, nil, director.Limits{}).WithTenants([]director.Tenant{{Name: "a", Rate: 40, Burst: 20}, {Name: "free"}})
	if err != nil {
		t.Fatal(err)
	}
	c.view.table = table
	c.applyQuotas(*now, table)
	return c, table.Tenant("a")
}

// partOf returns the part of the quotas that an instance may use now.
func partOf(c *Conductor, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateQuotaShare(now)
	return c.quotas.rentier.Holdings(now)[0].Part + c.quotas.distributor.Part(now, "a")
}

// TestQuotaStart guards against a start of the whole installation at which tenants get nothing until all records have settled,
// and against two instances that use the same quota then: only the one that wrote the object has it, the others have no shares
// until it was not renewed for a term.
func TestQuotaStart(t *testing.T) {
	ctx := context.Background()
	start := time.Unix(1000, 0)
	now := start
	store := modelStore{imitator.NewObjectStore()}
	one, tenant := newWithQuota(t, &now, "one", store)
	two, _ := newWithQuota(t, &now, "two", store)
	one.listShared(ctx)
	two.listShared(ctx)
	one.claimQuotas(ctx)
	two.claimQuotas(ctx)
	first, second := partOf(one, now), partOf(two, now)
	if first != 1 || second != 0 {
		t.Fatalf("parts %.2f and %.2f at the start, want 1 and 0", first, second)
	}
	now = now.Add(time.Second)
	if refusal := one.EnterQuota(tenant); refusal != nil {
		t.Errorf("request refused at the start: %+v", refusal)
	}
	if refusal := two.EnterQuota(tenant); refusal == nil || !refusal.Unknown {
		t.Errorf("request at the instance without a part: %+v, want a refusal that says so", refusal)
	}
	lostAt := start.Add(30 * time.Second) // The one with the quotas is cut off from the store then, and ends 6 s later.
	for ; now.Sub(start) < 45*time.Second; now = now.Add(500 * time.Millisecond) {
		sum := partOf(one, now) + partOf(two, now)
		if now.Sub(lostAt) < 0 {
			one.listShared(ctx)
			one.register(ctx)
			one.claimQuotas(ctx)
		} else if now.Equal(lostAt) {
			one.store = noStore{}
		}
		two.listShared(ctx)
		two.register(ctx)
		two.claimQuotas(ctx)
		switch {
		case sum > 1:
			t.Fatalf("parts of %.2f in use after %s", sum, now.Sub(start))
		case now.Before(lostAt) && sum < 1:
			t.Errorf("parts of only %.2f in use after %s, while one instance renews them", sum, now.Sub(start))
		case now.Sub(lostAt) > 5*time.Second && partOf(two, now) < 0.5:
			t.Errorf("the other instance has a part of %.2f, %s after the one with the quotas was lost", partOf(two, now), now.Sub(lostAt))
		}
	}
	late, _ := newWithQuota(t, &now, "late", store)
	late.listShared(ctx)
	late.claimQuotas(ctx)
	if part := partOf(late, now); part != 0 {
		t.Errorf("instance that starts later has a part of %.2f before its record has settled", part)
	}
	now = now.Add(quotaStartWait)
	late.listShared(ctx)
	if late.quotas.start.holds() {
		t.Error("instance that starts later waits for longer than a term")
	}
}

// TestQuotaStartUnchecked guards against an instance that uses its share because it has not heard of a renewal: only a list
// which was requested after the term shows that there was none.
func TestQuotaStartUnchecked(t *testing.T) {
	ctx := context.Background()
	start := time.Unix(1000, 0)
	now := start
	store := modelStore{imitator.NewObjectStore()}
	one, _ := newWithQuota(t, &now, "one", store)
	two, _ := newWithQuota(t, &now, "two", store)
	for _, c := range []*Conductor{one, two, one, two} {
		c.listShared(ctx)
		c.register(ctx)
		c.claimQuotas(ctx)
	}
	two.store = noStore{}
	for ; now.Sub(start) < 30*time.Second; now = now.Add(time.Second) {
		one.listShared(ctx)
		one.claimQuotas(ctx)
		two.claimQuotas(ctx)
		two.apportioner.RecordListTime(now) // Copies of other instances tell how old the list of the records is.
		if part := partOf(two, now); part != 0 {
			t.Fatalf("part of %.2f in use after %s, while the other instance has the quotas as a whole", part, now.Sub(start))
		}
	}
}

// TestNoQuotaStart guards against an instance that takes the quotas as a whole although others may use them.
func TestNoQuotaStart(t *testing.T) {
	ctx := context.Background()
	cases := map[string]func(now *time.Time, store Store, c *Conductor){
		"Record": func(_ *time.Time, store Store, _ *Conductor) {
			if _, err := store.Put(ctx, "own", memberPrefix+"other", 0, []byte(`{"Instance":"other"}`)); err != nil {
				panic(err)
			}
		},
		"NoBootstrap": func(_ *time.Time, _ Store, c *Conductor) { c.settings.Bootstrap = false },
		"TooLate": func(now *time.Time, _ Store, c *Conductor) {
			c.listShared(ctx)
			*now = now.Add(quotaStartClaim)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			store := modelStore{imitator.NewObjectStore()}
			c, _ := newWithQuota(t, &now, "one", store)
			change(&now, store, c)
			c.listShared(ctx)
			c.claimQuotas(ctx)
			if part := partOf(c, now); part != 0 {
				t.Errorf("part of %.2f in use, want 0", part)
			}
		})
	}
}

// TestQuotaCalls guards against a call of another instance that is not answered or does not count, and against a malformed one
// that ends the process.
func TestQuotaCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	c, tenant := newWithQuota(t, &now, "one", modelStore{imitator.NewObjectStore()})
	ask := func(call rentier.Call) (answer rentier.Answer) {
		t.Helper()
		data, err := cbor.Marshal(call)
		if err != nil {
			t.Fatal(err)
		}
		if err := cbor.Unmarshal(c.HandleRequest(context.Background(), transporter.KindQuota, data), &answer); err != nil {
			t.Fatal(err)
		}
		return answer
	}
	other := rentier.Process{Instance: "two", Incarnation: 7}
	greeting := ask(rentier.Call{From: other})
	if greeting.Number == 0 || greeting.Pool != 0 {
		t.Errorf("greeting is answered by %+v", greeting)
	}
	ask(rentier.Call{From: other, To: greeting.From, Number: greeting.Number, Loan: 0.5})
	now = now.Add(time.Second)
	answer := ask(rentier.Call{From: other, Wants: []rentier.Want{{Tenant: tenant.Name, Rate: 10, Tokens: 1}, {Tenant: "unknown", Rate: 1}}})
	if answer.Pool != 0.5 || len(answer.Grants) != 1 || answer.Grants[0].Part != 0.25 || answer.Grants[0].Tokens != 1 {
		t.Errorf("call for a quarter of the quota is answered by %+v", answer)
	}
	if reply := c.HandleRequest(context.Background(), transporter.KindQuota, []byte("x")); reply != nil {
		t.Errorf("malformed call is answered by %q", reply)
	}
}
