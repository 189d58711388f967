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

// The errors of Authenticate. Their texts have no key.
var (
	// ErrNoKey reports that a request has no API key and needs one.
	ErrNoKey = errors.New("the request needs an API key")
	// ErrUnknownKey reports that no tenant has the API key of a request.
	ErrUnknownKey = errors.New("no tenant has the API key of the request")
)

// Identity is the tenant of a request and the digest of the key by which it was found.
type Identity struct {
	Tenant *director.Tenant
	Key    director.KeyDigest
}

// Authenticate returns the identity of the caller of a request on a route. The tenant is nil if the request needs no API key:
// the configuration has no tenants or the route is anonymous, where a key is not looked at. The error is ErrNoKey or
// ErrUnknownKey.
func Authenticate(table *director.Table, route *director.Route, h http.Header) (Identity, error) {
	if !table.HasTenants() || route.Anonymous {
		return Identity{}, nil
	}
	key, ok := bearer(h)
	if !ok {
		return Identity{}, ErrNoKey
	}
	return identify(table, director.DigestKey(key))
}

// identify returns the identity of a caller with a key.
func identify(table *director.Table, key director.KeyDigest) (Identity, error) {
	tenant := table.TenantOf(key)
	if tenant == nil {
		return Identity{}, ErrUnknownKey
	}
	return Identity{Tenant: tenant, Key: key}, nil
}

// Check returns the identity of a caller by a later configuration, from which its key may be gone: the error is ErrUnknownKey
// then. A caller that needed no key, or needs none any more, keeps its identity.
func Check(table *director.Table, id Identity) (Identity, error) {
	if id.Tenant == nil || !table.HasTenants() {
		return id, nil
	}
	return identify(table, id.Key)
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
