package director_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
)

// tenant returns a tenant with the given keys.
func tenant(name identifier.Tenant, keys ...string) director.Tenant {
	t := director.Tenant{Name: name, Rate: 10, Burst: 5}
	for _, k := range keys {
		t.Keys = append(t.Keys, director.DigestKey(k))
	}
	return t
}

// TestInvalidTenants guards against a configuration with invalid tenants that comes into force, and against an error that
// does not name the field and the value.
func TestInvalidTenants(t *testing.T) {
	with := func(change func(*director.Tenant)) []director.Tenant {
		bad := tenant("b", "k2")
		change(&bad)
		return []director.Tenant{tenant("a", "k1"), bad}
	}
	cases := map[string]struct {
		tenants []director.Tenant
		names   []string // What the error has to contain; no error if empty.
	}{
		"Valid":        {with(func(*director.Tenant) {}), nil},
		"NoKeys":       {with(func(b *director.Tenant) { b.Keys = nil }), nil},
		"NoName":       {with(func(b *director.Tenant) { b.Name = "" }), []string{"row 1", "Name", `""`}},
		"SameName":     {with(func(b *director.Tenant) { b.Name = "a" }), []string{"row 1", "Name", `"a"`}},
		"KeyOfOther":   {with(func(b *director.Tenant) { b.Keys = append(b.Keys, director.DigestKey("k1")) }), []string{`"b"`, "Keys", "index 1", `"a"`}},
		"KeyTwice":     {with(func(b *director.Tenant) { b.Keys = append(b.Keys, b.Keys[0]) }), []string{`"b"`, "Keys", "index 1", `"b"`}},
		"NegativeRate": {with(func(b *director.Tenant) { b.Rate = -0.5 }), []string{`"b"`, "Rate", "-0.5"}},
		"RateNaN":      {with(func(b *director.Tenant) { b.Rate = math.NaN() }), []string{`"b"`, "Rate", "NaN"}},
		"BurstInf":     {with(func(b *director.Tenant) { b.Burst = math.Inf(1) }), []string{`"b"`, "Burst", "+Inf"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := director.New(1, nil, nil, director.Limits{}).WithTenants(c.tenants)
			var invalid *director.InvalidTenantError
			if (len(c.names) > 0) != errors.As(err, &invalid) {
				t.Fatalf("error %v", err)
			}
			for _, text := range c.names {
				if !strings.Contains(err.Error(), text) {
					t.Errorf("error %q does not contain %q", err, text)
				}
			}
		})
	}
}

// TestTenantOf guards against a key that leads to another tenant, and against a table that is changed by its successor.
func TestTenantOf(t *testing.T) {
	base := director.New(1, nil, nil, director.Limits{})
	table, err := base.WithTenants([]director.Tenant{tenant("a", "k1", "k2"), tenant("b", "k3")})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]identifier.Tenant{"k1": "a", "k2": "a", "k3": "b"} {
		if got := table.TenantOf(director.DigestKey(key)); got == nil || got.Name != want {
			t.Errorf("key %s is that of %v, want %s", key, got, want)
		}
	}
	for _, key := range []string{"", "k", "K1", "k1 "} {
		if got := table.TenantOf(director.DigestKey(key)); got != nil {
			t.Errorf("key %q is that of %s, want none", key, got.Name)
		}
	}
	if base.HasTenants() || !table.HasTenants() || base.TenantOf(director.DigestKey("k1")) != nil {
		t.Error("the table without tenants has some, or the one with tenants has none")
	}
	if list := table.Tenants(); len(list) != 2 || list[0].Name != "a" || table.Tenant("b") != list[1] {
		t.Errorf("tenants %v", list)
	}
}
