package forwarder

import (
	"net/http"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/authenticator"
	"github.com/turmericlift/turmericlift/director"
)

// authenticate finds the tenant of a request. It returns nil, or the answer to a request that needs an API key and has no
// known one. The answer does not tell a missing key from an unknown one, and never contains the key.
func (f *Forwarder) authenticate(req *activeRequest, table *director.Table, r *http.Request) *result {
	tenant, err := authenticator.Authenticate(table, req.route, r.Header)
	if err != nil {
		return &result{code: answerer.CodeUnknownAPIKey, status: http.StatusUnauthorized, detail: "the request needs an API key of a tenant"}
	}
	req.tenant = tenant
	return nil
}

// setTenant replaces what the caller says of its identity in the headers that are forwarded by what this instance has found.
// A configuration without tenants leaves the headers as they are.
func (f *Forwarder) setTenant(req *activeRequest, table *director.Table) {
	if !table.HasTenants() {
		return
	}
	req.header.Del(authenticator.Header)
	req.header.Del(f.names.Tenant)
	if req.tenant != nil {
		req.header.Set(f.names.Tenant, string(req.tenant.Name))
	}
}

// priority returns the tenant's priority, or the route's if the tenant has none.
func (req *activeRequest) priority() director.Priority {
	if req.tenant != nil && req.tenant.Priority != nil {
		return *req.tenant.Priority
	}
	return req.route.Priority
}
