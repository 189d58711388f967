package conductor

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/director"
	"github.com/turmericlift/turmericlift/forwarder"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/rentier"
	"github.com/turmericlift/turmericlift/transporter"
)

const (
	// quotaCallInterval is the time between two regular calls to the distributor.
	quotaCallInterval = time.Second
	// quotaTickInterval is the time between two checks whether a call is due.
	quotaTickInterval = 200 * time.Millisecond
	// quotaCallTimeout bounds a call to the distributor. Requests may wait for its answer.
	quotaCallTimeout = 300 * time.Millisecond
	// maxQuotaWaiters bounds the requests that wait for the distributor's answer.
	maxQuotaWaiters = 1000
	// quotaReturnDelay is for how long another instance must rank first before a loan is returned. Views of which instances
	// are live may differ for a moment.
	quotaReturnDelay = time.Second
	// distributorCapacity is the fraction of the greatest capacity that the distributor's machine must have.
	distributorCapacity = 0.5
)

// quotas is what this instance knows of the tenants' quotas. The conductor's lock guards it.
type quotas struct {
	rentier     *rentier.Rentier
	distributor *rentier.Distributor
	waiters     map[identifier.Tenant][]chan bool // Requests that wait for a token.
	waiting     int
	present     rentier.Process // The distributor.
	presentAt   time.Time       // Since when it has been that one.
	calledAt    time.Time
	start       quotaStart
}

// newQuotas returns the quotas of a process that starts now.
func newQuotas(now time.Time, s Settings) quotas {
	self := rentier.Process{Instance: s.Instance, Incarnation: s.Incarnation}
	timing := rentier.DefaultTiming()
	return quotas{rentier: rentier.New(now, self, timing), distributor: rentier.NewDistributor(self, timing), waiters: map[identifier.Tenant][]chan bool{}}
}

// applyQuotas applies the quotas of a new configuration. The caller holds the lock.
func (c *Conductor) applyQuotas(now time.Time, table *director.Table) {
	var list []rentier.Quota
	for _, t := range table.Tenants() {
		if t.Rate > 0 {
			list = append(list, rentier.Quota{Tenant: t.Name, Rate: t.Rate, Capacity: c.quotaCapacity(t)})
		}
	}
	c.tenantUses.keep(table)
	c.quotas.rentier.SetQuotas(now, list)
	c.quotas.distributor.SetQuotas(now, list)
}

// allowanceShare is the share of what a quota allows beyond its rate and burst that is added to the burst. The rest is for
// the different times that requests take to arrive at backend servers.
const allowanceShare = 0.8

// quotaCapacity returns the capacity of a tenant's buckets: the burst, and most of what the bounds allow beyond rate and
// burst, less what tokens add that are under way from the distributor. It is at least one request, or no request could ever
// be sent.
func (c *Conductor) quotaCapacity(t *director.Tenant) float64 {
	s := c.settings
	allowance := s.QuotaOvershoot*(t.Rate*s.QuotaWindow.Seconds()+t.Burst) + s.QuotaSlack - t.Rate*rentier.DefaultTiming().Token.Seconds()
	if allowance > 0 {
		allowance *= allowanceShare
	}
	return max(t.Burst+allowance, 1)
}

// updateQuotaShare tells the quotas which share this instance has now. The caller holds the lock.
func (c *Conductor) updateQuotaShare(now time.Time) {
	sharers := c.apportioner.Sharers(now)
	if c.quotas.start.holds() {
		sharers = 0
	}
	c.quotas.rentier.SetShare(now, sharers, c.apportioner.IsSettled(now))
}

// PeekQuota implements forwarder.Core.
func (c *Conductor) PeekQuota(t *director.Tenant) *forwarder.QuotaRefusal {
	return c.decideQuota(t, c.quotas.rentier.Peek)
}

// EnterQuota implements forwarder.Core.
func (c *Conductor) EnterQuota(t *director.Tenant) *forwarder.QuotaRefusal {
	return c.decideQuota(t, c.quotas.rentier.Enter)
}

// decideQuota returns the refusal of a request by a decision on its tenant's quota, or nil.
func (c *Conductor) decideQuota(t *director.Tenant, decide func(time.Time, identifier.Tenant) (rentier.Verdict, time.Duration)) *forwarder.QuotaRefusal {
	if t == nil || t.Rate <= 0 {
		return nil
	}
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateQuotaShare(now)
	verdict, wait := decide(now, t.Name)
	if verdict != rentier.Allowed { // What is allowed is counted when it is sent.
		c.countTenant(t.Name, verdict)
	}
	return quotaRefusal(verdict, wait)
}

