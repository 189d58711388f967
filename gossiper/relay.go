package gossiper

import (
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/ranker"
)

// Message is what one instance sends to another: its own state and, if it relays, what it knows of others.
type Message struct {
	_     struct{} `cbor:",toarray"`
	State State
	// Introduce requests an introduction: the sender has just started, or it knows no live instance of its zone.
	Introduce bool
	Beats     []Beat
	Profiles  []Profile
	Loads     []ZoneLoad
}

// Beat shows that an instance was alive: the number of its newest state that the sender knows. Ref is the reference of its
// profile.
type Beat struct {
	_              struct{} `cbor:",toarray"`
	Ref            uint32
	SequenceNumber uint64
}

// Profile is the part of an instance's state that is relayed.
type Profile struct {
	_                 struct{} `cbor:",toarray"`
	Instance          identifier.Instance
	Incarnation       identifier.Incarnation
	Zone              identifier.Zone
	Address           string
	Capacity          float64
	SequenceNumber    uint64
	Leaving, StoreUp  bool
	Fences            []Fence
	ReplacedServers   []ServerIncarnation
	Crashes           []quarantiner.Crash
	HistoryLostBefore identifier.Version
}

// ref returns the reference by which beats name an incarnation of an instance. Two incarnations with the same reference
// would be taken for each other, which is as unlikely as 1 in 4 billion for each pair.
func ref(i identifier.Instance, incarnation identifier.Incarnation) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(i) + "\x00" + strconv.FormatUint(uint64(incarnation), 10)))
	return h.Sum32()
}

const (
	// meshSize is the number of other instances up to which each instance sends its states to all others. In larger
	// installations, relays pass them on.
	meshSize = 12
	// relaysPerZone is the number of instances of a zone that relay at the same time, so that the loss of one does no harm.
	relaysPerZone = 2
	// relayCapacityShare is the share of the greatest capacity in its zone that a relay needs.
	relayCapacityShare = 0.5
	// bootstrapContacts is the number of instances that an instance which knows no live one of its zone contacts at a time.
	bootstrapContacts = 2
	// joinStates is the number of its first states in which an instance requests introductions: at first it may know the
	// addresses of a few others only.
	joinStates = 10
	// contactInterval is the time after which the instances that are contacted without being known as live change.
	contactInterval = 400 * time.Millisecond
	// introductionInterval is the shortest time between two introductions of the same instance.
	introductionInterval = time.Second
	// changeTime is how long a changed profile goes into each message: three intervals, since a message is not sent while
	// the one before it is still on its way.
	changeTime = 3 * SendInterval
	// rotation is the number of messages in which each profile is sent once, changed or not.
	rotation = 15
	// relayedUnresponsiveAfter takes the place of UnresponsiveAfter where states are relayed: a beat may wait for one
	// interval at each of two relays.
	relayedUnresponsiveAfter = 1300 * time.Millisecond
)

// UnresponsiveAfter returns the time without a state after which an instance counts as unresponsive.
func (g *Gossiper) UnresponsiveAfter() time.Duration {
	if g.relayed {
		return relayedUnresponsiveAfter
	}
	return UnresponsiveAfter
}

// Deliveries are the addresses to send messages to now.
type Deliveries struct {
	Peers     []string // Instances that get the sender's state.
	Relays    []string // Relays of other zones, which get in addition what is relayed from the sender's zone.
	Members   []string // Instances of the sender's zone, which get in addition all that is relayed.
	Newcomers []string // Instances that requested an introduction: they get all that is known.
	Introduce bool     // Whether the messages request introductions.
}

// Deliveries returns the addresses to send to. Up to meshSize other instances, each gets the state. With more of them, an
// instance sends its state to the relays of its zone; a relay sends what it knows of its zone to the relays of the other
// zones, and all that it knows to the instances of its zone.
func (g *Gossiper) Deliveries(now time.Time) Deliveries {
	g.expire(now)
	known := len(g.peers)
	if known == 0 {
		known = len(g.hints)
	}
	g.relayed = known > meshSize
	if !g.relayed {
		g.forwards = false
		return Deliveries{Peers: g.Targets(now), Newcomers: g.newcomers(now), Introduce: g.number <= joinStates}
	}
	d := Deliveries{Introduce: g.number <= joinStates}
	zones := g.byZone(now)
	own := zones[g.self.Zone]
	isRelay := slices.Contains(own.relays, nil)
	g.forwards, g.ownRelays = isRelay, instances(own.relays)
	for zone, z := range zones {
		switch {
		case zone == g.self.Zone:
			for _, p := range z.live {
				if isRelay {
					d.Members = append(d.Members, p.Address)
				}
			}
			for _, p := range z.relays {
				if p != nil && !isRelay {
					d.Peers = append(d.Peers, p.Address)
				}
			}
		case isRelay:
			relays := z.relays
			if len(relays) == 0 { // The zone may be cut off: its last relays and others are tried until one is heard again.
				relays = append(g.relays(zone, z.silent), pick(z.silent, now, 1)...)
			}
			for _, p := range relays {
				d.Relays = append(d.Relays, p.Address)
			}
		}
	}
	if len(own.live) == 0 {
		d.Introduce = true
		d.Peers = append(d.Peers, pick(g.Targets(now), now, bootstrapContacts)...)
		for _, p := range pick(own.silent, now, bootstrapContacts) {
			d.Peers = append(d.Peers, p.Address)
		}
	}
	d.Newcomers = g.newcomers(now)
	sort.Strings(d.Members)
	sort.Strings(d.Relays)
	return d
}

