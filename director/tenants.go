package director

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/turmericlift/turmericlift/identifier"
)

// KeyDigest is the SHA-256 digest of an API key. Keys are secrets: a Table has only their digests, and a look-up by digest
// takes no time from which a key could be guessed.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a group of callers that authenticate with API keys.
type Tenant struct {
	Name identifier.Tenant
	Keys []KeyDigest
	// Priority takes precedence over the priorities of routes; nil if it does not.
	Priority *Priority
	Rate     float64 // Requests a second that may be sent to backend servers; 0 if they are not bounded.
	Burst    float64 // Requests that may be sent at once beyond the rate.
}

// InvalidTenantError reports a value for which a configuration's tenants are rejected.
type InvalidTenantError struct {
	Row    int // Position of the tenant, from 0.
	Tenant identifier.Tenant
	Field  string
	Value  string // Not a key, which is secret, but its index.
	Reason string
}

// Error names the tenant, the field and the value.
func (e *InvalidTenantError) Error() string {
	return fmt.Sprintf("tenant %q (row %d): %s %s is not valid: %s", e.Tenant, e.Row, e.Field, e.Value, e.Reason)
}

// WithTenants returns the table with tenants, which callers need from then on to be served on routes that are not
// anonymous, also if the list is empty. The error is an *InvalidTenantError.
func (t *Table) WithTenants(tenants []Tenant) (*Table, error) {
	out := *t
	out.tenants, out.byKey = make(map[identifier.Tenant]*Tenant, len(tenants)), map[KeyDigest]*Tenant{}
	for row := range tenants {
		tenant := tenants[row]
		invalid := func(field, value, reason string) error {
			return &InvalidTenantError{Row: row, Tenant: tenant.Name, Field: field, Value: value, Reason: reason}
		}
		if tenant.Name == "" {
			return nil, invalid("Name", `""`, "a tenant needs a name")
		}
		if out.tenants[tenant.Name] != nil {
			return nil, invalid("Name", fmt.Sprintf("%q", tenant.Name), "another tenant has it")
		}
		for _, f := range []struct {
			name  string
			value float64
		}{{"Rate", tenant.Rate}, {"Burst", tenant.Burst}} {
			if !(f.value >= 0) || math.IsInf(f.value, 0) { // Not a number is not >= 0 either.
				return nil, invalid(f.name, fmt.Sprint(f.value), "a finite number of at least 0 is needed")
			}
		}
		for n, digest := range tenant.Keys {
			if other := out.byKey[digest]; other != nil {
				return nil, invalid("Keys", fmt.Sprintf("index %d", n), fmt.Sprintf("tenant %q has the same key", other.Name))
			}
			out.byKey[digest] = &tenant
		}
		out.tenants[tenant.Name] = &tenant
	}
	return &out, nil
}

// HasTenants reports whether the configuration has tenants.
func (t *Table) HasTenants() bool { return t.tenants != nil }

// Tenants returns the tenants in order of their names.
func (t *Table) Tenants() []*Tenant {
	out := make([]*Tenant, 0, len(t.tenants))
	for _, name := range slices.Sorted(maps.Keys(t.tenants)) {
		out = append(out, t.tenants[name])
	}
	return out
}

// Tenant returns the tenant of a name, or nil.
func (t *Table) Tenant(name identifier.Tenant) *Tenant { return t.tenants[name] }

// TenantOf returns the tenant that has the API key with a digest, or nil.
func (t *Table) TenantOf(key KeyDigest) *Tenant { return t.byKey[key] }
