// Package prober decides which instances are alive, at a cost per instance that
// does not grow with their number.
//
// It follows SWIM (Das, Gupta, Motivala, 2002): an instance probes one other each
// Period, asks helpers to probe it when it does not answer, suspects it, and
// declares it dead when nobody objects. Updates travel on the probes. Two things
// differ: an instance probes a fixed set of successors on a hash ring in place of
// random others, so that it keeps connections to a bounded number of instances;
// and it goes on probing dead ones now and then, so that two sides of a cut find
// each other again. A Prober is a state machine: it does no I/O and reads no clock.
package prober

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
)

// Status is what an instance believes of another.
type Status int

// The statuses, in the order in which they override each other at one incarnation.
const (
	Unheard Status = iota // Listed by the platform; has not answered yet.
	Alive
	Suspect
	Dead
	Left // Shut down gracefully.
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"Unheard", "Alive", "Suspect", "Dead", "Left"}[s]
}

// Peer is an instance as it is known to others.
type Peer struct {
	Instance identifier.Instance
	Zone     identifier.Zone
	Address  string // IP and port of the peer listener.
}

// Update is a claim about an instance. A higher incarnation overrides a lower one,
// and at one incarnation the higher status overrides the lower one.
type Update struct {
	Peer        Peer
	Incarnation identifier.Incarnation
	Status      Status
}

// Message is what probers send each other.
type Message struct {
	Kind   Kind
	Number uint64 // Matches an acknowledgement to its probe.
	// About is the instance to be probed, in a Relay and its acknowledgement.
	About   Peer
	Updates []Update
	// Contact is how long before this acknowledgement its sender reached the
	// platform; negative if it never did.
	Contact time.Duration
	// Revision is the platform's revision up to which its sender knows all objects.
	Revision identifier.Version
}

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	Probe Kind = iota // Are you there?
	Ack               // I am; or, with About, that instance is.
	Relay             // Probe that instance for me.
)

// Config holds a Prober's identity and its times.
type Config struct {
	Self        Peer
	Incarnation identifier.Incarnation
	Period      time.Duration // Time between two probes.
	Timeout     time.Duration // Until an unanswered probe is relayed, and then given up.
	Suspicion   time.Duration // Until a suspect is declared dead.
	Successors  int           // How many instances are probed in turn.
	Helpers     int           // How many instances relay a probe.
}

// The default times and numbers of a Prober.
const (
	DefaultPeriod     = 200 * time.Millisecond
	DefaultTimeout    = 200 * time.Millisecond
	DefaultSuspicion  = 400 * time.Millisecond
	DefaultSuccessors = 8
	DefaultHelpers    = 2
)

// deadPeriods is how many periods pass between two probes of dead instances.
const deadPeriods = 5

// updatesPerMessage bounds the updates on one message.
const updatesPerMessage = 8

// spread times the logarithm of the number of members is how often an update is sent.
const spread = 3

type member struct {
	Update
	place     uint64    // On the ring of hashes, seen from this instance.
	since     time.Time // When the status began.
	sends     int       // How often the update is still to be sent.
	unlisted  bool      // The platform's list does not have it any more.
	probedAt  time.Time
	probe     uint64 // Number of the probe that is not answered, or 0.
	relayed   bool
	contactAt time.Time // When it last reached the platform, at the earliest.
}

type relayID struct {
	from   identifier.Instance
	number uint64
}

// Prober is the state machine of one instance.
type Prober struct {
	cfg      Config
	members  map[identifier.Instance]*member
	ring     []*member // All others, by their place.
	place    uint64    // Of this instance on the ring.
	self     member
	leaving  bool
	number   uint64
	turn     int
	periods  int
	nextAt   time.Time
	relays   map[uint64]relayID // Own probe number to the probe it serves.
	revision identifier.Version
	contact  time.Time // When this instance last reached the platform.
	liveEdit uint64
}

// New returns the Prober of a process.
func New(cfg Config) *Prober {
	return &Prober{
		cfg: cfg, place: ranker.Weight("ring", string(cfg.Self.Instance)), members: map[identifier.Instance]*member{}, relays: map[uint64]relayID{},
		self: member{Update: Update{cfg.Self, cfg.Incarnation, Alive}, sends: spread},
	}
}

// Event is what can happen to a Prober.
type Event interface{ proberEvent() }

// Tick says that time has passed.
type Tick struct{}

// Received brings another prober's message.
type Received struct {
	From    Peer
	Message Message
}

// Listed brings the instances on the platform's list.
type Listed struct{ Peers []Peer }

// Reached says that a call that started at At has brought all objects up to a
// revision of the platform. At is zero if a peer brought them.
type Reached struct {
	At       time.Time
	Revision identifier.Version
}

// Leave starts the graceful shutdown.
type Leave struct{}

func (Tick) proberEvent()     {}
func (Received) proberEvent() {}
func (Listed) proberEvent()   {}
func (Reached) proberEvent()  {}
func (Leave) proberEvent()    {}

