package conductor

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/rentier"
	"github.com/turmericlift/turmericlift/storer"
)

// memberRetention is how long the planner must not have heard an instance before it ends the instance's record. A share is
// lost to all others until then, and an instance that comes back later waits for its share.
const memberRetention = 10 * time.Minute

// Share implements scheduler.Shares. The caller holds the lock.
func (c *Conductor) Share(now time.Time, id identifier.BackendServer) apportioner.Share {
	return c.apportioner.Share(now, "cold "+string(id))
}

// logSharers logs and counts the number of instances among which bounds are divided, when it has changed. The caller holds
// the lock.
func (c *Conductor) logSharers(now time.Time) {
	n := c.apportioner.Sharers(now)
	if n == c.sharers {
		return
	}
	c.log.WithFields(logrus.Fields{"Sharers": n, "Before": c.sharers, "Records": c.apportioner.Count(), "Settled": c.apportioner.IsSettled(now),
		"ListAgeMs": now.Sub(c.apportioner.ListedAt()).Milliseconds()}).Info("number of instances that share bounds changed")
	c.sharers = n
	c.scope.Gauge("Sharers").Update(float64(n))
}

// register writes this instance's member object unless the store has it already for this
// incarnation, and writes it again when its record has settled.
func (c *Conductor) register(ctx context.Context) {
	name := memberPrefix + string(c.settings.Instance)
	m := member{Instance: c.settings.Instance, Incarnation: c.settings.Incarnation, Zone: c.settings.Zone, Address: c.settings.PeerAddress}
	o, ok := c.mirrors[c.kinds.Shared].Get(name)
	if ok {
		old, err := decodeMember(o.Data)
		if err == nil && !old.Ended {
			c.mu.Lock()
			m.Settled = old.Settled || c.apportioner.IsSettled(c.clock())
			c.mu.Unlock()
		}
		if err == nil && old == m {
			return
		}
	}
	data, err := json.Marshal(m)
	if err != nil {
		c.log.WithField("Error", err).Error("member object does not encode, this instance is not registered")
		return
	}
	c.write(ctx, name, o.Version, data)
}

// removeRecords ends the records of instances that have not been heard for memberRetention, and removes those that ended
// long enough ago.
func (c *Conductor) removeRecords(ctx context.Context) {
	now := c.clock()
	c.mu.Lock()
	var gone []seenMember
	for _, m := range c.view.members {
		if m.Instance == c.settings.Instance || c.ownership.Gossip.Peer(m.Instance) != nil {
			delete(c.missingSince, m.Instance)
			continue
		}
		since, ok := c.missingSince[m.Instance]
		if !ok {
			c.missingSince[m.Instance] = now
			continue
		}
		wait := memberRetention
		if m.Ended {
			wait = apportioner.SettleTime + rentier.DefaultTiming().Settle // Its share of quotas may be lent.
		}
		if now.Sub(since) >= wait {
			c.missingSince[m.Instance] = now // The next step, or another try, comes no sooner than wait.
			gone = append(gone, m)
		}
	}
	for i := range c.missingSince {
		if _, ok := c.view.members[memberPrefix+string(i)]; !ok {
			delete(c.missingSince, i)
		}
	}
	c.mu.Unlock()
	for _, m := range gone {
		c.removeRecord(ctx, m)
	}
}

// removeRecord removes the record of an instance that is gone, or ends it if it has not ended yet.
func (c *Conductor) removeRecord(ctx context.Context, gone seenMember) {
	m, name := gone.member, memberPrefix+string(gone.Instance)
	fields := logrus.Fields{"Instance": m.Instance, "Version": gone.version}
	if m.Ended {
		err := c.calls(reasonWrite).Delete(ctx, c.kinds.Shared, name, gone.version)
		var conflict *storer.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			c.log.WithFields(fields).WithField("Error", err).Warning("record of an instance that is gone was not removed, it is tried again")
			return
		}
		c.log.WithFields(fields).WithField("Error", err).Info("record of an instance that is gone removed, unless it has changed")
		return
	}
	m.Ended = true
	data, err := json.Marshal(m)
	if err != nil {
		c.log.WithFields(fields).WithField("Error", err).Error("member object does not encode, the record is not ended")
		return
	}
	c.log.WithFields(fields).Info("instance has not been heard for long, its record ends")
	c.write(ctx, name, gone.version, data)
}
