// Package prober detects which instances are alive, at a cost per instance that does not grow with their number.
//
// It follows SWIM (Das, Gupta, Motivala, 2002). An instance probes one other instance in each Period. If the probed
// instance does not answer, other instances are requested to probe it as well; if they get no answer either, it
// becomes suspected, and after a further time without a refutation it is declared dead. Updates of the membership
// are piggybacked on the probes and their acknowledgements.
//
// The package differs from SWIM in two points. An instance probes a fixed set of successors on a hash ring instead of
// random instances, so that it keeps connections to a bounded number of instances. And it continues to probe dead
// instances at longer intervals, so that the two sides of a network partition find each other again.
//
// A Prober is a state machine: it does no I/O and reads no clock, and it is not safe for concurrent use. Start with
// prober.go, which holds the types, the events and the member list; probe.go holds the protocol.
package prober

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
)

// Status is the state of an instance as another instance knows it.
type Status int

// The statuses, in the order in which they override each other at one incarnation.
const (
	Unheard Status = iota // The instance is on the platform's list, but has not sent anything yet.
	Alive                 // The instance answers probes.
	Suspect               // The instance has not answered a probe, directly or through helpers.
	Dead                  // The instance stayed suspected for Config.Suspicion.
	Left                  // The instance has shut down gracefully.
)

// String returns the name of the status. It panics for an unknown status.
func (s Status) String() string {
	return [...]string{"Unheard", "Alive", "Suspect", "Dead", "Left"}[s]
}

// Peer identifies an instance and says where other instances reach it.
type Peer struct {
	Instance identifier.Instance
	Zone     identifier.Zone
	Address  string // IP address and port of the instance's listener for peers.
}

// Update is a claim about the status of an instance. Of two claims about an instance, the one with the higher
// incarnation is valid, and at the same incarnation the one with the higher status.
type Update struct {
	Peer        Peer
	Incarnation identifier.Incarnation
	Status      Status
}

// Message is a message between probers.
type Message struct {
	Kind   Kind
	Number uint64 // The number of a probe, which its acknowledgement echoes.
	// Target is the instance to probe in a Relay, and the instance that has answered in its acknowledgement. It is
	// zero in other messages.
	Target  Peer `cbor:"About" json:"About"`
	Updates []Update
	// ContactAge is the time from the sender's last contact with the platform to this message. It is negative if there
	// was no contact.
	ContactAge time.Duration `cbor:"Contact" json:"Contact"`
	// Revision is the platform's revision up to which the sender knows all objects.
	Revision identifier.Version
}

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	Probe Kind = iota // Requests an Ack.
	Ack               // Acknowledges a Probe; with a Target, passes on the acknowledgement of that instance.
	Relay             // Requests the receiver to probe the instance in Target.
)

// Config holds the identity of a Prober's instance and the parameters of the protocol.
type Config struct {
	Self        Peer
	Incarnation identifier.Incarnation
	Period      time.Duration // Time between the starts of two probes.
	Timeout     time.Duration // Time until helpers probe an instance too; after twice this time it is suspected.
	Suspicion   time.Duration // Time from the suspicion of an instance until it is declared dead.
	Successors  int           // Number of instances that are probed, one after the other.
	Helpers     int           // Number of instances that are requested to probe an unresponsive instance.
}

// The default parameters of a Prober.
const (
	DefaultPeriod     = 200 * time.Millisecond
	DefaultTimeout    = 200 * time.Millisecond
	DefaultSuspicion  = 400 * time.Millisecond
	DefaultSuccessors = 8
	DefaultHelpers    = 2
)

// deadProbePeriods is the number of periods between two probes of dead instances.
const deadProbePeriods = 5

// updatesPerMessage is the largest number of updates that are piggybacked on one message.
const updatesPerMessage = 8

// transmitFactor, multiplied by the logarithm of the number of members, is how many times an update is sent.
const transmitFactor = 3

