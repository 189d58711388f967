package gossiper_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
)

// fleet simulates instances that exchange messages in virtual time. Messages of an interval arrive at its end, in a random
// order, unless they are lost.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	nodes     []*node
	byAddress map[string]*node
	cut       identifier.Zone // No messages pass between this zone and the others.
	loss      float64
	sent      int
	received  map[string]int
}

// node is one instance of a fleet.
type node struct {
	name    identifier.Instance
	zone    identifier.Zone
	address string
	gossip  *gossiper.Gossiper
	dead    bool
}

// newFleet returns a fleet of n instances in the given number of zones. Each knows the addresses of the first three only.
func newFleet(seed int64, n, zones int) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), now: start, byAddress: map[string]*node{}, received: map[string]int{}}
	for k := range n {
		nd := &node{name: identifier.Instance(fmt.Sprintf("n%03d", k)), zone: identifier.Zone(fmt.Sprintf("z%d", k%zones)), address: fmt.Sprintf("10.0.0.%d:1", k)}
		f.nodes = append(f.nodes, nd)
		f.byAddress[nd.address] = nd
	}
	for _, nd := range f.nodes {
		f.start(nd, 1)
	}
	return f
}

// start starts a process of an instance.
func (f *fleet) start(nd *node, incarnation identifier.Incarnation) {
	nd.gossip = gossiper.New(gossiper.State{Instance: nd.name, Incarnation: incarnation, Zone: nd.zone, Address: nd.address, Capacity: 0.4})
	for _, seed := range f.nodes[:3] {
		nd.gossip.AddHint(seed.address)
	}
	nd.dead = false
}

type delivery struct {
	from, to *node
	message  gossiper.Message
}

// run runs the fleet for some intervals.
func (f *fleet) run(intervals int) {
	for range intervals {
		var sent []delivery
		for _, nd := range f.nodes {
			if nd.dead {
				continue
			}
			state := nd.gossip.Compose(f.now, gossiper.State{RunningRequests: map[identifier.BackendServer]int{"s": 1, identifier.BackendServer(nd.name): 2}})
			d := nd.gossip.Deliveries(f.now)
			for n, addresses := range [][]string{d.Peers, d.Relays, d.Members, d.Newcomers} {
				m := nd.gossip.Relay(f.now, state, gossiper.Scope(n))
				m.Introduce = d.Introduce
				for _, a := range addresses {
					if to := f.byAddress[a]; to != nil {
						sent = append(sent, delivery{nd, to, m})
					}
				}
			}
		}
		f.now = f.now.Add(gossiper.SendInterval)
		f.rng.Shuffle(len(sent), func(a, b int) { sent[a], sent[b] = sent[b], sent[a] })
		for _, d := range sent {
			f.sent++
			if d.to.dead || (d.from.zone == f.cut) != (d.to.zone == f.cut) || f.rng.Float64() < f.loss {
				continue
			}
			f.received[d.to.address]++
			d.to.receive(f.now, d.message)
		}
	}
}

// receive handles a message.
func (nd *node) receive(now time.Time, m gossiper.Message) {
	nd.gossip.RecordState(now, m.State)
	if m.Introduce {
		nd.gossip.RequestIntroduction(m.State.Instance)
	}
	for _, p := range m.Profiles {
		nd.gossip.RecordProfile(now, p)
	}
	nd.gossip.RecordBeats(now, m.Beats)
	nd.gossip.RecordLoads(now, m.Loads)
}

// missing returns the number of pairs of living instances of which one does not know that the other one lives.
func (f *fleet) missing() int {
	n := 0
	for _, nd := range f.nodes {
		if nd.dead {
			continue
		}
		for _, other := range f.nodes {
			if other == nd || other.dead {
				continue
			}
			if p := nd.gossip.Peer(other.name); p == nil || f.now.Sub(p.HeardAt) >= nd.gossip.UnresponsiveAfter() {
				n++
			}
		}
	}
	return n
}

// liveAt returns how many living instances take one for live.
func (f *fleet) liveAt(name identifier.Instance) int {
	n := 0
	for _, nd := range f.nodes {
		if nd.dead || nd.name == name {
			continue
		}
		if p := nd.gossip.Peer(name); p != nil && f.now.Sub(p.HeardAt) < nd.gossip.UnresponsiveAfter() {
			n++
		}
	}
	return n
}

// fleets are the sizes at which membership is checked: with states from each to each, and relayed.
var fleets = map[string]struct{ instances, zones int }{
	"4": {4, 3}, "12": {12, 4}, "14": {14, 3}, "30": {30, 3}, "118": {118, 5}, "300": {300, 9},
}

// largest is the size that is left out of the longer schedules, whose time grows with the square of the size.
const largest = "300"

// TestFleetStart guards against instances that do not find each other: all start at once and know the addresses of three.
func TestFleetStart(t *testing.T) {
	for name, c := range fleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(1, c.instances, c.zones)
			f.run(10)
			if n := f.missing(); n != 0 {
				t.Errorf("%d pairs do not know of each other %s after the start", n, 10*gossiper.SendInterval)
			}
			f.run(15)
			if n := f.missing(); n != 0 {
				t.Errorf("%d pairs have lost each other", n)
			}
		})
	}
}