// quotaRefusal returns the refusal that follows from a verdict, or nil.
func quotaRefusal(v rentier.Verdict, wait time.Duration) *forwarder.QuotaRefusal {
	switch v {
	case rentier.OverQuota, rentier.MayAsk:
		return &forwarder.QuotaRefusal{RetryAfter: wait}
	case rentier.Unavailable:
		return &forwarder.QuotaRefusal{Unknown: true, RetryAfter: wait}
	case rentier.Allowed:
	}
	return nil
}

// LeaveQuota implements forwarder.Core.
func (c *Conductor) LeaveQuota(t *director.Tenant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quotas.rentier.Leave(t.Name)
}

// TakeQuota implements forwarder.Core. If this instance has no token, it asks the distributor for one.
func (c *Conductor) TakeQuota(ctx context.Context, t *director.Tenant) *forwarder.QuotaRefusal {
	if t == nil {
		return nil
	}
	now := c.clock()
	c.mu.Lock()
	c.updateQuotaShare(now)
	verdict, wait := c.quotas.rentier.Take(now, t.Name) // It allows all if the tenant has no quota.
	if verdict != rentier.MayAsk || c.quotas.waiting >= maxQuotaWaiters {
		c.countTenant(t.Name, verdict)
		c.mu.Unlock()
		return quotaRefusal(verdict, max(wait, quotaTickInterval))
	}
	granted := make(chan bool, 1)
	c.quotas.waiters[t.Name] = append(c.quotas.waiters[t.Name], granted)
	c.quotas.waiting++
	c.mu.Unlock()
	trigger(c.quotaTrigger)
	ok := false
	select {
	case ok = <-granted:
	case <-ctx.Done():
	}
	now = c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.countTenant(t.Name, rentier.Allowed)
		return nil
	}
	c.countTenant(t.Name, rentier.OverQuota)
	return quotaRefusal(rentier.OverQuota, c.quotas.rentier.Wait(now, t.Name))
}

// ReturnQuota implements forwarder.Core.
func (c *Conductor) ReturnQuota(t *director.Tenant) {
	if t == nil {
		return
	}
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateQuotaShare(now)
	c.quotas.rentier.Return(now, t.Name)
}

// quotaLoop lends this instance's share of the quotas to the distributor and gets what this instance needs, in one call a
// second, and in further ones while requests wait for a token.
func (c *Conductor) quotaLoop(ctx context.Context) {
	runEvery(ctx, quotaTickInterval, c.quotaTrigger, func() {
		c.claimQuotas(ctx)
		for c.callDistributor(ctx) && ctx.Err() == nil { // Requests may have begun to wait meanwhile.
		}
	})
}

// callDistributor makes a call to the distributor if one is due, and reports whether it was answered while requests wait for
// the next one.
func (c *Conductor) callDistributor(ctx context.Context) bool {
	now := c.clock()
	c.mu.Lock()
	if !c.quotas.rentier.HasQuotas() {
		c.mu.Unlock()
		return false
	}
	c.updateQuotaShare(now)
	to, address := c.quotaDistributor(now)
	c.returnLoan(now, to)
	since := now.Sub(c.quotas.calledAt)
	due := since >= quotaCallInterval || since >= quotaTickInterval && c.quotas.rentier.IsCallDue(now, to)
	if !due && c.quotas.waiting == 0 {
		c.mu.Unlock()
		return false
	}
	c.quotas.calledAt = now
	waiters := c.quotas.waiters
	c.quotas.waiters, c.quotas.waiting = map[identifier.Tenant][]chan bool{}, 0
	wanted := make(map[identifier.Tenant]int, len(waiters))
	for tenant, list := range waiters {
		wanted[tenant] = len(list)
	}
	call := c.quotas.rentier.Compose(now, to, wanted)
	c.mu.Unlock()
	answer, ok := c.askDistributor(ctx, to, address, call)
	var tokens map[identifier.Tenant]int
	c.mu.Lock()
	if ok {
		answeredAt := c.clock()
		c.updateQuotaShare(answeredAt)
		tokens = c.quotas.rentier.Apply(answeredAt, now, answer)
	}
	again := ok && c.quotas.waiting > 0
	c.mu.Unlock()
	for tenant, list := range waiters {
		for n, granted := range list {
			granted <- n < tokens[tenant]
		}
	}
	return again
}