// member is what this instance knows of another instance, or, as Prober.self, of itself.
type member struct {
	Update
	ringOffset   uint64    // The distance on the hash ring from this instance to the member.
	statusSince  time.Time // When the status began.
	sendsLeft    int       // How many more times the update will be sent.
	unlisted     bool      // The platform's list no longer contains the member.
	probedAt     time.Time
	pendingProbe uint64    // Number of the unanswered probe, or 0.
	relayed      bool      // Helpers have been requested to probe the member.
	contactAt    time.Time // Lower bound of the time when the member last reached the platform.
}

// relayedProbe identifies the probe of another instance on whose behalf this instance probes.
type relayedProbe struct {
	from   identifier.Instance
	number uint64
}

// Prober is the state machine of one instance. It is not safe for concurrent use.
type Prober struct {
	cfg            Config
	members        map[identifier.Instance]*member
	ring           []*member // All other instances, in the order of the hash ring from this instance onwards.
	ringPosition   uint64    // The position of this instance on the hash ring.
	self           member
	leaving        bool
	lastNumber     uint64                  // Number of the last probe that was sent.
	selected       int                     // Count of the candidates that were selected for a probe.
	periods        int                     // Count of the periods that have started.
	nextAt         time.Time               // When the next period starts.
	relays         map[uint64]relayedProbe // For the number of a probe sent as helper, the probe that it is sent for.
	revision       identifier.Version      // The platform's revision up to which this instance knows all objects.
	ownContactAt   time.Time               // When this instance last reached the platform itself.
	liveGeneration uint64
}

// New returns the Prober of a new process. It knows no other instance before a PeersListed or MessageReceived event.
func New(cfg Config) *Prober {
	return &Prober{
		cfg: cfg, ringPosition: ranker.Weight("ring", string(cfg.Self.Instance)), members: map[identifier.Instance]*member{}, relays: map[uint64]relayedProbe{},
		self: member{Update: Update{cfg.Self, cfg.Incarnation, Alive}, sendsLeft: transmitFactor},
	}
}

// Event is an input of a Prober's state machine.
type Event interface{ proberEvent() }

// Tick lets a Prober act on the passage of time. It is due several times per Period.
type Tick struct{}

// MessageReceived carries a message of another instance's Prober.
type MessageReceived struct {
	From    Peer
	Message Message
}

// PeersListed carries all instances on the platform's list.
type PeersListed struct{ Peers []Peer }

// PlatformReached says that this instance knows all objects up to a revision of the platform. At is the time when the
// call of the platform that returned them started, or zero if a peer sent them.
type PlatformReached struct {
	At       time.Time
	Revision identifier.Version
}

// Leave starts the graceful shutdown: the Prober announces to its peers that the instance has left.
type Leave struct{}

func (Tick) proberEvent()            {}
func (MessageReceived) proberEvent() {}
func (PeersListed) proberEvent()     {}
func (PlatformReached) proberEvent() {}
func (Leave) proberEvent()           {}

// Send is the only action of a Prober: the caller must send a message to an instance. Delivery is not guaranteed.
type Send struct {
	To      Peer
	Message Message
}

// Step handles an event and returns the messages that the caller must send.
func (p *Prober) Step(now time.Time, event Event) []Send {
	switch e := event.(type) {
	case Tick:
		return p.tick(now)
	case MessageReceived:
		return p.handleMessage(now, e)
	case PeersListed:
		p.handleList(now, e.Peers)
	case PlatformReached:
		p.revision = max(p.revision, e.Revision)
		if e.At.After(p.ownContactAt) {
			p.ownContactAt = e.At
		}
	case Leave:
		p.leaving = true
		p.self.Status = Left
		p.queueUpdate(&p.self)
		return p.sendLeave(now)
	}
	return nil
}

// Live returns the zones of the instances that are alive or suspected, without this instance.
func (p *Prober) Live() map[identifier.Instance]identifier.Zone {
	live := map[identifier.Instance]identifier.Zone{}
	for i, m := range p.members {
		if m.Status == Alive || m.Status == Suspect {
			live[i] = m.Peer.Zone
		}
	}
	return live
}

// LiveGeneration returns a counter that increases whenever the result of Live may have changed.
func (p *Prober) LiveGeneration() uint64 { return p.liveGeneration }

