package conductor

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/transporter"
)

const (
	// evidenceReserve is deducted from the bound on the time in which a removed key may work. It is for the time from the last
	// check of a key to the arrival of the request at its backend server.
	evidenceReserve = 500 * time.Millisecond
	// evidenceInterval is the time between two checks how old the evidence is.
	evidenceInterval = 200 * time.Millisecond
	// evidencePause is the time between two calls for younger evidence.
	evidencePause = 500 * time.Millisecond
	// peerEvidenceShare is the share of the bound at which another instance is asked, and storeEvidenceShare that at which the
	// store is. The first is above the age that the evidence of an instance with short watches reaches.
	peerEvidenceShare, storeEvidenceShare = 0.4, 0.5
	// evidenceWatchShare is the share of the bound for which a watch waits at instances that others ask. Evidence is dated by
	// the request of a watch, so it gets twice as old.
	evidenceWatchShare = 0.2
	// evidenceCallTimeout bounds a call to another instance for its evidence.
	evidenceCallTimeout = 300 * time.Millisecond
	// evidenceWatchWait is how long a watch waits that is only to show whether there are changes.
	evidenceWatchWait = 10 * time.Millisecond
	// staleKeysRetryAfter is the Retry-After time of requests with keys while the evidence is too old.
	staleKeysRetryAfter = 500 * time.Millisecond
)

// evidence is what shows up to when the configuration of this instance is known to be current. The conductor's lock guards it.
type evidence struct {
	at          time.Time          // From calls of other instances and of the store, besides the mirror's.
	seenVersion identifier.Version // The newest version of the configuration object that was read, whether it is in force or not.
	calledAt    time.Time
	next        int  // Rotates over the instances that are asked.
	refused     bool // Requests with keys are refused, as last logged.
}

// evidenceAnswer is the answer to another instance that asks for evidence: at most AgeMs milliseconds ago, Version was the
// newest version of the configuration object.
type evidenceAnswer struct {
	Version identifier.Version
	AgeMs   int64 // Negative if there is no evidence.
}

// isStrict reports whether requests with keys need evidence. The caller holds the lock.
func (c *Conductor) isStrict() bool {
	return c.settings.StrictRevoke && c.view.table != nil && c.view.table.HasTenants()
}

// evidenceAge returns the age of the newest evidence that the configuration is current. ok is false if there is none. The
// caller holds the lock.
func (c *Conductor) evidenceAge(now time.Time) (age time.Duration, ok bool) {
	at := c.evidence.at
	if own := c.mirrors[c.kinds.Config].CurrentAt(); own.After(at) {
		at = own
	}
	return now.Sub(at), !at.IsZero()
}

// refusesKeys reports whether requests with keys are refused, because a key may have been removed without this instance knowing.
// The caller holds the lock.
func (c *Conductor) refusesKeys(now time.Time) bool {
	if !c.isStrict() {
		return false
	}
	age, ok := c.evidenceAge(now)
	return !ok || age > c.settings.RevokeTime-evidenceReserve
}

// KeysAreCurrent implements forwarder.Core.
func (c *Conductor) KeysAreCurrent() (ok bool, retryAfter time.Duration) {
	now := c.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.refusesKeys(now), staleKeysRetryAfter
}

// evidenceLoop keeps the evidence young: it asks an instance that has short watches and, if that does not help, the store.
func (c *Conductor) evidenceLoop(ctx context.Context) {
	runEvery(ctx, evidenceInterval, nil, func() {
		now := c.clock()
		c.mu.Lock()
		if !c.isStrict() {
			c.mu.Unlock()
			return
		}
		c.logEvidence(now)
		age, _ := c.evidenceAge(now)
		share := func(s float64) time.Duration { return time.Duration(s * float64(c.settings.RevokeTime)) }
		due := age >= share(peerEvidenceShare) && now.Sub(c.evidence.calledAt) >= evidencePause
		if due {
			c.evidence.calledAt = now
		}
		address := c.evidenceSource(now)
		storeUp := c.view.storeDownAt.IsZero()
		c.mu.Unlock()
		if !due {
			return
		}
		if address != "" {
			c.askForEvidence(ctx, address)
		}
		c.mu.Lock()
		age, _ = c.evidenceAge(c.clock())
		c.mu.Unlock()
		if age >= share(storeEvidenceShare) && storeUp {
			c.checkConfig(ctx)
		}
	})
}

