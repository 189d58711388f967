package authenticator_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/turmericlift/turmericlift/authenticator"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/identifier"
)

// TestAuthenticate guards against a request that is served without a key of a tenant, or as another tenant.
func TestAuthenticate(t *testing.T) {
	plain := director.New(1, nil, nil, director.Limits{})
	table, err := plain.WithTenants([]director.Tenant{{Name: "a", Keys: []director.KeyDigest{director.DigestKey("k1")}}})
	if err != nil {
		t.Fatal(err)
	}
	empty, err := plain.WithTenants(nil)
	if err != nil {
		t.Fatal(err)
	}
	protected, open := &director.Route{}, &director.Route{Anonymous: true}
	cases := map[string]struct {
		table  *director.Table
		route  *director.Route
		values []string
		want   identifier.Tenant
		ok     bool
	}{
		"Known":            {table, protected, []string{"Bearer k1"}, "a", true},
		"OtherCase":        {table, protected, []string{"bEARER   k1 "}, "a", true},
		"Missing":          {table, protected, nil, "", false},
		"Empty":            {table, protected, []string{""}, "", false},
		"NoKey":            {table, protected, []string{"Bearer"}, "", false},
		"EmptyKey":         {table, protected, []string{"Bearer "}, "", false},
		"Unknown":          {table, protected, []string{"Bearer k2"}, "", false},
		"OtherScheme":      {table, protected, []string{"Basic k1"}, "", false},
		"NoScheme":         {table, protected, []string{"k1"}, "", false},
		"TwoHeaders":       {table, protected, []string{"Bearer k1", "Bearer k1"}, "", false},
		"AnonymousMissing": {table, open, nil, "", true},
		"AnonymousUnknown": {table, open, []string{"Bearer k2"}, "", true},
		"AnonymousKnown":   {table, open, []string{"Bearer k1"}, "", true},
		"NoTenants":        {plain, protected, nil, "", true},
		"EmptyList":        {empty, protected, []string{"Bearer k1"}, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := authenticator.Authenticate(c.table, c.route, http.Header{"Authorization": c.values})
			if c.ok != (err == nil) || err != nil && !errors.Is(err, authenticator.ErrUnknownKey) && !errors.Is(err, authenticator.ErrNoKey) {
				t.Fatalf("error %v, want success %t", err, c.ok)
			}
			name := identifier.Tenant("")
			if got.Tenant != nil {
				name = got.Tenant.Name
			}
			if name != c.want {
				t.Errorf("tenant %q, want %q", name, c.want)
			}
		})
	}
}

// TestCheck guards against a request that is sent although its key was removed, or given to another tenant, while it waited.
func TestCheck(t *testing.T) {
	keys := []director.KeyDigest{director.DigestKey("k1")}
	with := func(tenants ...director.Tenant) *director.Table {
		table, err := director.New(1, nil, nil, director.Limits{}).WithTenants(tenants)
		if err != nil {
			t.Fatal(err)
		}
		return table
	}
	before := with(director.Tenant{Name: "a", Keys: keys})
	id, err := authenticator.Authenticate(before, &director.Route{}, http.Header{"Authorization": {"Bearer k1"}})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		table *director.Table
		want  identifier.Tenant
	}{
		"Kept":      {with(director.Tenant{Name: "a", Keys: keys}), "a"},
		"Removed":   {with(director.Tenant{Name: "a"}), ""},
		"Moved":     {with(director.Tenant{Name: "a"}, director.Tenant{Name: "b", Keys: keys}), "b"},
		"NoTenants": {director.New(2, nil, nil, director.Limits{}), "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, err := authenticator.Check(c.table, id)
			if (err == nil) != (c.want != "") || err == nil && got.Tenant.Name != c.want {
				t.Errorf("identity %+v, error %v; want tenant %q", got, err, c.want)
			}
		})
	}
	if got, err := authenticator.Check(with(), authenticator.Identity{}); err != nil || got.Tenant != nil {
		t.Errorf("anonymous caller: identity %+v, error %v", got, err)
	}
}
