// Package authenticator finds the tenant of a request by its API key. It does no I/O and reads no clock. All code is in
// authenticator.go.
package authenticator

import (
	"errors"
	"net/http"
	"strings"

	"github.com/turmericlift/turmericlift/director"
)

// Header is the header that carries an API key, as "Bearer KEY".
const Header = "Authorization"

// scheme is the authentication scheme of API keys. Schemes are compared without regard to case (RFC 9110, section 11.1).
const scheme = "Bearer"

// ErrUnknownKey reports that a request that needs an API key has none, or one that no tenant has. Its text has no key.
var ErrUnknownKey = errors.New("the request needs the API key of a tenant")

// Authenticate returns the tenant of a request on a route, or nil if the request needs no API key: the configuration has no
// tenants or the route is anonymous, where a key is not looked at. The error is ErrUnknownKey.
func Authenticate(table *director.Table, route *director.Route, h http.Header) (*director.Tenant, error) {
	if !NeedsKey(table, route) {
		return nil, nil
	}
	key, ok := bearer(h)
	if !ok {
		return nil, ErrUnknownKey
	}
	tenant := table.TenantOf(key)
	if tenant == nil {
		return nil, ErrUnknownKey
	}
	return tenant, nil
}

// NeedsKey reports whether requests on a route need an API key.
func NeedsKey(table *director.Table, route *director.Route) bool {
	return table.HasTenants() && !route.Anonymous
}

// bearer returns the key in the headers of a request. ok is false if there is none, or more than one header that may have
// one: two programs on the way might each take another.
func bearer(h http.Header) (key string, ok bool) {
	values := h.Values(Header)
	if len(values) != 1 {
		return "", false
	}
	given, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, key != "" && strings.EqualFold(given, scheme)
}