// logEvidence logs when requests with keys begin or cease to be refused, and records the age of the evidence. The caller holds
// the lock.
func (c *Conductor) logEvidence(now time.Time) {
	age, ok := c.evidenceAge(now)
	if ok {
		c.scope.Gauge("KeyEvidenceAge").Update(age.Seconds())
	}
	if refused := c.refusesKeys(now); refused != c.evidence.refused {
		c.evidence.refused = refused
		c.log.WithFields(logrus.Fields{"Refused": refused, "EvidenceAgeMs": age.Milliseconds(), "LimitMs": (c.settings.RevokeTime - evidenceReserve).Milliseconds()}).Info(
			"requests with API keys are refused because the configuration may be out of date, or are not any more")
	}
}

// evidenceSource returns the address of the instance to ask next, or an empty text if there is none: a relay of the zone, or the
// planner where states are not relayed, which have short watches; without them any one that the store answers. The caller
// holds the lock.
func (c *Conductor) evidenceSource(now time.Time) string {
	gossip := c.ownership.Gossip
	var addresses []string
	if gossip.Relayed() {
		for _, p := range gossip.ZoneRelays(now) {
			if p.StoreUp {
				addresses = append(addresses, p.Address)
			}
		}
	} else if p := gossip.Peer(c.ownership.Planner(now)); p != nil && p.StoreUp {
		addresses = append(addresses, p.Address)
	}
	if len(addresses) == 0 || c.refusesKeys(now) {
		for _, p := range gossip.Live(now) {
			if p.StoreUp {
				addresses = append(addresses, p.Address)
			}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	c.evidence.next++
	return addresses[c.evidence.next%len(addresses)]
}

// askForEvidence asks the instance at an address for its evidence. It is dated by the time of the call, less the age that the
// other instance states, so no clocks are compared.
func (c *Conductor) askForEvidence(ctx context.Context, address string) {
	c.scope.Counter("EvidencePeerCalls").Inc(1)
	ctx, cancel := context.WithTimeout(ctx, evidenceCallTimeout)
	defer cancel()
	askedAt := c.clock()
	reply, err := c.transport.Call(ctx, address, transporter.KindEvidence, nil)
	var answer evidenceAnswer
	if err == nil {
		err = cbor.Unmarshal(reply, &answer)
	}
	if err != nil {
		c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Debug("another instance did not say how current its configuration is")
		return
	}
	c.applyEvidence(askedAt, answer)
}

// applyEvidence applies the answer to a call that was made at a time.
func (c *Conductor) applyEvidence(askedAt time.Time, answer evidenceAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer.AgeMs < 0 || answer.Version > c.evidence.seenVersion {
		return // The other instance has a newer configuration, which is on its way to this one.
	}
	if at := askedAt.Add(-time.Duration(answer.AgeMs) * time.Millisecond); at.After(c.evidence.at) {
		c.evidence.at = at
	}
}

// handleEvidenceCall answers another instance that asks for evidence.
func (c *Conductor) handleEvidenceCall() []byte {
	now := c.clock()
	c.mu.Lock()
	answer := evidenceAnswer{Version: c.evidence.seenVersion, AgeMs: -1}
	if age, ok := c.evidenceAge(now); ok {
		answer.AgeMs = age.Milliseconds() + 1
	}
	c.mu.Unlock()
	reply, err := cbor.Marshal(answer)
	if err != nil {
		c.log.WithField("Error", err).Error("answer about the age of the configuration does not encode, the call gets an empty answer")
		return nil
	}
	return reply
}

// checkConfig asks the store whether the configuration has changed, by a watch that hardly waits.
func (c *Conductor) checkConfig(ctx context.Context) {
	c.scope.Counter("EvidenceStoreCalls").Inc(1)
	m := c.mirrors[c.kinds.Config]
	askedAt, from := c.clock(), m.Revision()
	events, err := c.calls(reasonEvidence).Watch(ctx, c.kinds.Config, from, evidenceWatchWait)
	c.recordStoreCall(c.kinds.Config, err)
	switch {
	case errors.Is(err, storer.ErrHistoryGone), err == nil && len(events.Events) > 0:
		m.Relist() // The list is evidence as well.
	case err == nil:
		c.mu.Lock()
		defer c.mu.Unlock()
		if askedAt.After(c.evidence.at) {
			c.evidence.at = askedAt
		}
	}
}

// evidenceWatchTime returns how long a watch of the configuration may wait at an instance that others ask for evidence. The
// caller holds the lock.
func (c *Conductor) evidenceWatchTime(wait time.Duration) time.Duration {
	if !c.isStrict() {
		return wait
	}
	return min(wait, time.Duration(evidenceWatchShare*float64(c.settings.RevokeTime)))
}
