package prober

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// tick handles timed-out probes, declares suspected instances dead and, once per Period, starts the next probe.
func (p *Prober) tick(now time.Time) []Send {
	var sends []Send
	for _, m := range p.ring {
		sends = append(sends, p.checkTimeout(now, m)...)
		if m.Status == Suspect && now.Sub(m.statusSince) >= p.cfg.Suspicion {
			p.setStatus(now, m, Dead)
		}
	}
	if now.Before(p.nextAt) {
		return sends
	}
	p.nextAt = now.Add(p.cfg.Period)
	p.periods++
	if m := p.nextTarget(); m != nil {
		sends = append(sends, p.sendProbe(now, m))
	}
	return sends
}

// checkTimeout handles a probe without an answer: after Config.Timeout it requests helpers to probe the member too,
// and after twice that time it suspects the member. Members that are not alive get no second attempt.
func (p *Prober) checkTimeout(now time.Time, m *member) []Send {
	if m.pendingProbe == 0 || now.Sub(m.probedAt) < p.cfg.Timeout {
		return nil
	}
	if !m.relayed && m.Status == Alive {
		m.relayed = true
		return p.requestRelays(now, m)
	}
	if now.Sub(m.probedAt) < 2*p.cfg.Timeout && m.Status == Alive {
		return nil
	}
	m.pendingProbe = 0
	if m.Status == Alive {
		p.setStatus(now, m, Suspect)
	}
	return nil
}

// requestRelays returns requests to at most Config.Helpers live instances to probe a member.
func (p *Prober) requestRelays(now time.Time, target *member) []Send {
	var sends []Send
	for _, m := range p.targets() {
		if m == target || m.Status != Alive || len(sends) == p.cfg.Helpers {
			continue
		}
		sends = append(sends, p.send(now, m.Peer, Message{Kind: Relay, Number: target.pendingProbe, Target: target.Peer}))
	}
	return sends
}

// targets returns the instances that this instance probes: the first Config.Successors ones on the ring that are
// neither dead nor have left.
func (p *Prober) targets() []*member {
	var targets []*member
	for _, m := range p.ring {
		if m.Status < Dead && len(targets) < p.cfg.Successors {
			targets = append(targets, m)
		}
	}
	return targets
}