// Send is a Prober's only action: to send a message to an instance.
type Send struct {
	To      Peer
	Message Message
}

// Step takes in an event and returns the messages to send.
func (p *Prober) Step(now time.Time, event Event) []Send {
	switch e := event.(type) {
	case Tick:
		return p.tick(now)
	case Received:
		return p.receive(now, e)
	case Listed:
		p.listed(now, e.Peers)
	case Reached:
		p.revision = max(p.revision, e.Revision)
		if e.At.After(p.contact) {
			p.contact = e.At
		}
	case Leave:
		p.leaving = true
		p.self.Status = Left
		p.announce(&p.self)
		return p.sendLeave(now)
	}
	return nil
}

// Live returns the instances that answer, with their zones, and without this one.
func (p *Prober) Live() map[identifier.Instance]identifier.Zone {
	live := map[identifier.Instance]identifier.Zone{}
	for i, m := range p.members {
		if m.Status == Alive || m.Status == Suspect {
			live[i] = m.Peer.Zone
		}
	}
	return live
}

// LiveEdit changes whenever the result of Live may have changed.
func (p *Prober) LiveEdit() uint64 { return p.liveEdit }

// Find returns what is known of an instance.
func (p *Prober) Find(i identifier.Instance) (Update, bool) {
	m, ok := p.members[i]
	if !ok {
		return Update{}, false
	}
	return m.Update, true
}

// Members returns what is known of all other instances, sorted by name.
func (p *Prober) Members() []Update {
	var all []Update
	for _, m := range p.members {
		all = append(all, m.Update)
	}
	slices.SortFunc(all, func(x, y Update) int {
		if x.Peer.Instance < y.Peer.Instance {
			return -1
		}
		return 1
	})
	return all
}

// ContactAt returns when the platform was last reached at the earliest, by this
// instance or by one that has acknowledged a probe since.
func (p *Prober) ContactAt() time.Time {
	latest := p.contact
	for _, m := range p.members {
		if m.contactAt.After(latest) {
			latest = m.contactAt
		}
	}
	return latest
}

// listed takes in the platform's list. An instance that is listed and was never
// heard of is probed; one that is dead and off the list is forgotten.
func (p *Prober) listed(now time.Time, peers []Peer) {
	on := map[identifier.Instance]bool{}
	before := len(p.members)
	for _, peer := range peers {
		on[peer.Instance] = true
		if _, ok := p.members[peer.Instance]; !ok && peer.Instance != p.cfg.Self.Instance {
			p.insert(now, Update{Peer: peer, Status: Unheard})
		}
	}
	changed := len(p.members) > before
	for i, m := range p.members {
		m.unlisted = !on[i]
		if m.unlisted && m.Status != Alive && m.Status != Suspect {
			delete(p.members, i)
			changed = true
		}
	}
	if changed {
		p.rebuild()
	}
}

func (p *Prober) add(now time.Time, n Update) *member {
	m := p.insert(now, n)
	p.rebuild()
	return m
}

// insert adds a member; rebuild must follow.
func (p *Prober) insert(now time.Time, n Update) *member {
	place := ranker.Weight("ring", string(n.Peer.Instance)) - p.place
	m := &member{Update: n, since: now, place: place}
	p.members[n.Peer.Instance] = m
	p.liveEdit++
	return m
}

// rebuild sorts the ring by hash, seen from this instance onwards.
func (p *Prober) rebuild() {
	p.ring = p.ring[:0]
	for _, m := range p.members {
		p.ring = append(p.ring, m)
	}
	slices.SortFunc(p.ring, func(x, y *member) int { return cmp.Compare(x.place, y.place) })
}

// announce queues updates to be sent to enough others that all learn of it.
func (p *Prober) announce(m *member) {
	m.sends = spread * (bits.Len(uint(len(p.members))) + 1)
}

// updates returns the claims to send along, those that were sent least first.
func (p *Prober) updates() []Update {
	var queue []*member
	if p.self.sends > 0 {
		queue = append(queue, &p.self)
	}
	for _, m := range p.ring {
		if m.sends > 0 && m.Status != Unheard {
			queue = append(queue, m)
		}
	}
	slices.SortStableFunc(queue, func(x, y *member) int { return y.sends - x.sends })
	var out []Update
	for _, m := range queue[:min(len(queue), updatesPerMessage)] {
		m.sends--
		out = append(out, m.Update)
	}
	return out
}

func (p *Prober) send(now time.Time, to Peer, m Message) Send {
	m.Updates = p.updates()
	m.Revision = p.revision
	m.Contact = -1
	if !p.contact.IsZero() {
		m.Contact = now.Sub(p.contact)
	}
	return Send{to, m}
}

func (p *Prober) sendLeave(now time.Time) []Send {
	var sends []Send
	for _, m := range p.targets() {
		sends = append(sends, p.send(now, m.Peer, Message{Kind: Ack}))
	}
	return sends
}
