package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/authenticator"
	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/scheduler"
)

// authenticate finds the tenant of a request. It returns nil, or the answer to a request that needs an API key and has no
// known one. The answer does not tell a missing key from an unknown one, and never contains the key.
func (f *Forwarder) authenticate(req *activeRequest, table *director.Table, r *http.Request) *result {
	id, err := authenticator.Authenticate(table, req.route, r.Header)
	return f.identified(req, id, err)
}

// identified records the identity of a caller. It returns nil, or the answer to a request that must not be sent: nobody has its
// key, or this instance cannot know. A key is not called unknown then, since it may have been added.
func (f *Forwarder) identified(req *activeRequest, id authenticator.Identity, err error) *result {
	if id.Tenant != nil || errors.Is(err, authenticator.ErrUnknownKey) {
		if ok, retryAfter := f.core.KeysAreCurrent(); !ok {
			return &result{code: answerer.CodeStaleKeys, status: http.StatusServiceUnavailable, retryAfter: retryAfter, detail: "the instance cannot know at present whether the API key is valid; the request was not sent"}
		}
	}
	if err != nil {
		return &result{code: answerer.CodeUnknownAPIKey, status: http.StatusUnauthorized, detail: "the request needs an API key of a tenant"}
	}
	req.tenant, req.keyDigest = id.Tenant, id.Key
	return nil
}

// checkKey decides again on the key of a request that is about to be sent, since it may have waited for long. It returns nil, or
// the answer to the caller.
func (f *Forwarder) checkKey(req *activeRequest) *result {
	table := f.core.Table()
	if req.tenant == nil || table == nil {
		return nil
	}
	id, err := authenticator.Check(table, authenticator.Identity{Tenant: req.tenant, Key: req.keyDigest})
	if res := f.identified(req, id, err); res != nil {
		return res
	}
	req.header.Set(f.names.Tenant, string(req.tenant.Name))
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

// QuotaRefusal is the refusal of a request for its tenant's quota.
type QuotaRefusal struct {
	Unknown    bool // The instance does not know how much of the quota others use.
	RetryAfter time.Duration
}

// result returns the answer to a request that was refused.
func (q *QuotaRefusal) result() *result {
	if q.Unknown {
		return &result{code: answerer.CodeQuotaUnknown, status: http.StatusServiceUnavailable, retryAfter: q.RetryAfter, detail: "the instance has no part of the tenant's quota at present; the request was not sent"}
	}
	return &result{code: answerer.CodeOverQuota, status: http.StatusTooManyRequests, retryAfter: q.RetryAfter, detail: "the tenant's quota is used up; the request was not sent"}
}

// peekQuota refuses a request whose body need not be read, because its tenant's quota is used up. It returns nil if the
// request is not refused.
func (f *Forwarder) peekQuota(req *activeRequest, r *http.Request) *result {
	if r.ContentLength == 0 {
		return nil // It is decided at once by enterQuota.
	}
	if refusal := f.core.PeekQuota(req.tenant); refusal != nil {
		return refusal.result()
	}
	return nil
}

// enterQuota refuses a request whose tenant's quota is used up before it waits for a backend server. It returns nil if the
// request is not refused.
func (f *Forwarder) enterQuota(req *activeRequest) *result {
	if refusal := f.core.EnterQuota(req.tenant); refusal != nil {
		return refusal.result()
	}
	req.inQuota = req.tenant != nil
	return nil
}

// leaveQuota ends the waiting of a request that enterQuota let in.
func (f *Forwarder) leaveQuota(req *activeRequest) {
	if req.inQuota {
		req.inQuota = false
		f.core.LeaveQuota(req.tenant)
	}
}

// mayNotSend checks the key of a request that is about to be sent to the server of a decision, and counts the request in its
// tenant's quota. It returns nil if it may be sent; otherwise the server is released.
func (f *Forwarder) mayNotSend(ctx, caller context.Context, req *activeRequest, d scheduler.Decision) *result {
	f.leaveQuota(req)
	res := f.checkKey(req)
	if res == nil {
		refusal := f.core.TakeQuota(ctx, req.tenant)
		if refusal == nil {
			return nil
		}
		res = refusal.result()
	}
	f.core.RecordOutcome(d.Server, scheduler.Report{Outcome: scheduler.Cancelled, Send: d.Send})
	if ctx.Err() != nil {
		return f.abandoned(caller, req, false)
	}
	if req.mayHaveRun { // An earlier attempt may have run, which the status must not deny.
		res.status, res.retryAfter = http.StatusBadGateway, 0
	}
	return res
}
