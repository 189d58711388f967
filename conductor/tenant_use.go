package conductor

import (
	"time"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/rentier"
)

const (
	// maxTenantTags bounds the tenants that metrics name. Each name is a series of its own for as long as the process lives.
	maxTenantTags = 50
	// otherTenants is the name under which metrics count all other tenants, and a tenant of that name.
	otherTenants = "(others)"
)

// tenantUse counts the requests of one tenant at this instance.
type tenantUse struct {
	sent, refused uint64
}

// tenantUses counts the requests of the configuration's tenants. The conductor's lock guards it.
type tenantUses struct {
	byTenant map[identifier.Tenant]*tenantUse
	tagged   map[identifier.Tenant]bool // The tenants that metrics name.
}

// newTenantUses returns counts without tenants.
func newTenantUses() tenantUses {
	return tenantUses{byTenant: map[identifier.Tenant]*tenantUse{}, tagged: map[identifier.Tenant]bool{}}
}

// keep drops the counts of tenants that a configuration does not have.
func (u *tenantUses) keep(table *director.Table) {
	for name := range u.byTenant {
		if table.Tenant(name) == nil {
			delete(u.byTenant, name)
		}
	}
}

// tag returns the name under which metrics count a tenant.
func (u *tenantUses) tag(name identifier.Tenant) string {
	if !u.tagged[name] {
		if len(u.tagged) >= maxTenantTags {
			return otherTenants
		}
		u.tagged[name] = true
	}
	return string(name)
}

// countTenant counts a request of a tenant that is sent or refused by its quota. The caller holds the lock.
func (c *Conductor) countTenant(name identifier.Tenant, v rentier.Verdict) {
	use := c.tenantUses.byTenant[name]
	if use == nil {
		use = &tenantUse{}
		c.tenantUses.byTenant[name] = use
	}
	scope := c.scope.Tagged(map[string]string{"Tenant": c.tenantUses.tag(name)})
	if v == rentier.Allowed {
		use.sent++
		scope.Counter("TenantSends").Inc(1)
		return
	}
	use.refused++
	scope.Counter("TenantRefusals").Inc(1)
}

// dumpTenants writes what this instance knows of the tenants. The caller holds the lock.
func (c *Conductor) dumpTenants(now time.Time, line func(format string, args ...any)) {
	if c.view.table == nil || !c.view.table.HasTenants() {
		return
	}
	if c.settings.StrictRevoke {
		age, ok := c.evidenceAge(now)
		line("API keys known to be valid %t, %s ago, requests with keys refused %t", ok, age.Round(time.Millisecond), c.refusesKeys(now))
	}
	c.updateQuotaShare(now)
	if c.quotas.rentier.HasQuotas() {
		line("Quotas distributed by %s", c.quotas.present.Instance)
	}
	holdings := map[identifier.Tenant]rentier.Holding{}
	for _, h := range c.quotas.rentier.Holdings(now) {
		holdings[h.Quota.Tenant] = h
	}
	for _, t := range c.view.table.Tenants() {
		use := tenantUse{}
		if u := c.tenantUses.byTenant[t.Name]; u != nil {
			use = *u
		}
		h, bounded := holdings[t.Name]
		if !bounded {
			line("Tenant %s without a quota sent %d", t.Name, use.sent)
			continue
		}
		line("Tenant %s rate %g burst %g sent %d refused %d demand %.1f/s part %.4f tokens %.1f undistributed part %.4f",
			t.Name, t.Rate, t.Burst, use.sent, use.refused, h.Demand, h.Part, h.Tokens, c.quotas.distributor.Part(now, t.Name))
	}
}