// nextTarget returns the member to probe in this period, or nil if there is none or its last probe is still
// unanswered. In every period that is a multiple of deadProbePeriods it selects a dead member, if there is one.
func (p *Prober) nextTarget() *member {
	candidates := p.targets()
	if p.periods%deadProbePeriods == 0 {
		if dead := p.deadMembers(); len(dead) > 0 {
			candidates = dead
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	p.selected++
	m := candidates[p.selected%len(candidates)]
	if m.pendingProbe != 0 {
		return nil
	}
	return m
}

// deadMembers returns the dead members that the platform still lists.
func (p *Prober) deadMembers() []*member {
	var members []*member
	for _, m := range p.ring {
		if m.Status == Dead && !m.unlisted {
			members = append(members, m)
		}
	}
	return members
}

// sendProbe records and returns a probe of a member.
func (p *Prober) sendProbe(now time.Time, m *member) Send {
	p.lastNumber++
	m.pendingProbe, m.probedAt, m.relayed = p.lastNumber, now, false
	s := p.send(now, m.Peer, Message{Kind: Probe, Number: p.lastNumber})
	if m.Status >= Suspect {
		// The member can refute the claim about itself only if it receives it.
		s.Message.Updates = append(s.Message.Updates, m.Update)
	}
	return s
}

// handleMessage handles a message: it merges the updates and answers according to the kind.
func (p *Prober) handleMessage(now time.Time, e MessageReceived) []Send {
	for _, update := range e.Message.Updates {
		p.merge(now, update)
	}
	if e.From.Instance == p.cfg.Self.Instance {
		return nil
	}
	p.recordSender(now, e.From)
	switch e.Message.Kind {
	case Probe:
		reply := p.send(now, e.From, Message{Kind: Ack, Number: e.Message.Number})
		if m, ok := p.members[e.From.Instance]; ok && m.Status >= Suspect {
			reply.Message.Updates = append(reply.Message.Updates, m.Update)
		}
		return []Send{reply}
	case Ack:
		return p.handleAck(now, e)
	case Relay:
		return p.relayProbe(now, e)
	}
	return nil
}

// recordSender records that an instance has sent a message. This makes an unknown or Unheard instance Alive; it is
// no proof against a suspicion.
func (p *Prober) recordSender(now time.Time, peer Peer) {
	m, ok := p.members[peer.Instance]
	if !ok {
		m = p.add(now, Update{Peer: peer, Status: Unheard})
	}
	if m.Status == Unheard {
		p.setStatus(now, m, Alive)
	}
}

// relayProbe probes an instance on behalf of the sender of a Relay.
func (p *Prober) relayProbe(now time.Time, e MessageReceived) []Send {
	p.lastNumber++
	p.relays[p.lastNumber] = relayedProbe{e.From.Instance, e.Message.Number}
	delete(p.relays, p.lastNumber-maxRelays)
	return []Send{p.send(now, e.Message.Target, Message{Kind: Probe, Number: p.lastNumber})}
}

// maxRelays is the largest number of probes on behalf of others that an instance keeps track of.
const maxRelays = 256

// handleAck handles an acknowledgement: of a probe on behalf of another instance, which it passes on, or of an own
// probe.
func (p *Prober) handleAck(now time.Time, e MessageReceived) []Send {
	if id, ok := p.relays[e.Message.Number]; ok {
		delete(p.relays, e.Message.Number)
		if m, ok := p.members[id.from]; ok {
			ack := Message{Kind: Ack, Number: id.number, Target: e.From}
			return []Send{p.send(now, m.Peer, ack)}
		}
		return nil
	}
	target := e.From
	if e.Message.Target.Instance != "" {
		target = e.Message.Target
	}
	m, ok := p.members[target.Instance]
	if !ok || m.pendingProbe != e.Message.Number || m.pendingProbe == 0 {
		return nil
	}
	m.pendingProbe = 0
	if e.Message.ContactAge >= 0 && target.Instance == e.From.Instance && e.Message.Revision <= p.revision {
		// The acknowledgement was sent after the probe, so this is never later than the actual contact. It counts
		// only if this instance knows all objects that the sender knew.
		m.contactAt = m.probedAt.Add(-e.Message.ContactAge)
	}
	if m.Status == Suspect || m.Status == Unheard {
		p.setStatus(now, m, Alive)
	}
	return nil
}

// setStatus sets the status of a member and queues the update for the other instances.
func (p *Prober) setStatus(now time.Time, m *member, s Status) {
	m.Status = s
	m.statusSince = now
	p.liveGeneration++
	p.queueUpdate(m)
}

// merge applies a received update if it overrides the known one, and queues it for the other instances. An unknown
// status is ignored, as is the update that an unknown instance is dead or has left.
func (p *Prober) merge(now time.Time, update Update) {
	if update.Status < Unheard || update.Status > Left {
		return
	}
	if update.Peer.Instance == p.cfg.Self.Instance {
		p.refute(update)
		return
	}
	m, ok := p.members[update.Peer.Instance]
	if !ok {
		if update.Status == Alive || update.Status == Suspect {
			p.queueUpdate(p.add(now, update))
		}
		return
	}
	if update.Incarnation < m.Incarnation || update.Incarnation == m.Incarnation && update.Status <= m.Status {
		return
	}
	changed := update.Status != m.Status
	m.Update = update
	if changed {
		m.statusSince = now
		p.liveGeneration++
	}
	p.queueUpdate(m)
}

// refute overrides a claim that this instance is not alive by an update with a higher incarnation, unless the claim
// is outdated or this instance is leaving.
func (p *Prober) refute(update Update) {
	if update.Incarnation < p.self.Incarnation || update.Status <= Alive || p.leaving {
		return
	}
	p.self.Incarnation = update.Incarnation + 1
	p.queueUpdate(&p.self)
}

// Incarnation returns the present incarnation of this instance. It starts at Config.Incarnation and increases with
// each refutation.
func (p *Prober) Incarnation() identifier.Incarnation { return p.self.Incarnation }
