package prober

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// tick times out probes, declares suspects dead and starts the next probe.
func (p *Prober) tick(now time.Time) []Send {
	var sends []Send
	for _, m := range p.ring {
		sends = append(sends, p.overdue(now, m)...)
		if m.Status == Suspect && now.Sub(m.since) >= p.cfg.Suspicion {
			p.change(now, m, Dead)
		}
	}
	if now.Before(p.nextAt) {
		return sends
	}
	p.nextAt = now.Add(p.cfg.Period)
	p.periods++
	if m := p.nextTarget(); m != nil {
		sends = append(sends, p.probe(now, m))
	}
	return sends
}

// overdue relays a probe that is not answered in time, and then suspects.
func (p *Prober) overdue(now time.Time, m *member) []Send {
	if m.probe == 0 || now.Sub(m.probedAt) < p.cfg.Timeout {
		return nil
	}
	if !m.relayed && m.Status == Alive {
		m.relayed = true
		return p.relay(now, m)
	}
	if now.Sub(m.probedAt) < 2*p.cfg.Timeout && m.Status == Alive {
		return nil
	}
	m.probe = 0
	if m.Status == Alive {
		p.change(now, m, Suspect)
	}
	return nil
}

func (p *Prober) relay(now time.Time, about *member) []Send {
	var sends []Send
	for _, m := range p.targets() {
		if m == about || m.Status != Alive || len(sends) == p.cfg.Helpers {
			continue
		}
		sends = append(sends, p.send(now, m.Peer, Message{Kind: Relay, Number: about.probe, About: about.Peer}))
	}
	return sends
}

// targets returns the successors on the ring that this instance probes: the first
// ones that are not dead.
func (p *Prober) targets() []*member {
	var targets []*member
	for _, m := range p.ring {
		if m.Status < Dead && len(targets) < p.cfg.Successors {
			targets = append(targets, m)
		}
	}
	return targets
}

func (p *Prober) nextTarget() *member {
	candidates := p.targets()
	if p.periods%deadPeriods == 0 {
		if dead := p.ended(); len(dead) > 0 {
			candidates = dead
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	p.turn++
	m := candidates[p.turn%len(candidates)]
	if m.probe != 0 {
		return nil
	}
	return m
}

func (p *Prober) ended() []*member {
	var ended []*member
	for _, m := range p.ring {
		if m.Status == Dead && !m.unlisted {
			ended = append(ended, m)
		}
	}
	return ended
}

func (p *Prober) probe(now time.Time, m *member) Send {
	p.number++
	m.probe, m.probedAt, m.relayed = p.number, now, false
	s := p.send(now, m.Peer, Message{Kind: Probe, Number: p.number})
	if m.Status >= Suspect {
		// It must merge what is said of it to refute.
		s.Message.Updates = append(s.Message.Updates, m.Update)
	}
	return s
}

func (p *Prober) receive(now time.Time, e Received) []Send {
	for _, n := range e.Message.Updates {
		p.merge(now, n)
	}
	if e.From.Instance == p.cfg.Self.Instance {
		return nil
	}
	p.observe(now, e.From)
	switch e.Message.Kind {
	case Probe:
		reply := p.send(now, e.From, Message{Kind: Ack, Number: e.Message.Number})
		if m, ok := p.members[e.From.Instance]; ok && m.Status >= Suspect {
			reply.Message.Updates = append(reply.Message.Updates, m.Update)
		}
		return []Send{reply}
	case Ack:
		return p.acked(now, e)
	case Relay:
		return p.help(now, e)
	}
	return nil
}

// observe takes in that an instance has sent something, and so is there.
func (p *Prober) observe(now time.Time, peer Peer) {
	m, ok := p.members[peer.Instance]
	if !ok {
		m = p.add(now, Update{Peer: peer, Status: Unheard})
	}
	if m.Status == Unheard {
		p.change(now, m, Alive)
	}
}

func (p *Prober) help(now time.Time, e Received) []Send {
	p.number++
	p.relays[p.number] = relayID{e.From.Instance, e.Message.Number}
	delete(p.relays, p.number-maxRelays)
	return []Send{p.send(now, e.Message.About, Message{Kind: Probe, Number: p.number})}
}

// maxRelays bounds the relayed probes that an instance remembers.
const maxRelays = 256

func (p *Prober) acked(now time.Time, e Received) []Send {
	if id, ok := p.relays[e.Message.Number]; ok {
		delete(p.relays, e.Message.Number)
		if m, ok := p.members[id.from]; ok {
			ack := Message{Kind: Ack, Number: id.number, About: e.From}
			return []Send{p.send(now, m.Peer, ack)}
		}
		return nil
	}
	about := e.From
	if e.Message.About.Instance != "" {
		about = e.Message.About
	}
	m, ok := p.members[about.Instance]
	if !ok || m.probe != e.Message.Number || m.probe == 0 {
		return nil
	}
	m.probe = 0
	if e.Message.Contact >= 0 && about.Instance == e.From.Instance && e.Message.Revision <= p.revision {
		// The acknowledgement was sent after the probe, so this is never too late. It
		// counts only if this instance knows all that its sender knew.
		m.contactAt = m.probedAt.Add(-e.Message.Contact)
	}
	if m.Status == Suspect || m.Status == Unheard {
		p.change(now, m, Alive)
	}
	return nil
}

// change sets the status of a member and tells the others.
func (p *Prober) change(now time.Time, m *member, s Status) {
	m.Status = s
	m.since = now
	p.liveEdit++
	p.announce(m)
}

// merge takes in a claim.
func (p *Prober) merge(now time.Time, n Update) {
	if n.Status < Unheard || n.Status > Left {
		return
	}
	if n.Peer.Instance == p.cfg.Self.Instance {
		p.refute(n)
		return
	}
	m, ok := p.members[n.Peer.Instance]
	if !ok {
		if n.Status == Alive || n.Status == Suspect {
			p.announce(p.add(now, n))
		}
		return
	}
	if n.Incarnation < m.Incarnation || n.Incarnation == m.Incarnation && n.Status <= m.Status {
		return
	}
	changed := n.Status != m.Status
	m.Update = n
	if changed {
		m.since = now
		p.liveEdit++
	}
	p.announce(m)
}

// refute answers a claim that this instance is not alive with a new incarnation.
func (p *Prober) refute(n Update) {
	if n.Incarnation < p.self.Incarnation || n.Status <= Alive || p.leaving {
		return
	}
	p.self.Incarnation = n.Incarnation + 1
	p.announce(&p.self)
}

// Incarnation returns the present incarnation of this instance as a member.
func (p *Prober) Incarnation() identifier.Incarnation { return p.self.Incarnation }