// Find returns the latest update about another instance, and false if the instance is unknown.
func (p *Prober) Find(i identifier.Instance) (Update, bool) {
	m, ok := p.members[i]
	if !ok {
		return Update{}, false
	}
	return m.Update, true
}

// Members returns the latest updates about all other instances, sorted by name.
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

// PlatformContactAt returns a lower bound of the time of the last contact with the platform, by this instance or by an
// instance that has acknowledged a probe since. It is zero if no contact is known.
func (p *Prober) PlatformContactAt() time.Time {
	latest := p.ownContactAt
	for _, m := range p.members {
		if m.contactAt.After(latest) {
			latest = m.contactAt
		}
	}
	return latest
}

// handleList applies the platform's list. It adds listed instances that are unknown, so that they are probed, and
// removes those that are neither listed nor live.
func (p *Prober) handleList(now time.Time, peers []Peer) {
	listed := map[identifier.Instance]bool{}
	before := len(p.members)
	for _, peer := range peers {
		listed[peer.Instance] = true
		if _, ok := p.members[peer.Instance]; !ok && peer.Instance != p.cfg.Self.Instance {
			p.insert(now, Update{Peer: peer, Status: Unheard})
		}
	}
	changed := len(p.members) > before
	for i, m := range p.members {
		m.unlisted = !listed[i]
		if m.unlisted && m.Status != Alive && m.Status != Suspect {
			delete(p.members, i)
			changed = true
		}
	}
	if changed {
		p.rebuild()
	}
}

// add adds a member to the list and to the ring.
func (p *Prober) add(now time.Time, update Update) *member {
	m := p.insert(now, update)
	p.rebuild()
	return m
}

// insert adds a member to the list only. The caller must call rebuild afterwards.
func (p *Prober) insert(now time.Time, update Update) *member {
	ringOffset := ranker.Weight("ring", string(update.Peer.Instance)) - p.ringPosition
	m := &member{Update: update, statusSince: now, ringOffset: ringOffset}
	p.members[update.Peer.Instance] = m
	p.liveGeneration++
	return m
}

// rebuild builds the hash ring from the members, starting at the position of this instance.
func (p *Prober) rebuild() {
	p.ring = p.ring[:0]
	for _, m := range p.members {
		p.ring = append(p.ring, m)
	}
	slices.SortFunc(p.ring, func(x, y *member) int { return cmp.Compare(x.ringOffset, y.ringOffset) })
}

// queueUpdate queues the update about a member to be piggybacked on so many messages that all instances learn of it.
func (p *Prober) queueUpdate(m *member) {
	m.sendsLeft = transmitFactor * (bits.Len(uint(len(p.members))) + 1)
}

// nextUpdates returns the updates to piggyback on the next message, those that have the most transmissions left
// first, and counts them as sent.
func (p *Prober) nextUpdates() []Update {
	var queue []*member
	if p.self.sendsLeft > 0 {
		queue = append(queue, &p.self)
	}
	for _, m := range p.ring {
		if m.sendsLeft > 0 && m.Status != Unheard {
			queue = append(queue, m)
		}
	}
	slices.SortStableFunc(queue, func(x, y *member) int { return y.sendsLeft - x.sendsLeft })
	var out []Update
	for _, m := range queue[:min(len(queue), updatesPerMessage)] {
		m.sendsLeft--
		out = append(out, m.Update)
	}
	return out
}

// send returns a message with the fields that every message carries.
func (p *Prober) send(now time.Time, to Peer, m Message) Send {
	m.Updates = p.nextUpdates()
	m.Revision = p.revision
	m.ContactAge = -1
	if !p.ownContactAt.IsZero() {
		m.ContactAge = now.Sub(p.ownContactAt)
	}
	return Send{to, m}
}

// sendLeave returns the messages that notify the instances that this one probes that it has left.
func (p *Prober) sendLeave(now time.Time) []Send {
	var sends []Send
	for _, m := range p.targets() {
		sends = append(sends, p.send(now, m.Peer, Message{Kind: Ack}))
	}
	return sends
}