// ZoneRelays returns the other instances that relay for the zone of this one.
func (g *Gossiper) ZoneRelays(now time.Time) []*Peer {
	var live []*Peer
	for _, p := range g.Live(now) {
		if p.Zone == g.self.Zone {
			live = append(live, p)
		}
	}
	return slices.DeleteFunc(g.relays(g.self.Zone, live), func(p *Peer) bool { return p == nil })
}

// newcomers returns the addresses of the instances that requested an introduction and get one now.
func (g *Gossiper) newcomers(now time.Time) []string {
	var addresses []string
	for _, p := range g.peers {
		if p.wantsIntroduction && now.Sub(p.introducedAt) >= introductionInterval {
			p.wantsIntroduction, p.introducedAt = false, now
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// zoneView is what is known of the instances of a zone, without this one.
type zoneView struct {
	live   []*Peer
	silent []*Peer
	relays []*Peer // The instances that relay for the zone; nil stands for this one.
}

// byZone returns what is known of each zone.
func (g *Gossiper) byZone(now time.Time) map[identifier.Zone]*zoneView {
	zones := map[identifier.Zone]*zoneView{g.self.Zone: {}}
	for _, name := range g.names {
		p := g.peers[name]
		z := zones[p.Zone]
		if z == nil {
			z = &zoneView{}
			zones[p.Zone] = z
		}
		if g.isLive(now, p) {
			z.live = append(z.live, p)
		} else {
			z.silent = append(z.silent, p)
		}
	}
	for zone, z := range zones {
		z.relays = g.relays(zone, z.live)
	}
	return zones
}

// instances returns the names of peers without nil, which stands for this instance.
func instances(peers []*Peer) []identifier.Instance {
	var names []identifier.Instance
	for _, p := range peers {
		if p != nil {
			names = append(names, p.Instance)
		}
	}
	return names
}

// relayWeight returns the weight by which an instance ranks among the possible relays of its zone.
func relayWeight(i identifier.Instance) uint64 { return ranker.Weight("relay", string(i)) }

// relays returns the relays of a zone: of its live instances that are not leaving and have enough capacity, those that
// rank first.
func (g *Gossiper) relays(zone identifier.Zone, live []*Peer) []*Peer {
	type candidate struct {
		peer   *Peer
		state  *State
		weight uint64
	}
	candidates := make([]candidate, 0, len(live)+1)
	if zone == g.self.Zone {
		candidates = append(candidates, candidate{nil, &g.self, g.relayWeight})
	}
	for _, p := range live {
		candidates = append(candidates, candidate{p, &p.State, p.relayWeight})
	}
	greatest := 0.0
	for _, c := range candidates {
		if !c.state.Leaving {
			greatest = max(greatest, c.state.Capacity)
		}
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.state.Leaving || c.state.Capacity < relayCapacityShare*greatest
	})
	sort.Slice(candidates, func(a, b int) bool { return candidates[a].weight > candidates[b].weight })
	relays := make([]*Peer, 0, relaysPerZone)
	for _, c := range candidates[:min(len(candidates), relaysPerZone)] {
		relays = append(relays, c.peer)
	}
	return relays
}

// pick returns up to n elements of a list. Others follow in each contactInterval, so that all get their turn.
func pick[T any](list []T, now time.Time, n int) []T {
	var picked []T
	first := int(now.UnixNano()/int64(contactInterval)) * n
	for k := range min(n, len(list)) {
		picked = append(picked, list[(first+k)%len(list)])
	}
	return picked
}

// Scope says what part of what an instance knows goes into a message.
type Scope int

// The scopes of a message: nothing but the sender's state, what is known of the sender's zone, what is known of all
// instances, and all of that with every profile.
const (
	ScopeState Scope = iota
	ScopeZone
	ScopeAll
	ScopeIntroduction
)

// Relay returns a message with a state and with what is relayed in a scope.
func (g *Gossiper) Relay(now time.Time, s State, scope Scope) Message {
	m := Message{State: s}
	if scope == ScopeState {
		return m
	}
	for n, name := range g.names {
		p := g.peers[name]
		if scope == ScopeZone && p.Zone != g.self.Zone || !g.isLive(now, p) {
			continue
		}
		m.Beats = append(m.Beats, Beat{Ref: p.ref, SequenceNumber: p.heardNumber})
		if scope == ScopeIntroduction || now.Sub(p.changedAt) < changeTime || uint64(n)%rotation == g.number%rotation {
			m.Profiles = append(m.Profiles, p.profile())
		}
	}
	m.Loads = g.relayedLoads(now, scope)
	return m
}

// profile returns the part of a peer's state that is relayed.
func (p *Peer) profile() Profile {
	s := &p.State
	return Profile{
		Instance: s.Instance, Incarnation: s.Incarnation, Zone: s.Zone, Address: s.Address, Capacity: s.Capacity, SequenceNumber: p.profileNumber,
		Leaving: s.Leaving, StoreUp: s.StoreUp, Fences: s.Fences, ReplacedServers: s.ReplacedServers, Crashes: s.Crashes, HistoryLostBefore: s.HistoryLostBefore,
	}
}

// sameProfile reports whether two states have the same relayed parts.
func sameProfile(a, b *State) bool {
	return a.Zone == b.Zone && a.Address == b.Address && a.Capacity == b.Capacity && a.Leaving == b.Leaving && a.StoreUp == b.StoreUp &&
		a.HistoryLostBefore == b.HistoryLostBefore && len(a.Fences) == len(b.Fences) && slices.Equal(a.ReplacedServers, b.ReplacedServers) &&
		slices.Equal(a.Crashes, b.Crashes)
}

// RecordProfile records a relayed profile and returns the state that it stands for; ok is false if it is not newer than
// what is known.
func (g *Gossiper) RecordProfile(now time.Time, f Profile) (s State, ok bool) {
	if f.Instance == g.self.Instance {
		return State{}, false
	}
	p, known := g.peers[f.Instance]
	if known && p.Incarnation == f.Incarnation && f.SequenceNumber <= p.profileNumber || known && !p.acceptsIncarnation(now, f.Incarnation) {
		return State{}, false
	}
	if known && p.Incarnation == f.Incarnation {
		s = p.State // Keeps what only the instance itself sends.
	}
	s.Instance, s.Incarnation, s.Zone, s.Address, s.Capacity = f.Instance, f.Incarnation, f.Zone, f.Address, f.Capacity
	s.Leaving, s.StoreUp, s.HistoryLostBefore = f.Leaving, f.StoreUp, f.HistoryLostBefore
	s.Fences, s.ReplacedServers, s.Crashes = f.Fences, f.ReplacedServers, f.Crashes
	p = g.replace(now, s)
	p.profileNumber = f.SequenceNumber
	p.heard(now, f.SequenceNumber, g.UnresponsiveAfter())
	return s, true
}

// RecordBeats records beats. Those of unknown instances are ignored: their profiles follow.
func (g *Gossiper) RecordBeats(now time.Time, beats []Beat) {
	for _, b := range beats {
		if p, ok := g.refs[b.Ref]; ok {
			p.heard(now, b.SequenceNumber, g.UnresponsiveAfter())
		}
	}
}

// heard records that a state with a number was received or relayed, if it is newer than the newest one.
func (p *Peer) heard(now time.Time, number uint64, unresponsiveAfter time.Duration) {
	if number <= p.heardNumber {
		return
	}
	if now.Sub(p.HeardAt) >= unresponsiveAfter {
		p.HeardSince = now
	}
	p.heardNumber, p.HeardAt = number, now
}

// Forwards reports whether this instance relays, and so passes on what others have written.
func (g *Gossiper) Forwards() bool { return g.forwards }

// Source returns the relay whose copies this instance can use in place of calls to the platform's store: of the relays of
// its zone, the first whose state came within the given time and says that the store answers it. It returns nil if there
// is none, or if this instance relays itself.
func (g *Gossiper) Source(now time.Time, within time.Duration) *Peer {
	if !g.relayed || g.forwards {
		return nil
	}
	for _, i := range g.ownRelays {
		if p := g.peers[i]; p != nil && p.StoreUp && !p.Leaving && now.Sub(p.receivedAt) < within {
			return p
		}
	}
	return nil
}

// ReceivedAt returns when the newest state came from the instance itself; zero if none did.
func (p *Peer) ReceivedAt() time.Time { return p.receivedAt }

// Relayed reports whether states are relayed, because there are many instances.
func (g *Gossiper) Relayed() bool { return g.relayed }