// TestMessagesBounded guards against messages between instances that grow with the square of their number: the messages
// that one of them receives and sends in an interval grow at most with its zone.
func TestMessagesBounded(t *testing.T) {
	for name, c := range fleets {
		if name == largest {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(2, c.instances, c.zones)
			f.run(25)
			f.sent, f.received = 0, map[string]int{}
			const intervals = 20
			f.run(intervals)
			perInstance := float64(f.sent) / intervals / float64(c.instances)
			if perInstance > 13 {
				t.Errorf("%.1f messages an instance in each interval, want at most 13", perInstance)
			}
			for address, n := range f.received {
				// A relay gets one from each instance of its zone and a few from each other zone.
				if most := c.instances/c.zones + 1 + 3*c.zones; n/intervals > max(most, 12) {
					t.Errorf("%s received %d messages an interval, want at most %d", address, n/intervals, most)
				}
			}
		})
	}
}

// TestLossIsNoticed guards against the loss of an instance that the others notice late or never, and against losing others
// with it: each instance dies once, relays among them.
func TestLossIsNoticed(t *testing.T) {
	for name, c := range fleets {
		if name == largest {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(3, c.instances, c.zones)
			f.run(25)
			for k := 0; k < c.instances; k += max(c.instances/6, 1) {
				nd := f.nodes[k]
				nd.dead = true
				f.run(9) // 1.8 s.
				if n := f.liveAt(nd.name); n != 0 {
					t.Errorf("%d instances take %s for live 1.8 s after its end", n, nd.name)
				}
				if n := f.missing(); n != 0 {
					t.Errorf("after the loss of %s, %d pairs have lost each other", nd.name, n)
				}
				f.start(nd, identifier.Incarnation(k+2))
				f.run(15)
				if n := f.missing(); n != 0 {
					t.Errorf("3 s after %s was started again, %d pairs do not know of each other", nd.name, n)
				}
			}
		})
	}
}

// TestZoneCut guards against a zone that stays unknown after it was cut off for longer than any relay is remembered as live,
// and against a zone that falls apart while it is cut off.
func TestZoneCut(t *testing.T) {
	for name, c := range fleets {
		if name == largest {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(4, c.instances, c.zones)
			f.run(25)
			f.cut = "z1"
			f.run(60)
			within := 0
			for _, nd := range f.nodes {
				for _, other := range f.nodes {
					p := nd.gossip.Peer(other.name)
					if nd != other && (nd.zone == "z1") == (other.zone == "z1") && (p == nil || f.now.Sub(p.HeardAt) >= nd.gossip.UnresponsiveAfter()) {
						within++
					}
				}
			}
			if within != 0 {
				t.Errorf("%d pairs on the same side of the cut have lost each other", within)
			}
			f.cut = ""
			f.run(15)
			if n := f.missing(); n != 0 {
				t.Errorf("3 s after the end of the cut, %d pairs do not know of each other", n)
			}
		})
	}
}

// TestHerdLoss guards against a fleet that does not come together again after more than half of it has died at once.
func TestHerdLoss(t *testing.T) {
	for name, c := range fleets {
		if name == largest {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(5, c.instances, c.zones)
			f.run(25)
			for _, nd := range f.nodes {
				nd.dead = f.rng.Float64() < 0.55
			}
			f.run(12)
			if n := f.missing(); n != 0 {
				t.Errorf("2.4 s after the loss, %d pairs of the living do not know of each other", n)
			}
			for _, nd := range f.nodes {
				if nd.dead {
					f.start(nd, 2)
				}
			}
			f.run(15)
			if n := f.missing(); n != 0 {
				t.Errorf("3 s after the return, %d pairs do not know of each other", n)
			}
		})
	}
}

// TestLostMessages checks that no instance is taken for unresponsive while one message in forty is lost.
func TestLostMessages(t *testing.T) {
	for name, c := range fleets {
		if name == largest {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(6, c.instances, c.zones)
			f.run(25)
			f.loss = 0.025
			for range 20 {
				f.run(5)
				if n := f.missing(); n > 0 {
					t.Fatalf("%d pairs have lost each other", n)
				}
			}
		})
	}
}

// TestRelayedLoad checks that each instance learns the load of the backend servers from all zones, without its own part.
func TestRelayedLoad(t *testing.T) {
	for name, c := range fleets {
		if name == largest {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(7, c.instances, c.zones)
			f.run(60)
			servers := []identifier.BackendServer{"s", f.nodes[1].nameOfServer()}
			for _, nd := range f.nodes {
				running, _ := nd.gossip.Load(f.now, func(yield func(identifier.BackendServer) bool) {
					for _, id := range servers {
						if !yield(id) {
							return
						}
					}
				})
				wantOwn := 2
				if nd == f.nodes[1] {
					wantOwn = 0
				}
				if running["s"] != c.instances-1 || running[servers[1]] != wantOwn {
					t.Errorf("%s: %d requests of others run at s and %d at %s, want %d and %d", nd.name, running["s"], running[servers[1]], servers[1], c.instances-1, wantOwn)
				}
			}
		})
	}
}

// nameOfServer returns the name of the server that only this instance sends requests to.
func (nd *node) nameOfServer() identifier.BackendServer { return identifier.BackendServer(nd.name) }