// quotaDistributor returns the process that distributes the quotas now, and its address: the highest-ranked of the machines
// with enough capacity. The caller holds the lock.
func (c *Conductor) quotaDistributor(now time.Time) (rentier.Process, string) {
	self := rentier.Process{Instance: c.settings.Instance, Incarnation: c.settings.Incarnation}
	live := c.ownership.Gossip.Live(now)
	greatest := c.settings.Capacity
	for _, p := range live {
		greatest = max(greatest, p.Capacity)
	}
	var names []identifier.Instance
	if !c.leaving && c.settings.Capacity >= distributorCapacity*greatest {
		names = append(names, self.Instance)
	}
	for _, p := range live {
		if !p.Leaving && p.Capacity >= distributorCapacity*greatest {
			names = append(names, p.Instance)
		}
	}
	to, address := self, c.settings.PeerAddress
	if top, ok := ranker.Top("quota distributor", names); ok && top != self.Instance {
		p := c.ownership.Gossip.Peer(top)
		to, address = rentier.Process{Instance: top, Incarnation: p.Incarnation}, p.Address
	}
	if to != c.quotas.present {
		c.log.WithFields(logrus.Fields{"Distributor": to.Instance, "Before": c.quotas.present.Instance}).Info("distributor of the tenants' quotas changed")
		c.quotas.present, c.quotas.presentAt = to, now
	}
	return to, address
}

// returnLoan returns this instance's share from a distributor that is no longer the one, so that it can be lent again before
// the loan would have ended. The caller holds the lock.
func (c *Conductor) returnLoan(now time.Time, distributor rentier.Process) {
	from, ok := c.quotas.rentier.LentElsewhere(now, distributor)
	if !ok || now.Sub(c.quotas.calledAt) < quotaTickInterval {
		return
	}
	address, leaving := c.settings.PeerAddress, c.leaving
	if from.Instance != c.settings.Instance {
		p := c.ownership.Gossip.Peer(from.Instance)
		if p == nil || p.Incarnation != from.Incarnation {
			return // Its process has ended; the loan ends by itself.
		}
		address, leaving = p.Address, p.Leaving
	}
	if !leaving && now.Sub(c.quotas.presentAt) < quotaReturnDelay {
		return
	}
	call := c.quotas.rentier.ComposeReturn()
	c.tasks.Go(func(ctx context.Context) {
		answer, ok := c.askDistributor(ctx, from, address, call)
		if !ok {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.quotas.rentier.ApplyReturn(c.clock(), answer)
	})
}

// askDistributor sends a call to a process, which may be this one, and returns its answer.
func (c *Conductor) askDistributor(ctx context.Context, to rentier.Process, address string, call rentier.Call) (answer rentier.Answer, ok bool) {
	c.scope.Counter("QuotaCalls").Inc(1)
	if to.Instance == c.settings.Instance {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.quotas.distributor.Answer(c.clock(), call), true
	}
	data, err := cbor.Marshal(call)
	if err != nil {
		c.log.WithField("Error", err).Error("call to the distributor of the tenants' quotas does not encode, it is not sent")
		return rentier.Answer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	reply, err := c.transport.Call(ctx, address, transporter.KindQuota, data)
	if err == nil {
		err = cbor.Unmarshal(reply, &answer)
	}
	if err != nil {
		c.scope.Counter("QuotaCallsFailed").Inc(1)
		c.log.WithFields(logrus.Fields{"Distributor": to.Instance, "Address": address, "Error": err}).Debug("distributor of the tenants' quotas did not answer")
		return rentier.Answer{}, false
	}
	return answer, true
}

// handleQuotaCall answers another instance's call to this one as the distributor. It returns nil if the call does not decode.
func (c *Conductor) handleQuotaCall(data []byte) []byte {
	var call rentier.Call
	if err := cbor.Unmarshal(data, &call); err != nil {
		c.log.WithField("Error", err).Warning("call about the tenants' quotas does not decode, it gets an empty answer")
		return nil
	}
	c.mu.Lock()
	answer := c.quotas.distributor.Answer(c.clock(), call)
	c.mu.Unlock()
	reply, err := cbor.Marshal(answer)
	if err != nil {
		c.log.WithField("Error", err).Error("answer about the tenants' quotas does not encode, the call gets an empty answer")
		return nil
	}
	return reply
}
