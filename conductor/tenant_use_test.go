package conductor

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/rentier"
)

// TestTenantMetrics guards against metrics whose number grows with the tenants, against counts of tenants that are gone, and
// against a dump that does not show a tenant's rate, use and refusals or that shows a key.
func TestTenantMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	c, _ := newWithQuota(t, &now, "one", modelStore{imitator.NewObjectStore()})
	scope := tally.NewTestScope("", nil)
	c.scope = scope
	for n := range 70 {
		c.countTenant(identifier.Tenant(fmt.Sprint("t", n)), rentier.Allowed)
	}
	others := int64(0)
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Tags()["Tenant"] == otherTenants {
			others += counter.Value()
		}
	}
	if n := len(scope.Snapshot().Counters()); n != maxTenantTags+1 || others != 20 {
		t.Errorf("%d counters, of which the one of the other tenants counts %d; want %d and 20", n, others, maxTenantTags+1)
	}
	table, err := director.New(2, nil, nil, director.Limits{}).WithTenants([]director.Tenant{
		{Name: "a", Rate: 40, Burst: 20, Keys: []director.KeyDigest{director.DigestKey("secret")}}, {Name: "t3"}})
	if err != nil {
		t.Fatal(err)
	}
	c.view.table = table
	c.applyQuotas(now, table)
	if refusal := c.EnterQuota(table.Tenant("a")); refusal == nil || !refusal.Unknown {
		t.Errorf("refusal %+v, want one for lack of a part", refusal)
	}
	dump := c.dump(now)
	for _, want := range []string{"Tenant a rate 40 burst 20 sent 0 refused 1 ", "Tenant t3 without a quota sent 1\n"} {
		if !strings.Contains(dump, want) {
			t.Errorf("dump has no line with %q:\n%s", want, dump)
		}
	}
	if strings.Contains(dump, "secret") || len(c.tenantUses.byTenant) != 2 {
		t.Errorf("dump shows a key, or %d tenants are counted and not 2", len(c.tenantUses.byTenant))
	}
}
