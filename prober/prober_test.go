package prober

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// simulatedNetwork simulates a network of probers. Each step advances the time by stepDuration and delivers the
// messages of the step before.
type simulatedNetwork struct {
	now       time.Time
	rand      *rand.Rand
	probers   map[identifier.Instance]*Prober
	order     []identifier.Instance
	dead      map[identifier.Instance]bool
	cut       func(from, to identifier.Instance) bool // Reports whether messages between two instances are lost.
	inTransit []transitMessage                        // The messages that arrive in the next step.
	sent      int                                     // Messages that were sent in measured steps.
	bytes     int                                     // Encoded size of those messages.
	loss      float64                                 // Probability that a message is lost.
}

// transitMessage is a message in transit.
type transitMessage struct {
	from Peer
	send Send
}

// stepDuration is the time between two ticks and the delay of every message.
const stepDuration = 50 * time.Millisecond

func newSimulatedNetwork(n int) *simulatedNetwork {
	m := &simulatedNetwork{
		now: time.Unix(1e6, 0), rand: rand.New(rand.NewPCG(1, 1)), probers: map[identifier.Instance]*Prober{},
		dead: map[identifier.Instance]bool{}, cut: func(_, _ identifier.Instance) bool { return false },
	}
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{Instance: identifier.Instance(fmt.Sprintf("instance-%04d", i)), Zone: "zone-0", Address: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250)}
	}
	for _, peer := range peers {
		p := New(Config{
			Self: peer, Incarnation: 1_700_000_000_000, Period: DefaultPeriod, Timeout: DefaultTimeout,
			Suspicion: DefaultSuspicion, Successors: DefaultSuccessors, Helpers: DefaultHelpers,
		})
		p.Step(m.now, PeersListed{Peers: peers})
		m.probers[peer.Instance] = p
		m.order = append(m.order, peer.Instance)
	}
	return m
}

func (m *simulatedNetwork) step(measure bool) {
	m.now = m.now.Add(stepDuration)
	arriving := m.inTransit
	m.inTransit = nil
	for _, f := range arriving {
		to := f.send.To.Instance
		if m.dead[to] || m.cut(f.from.Instance, to) || m.rand.Float64() < m.loss {
			continue
		}
		m.send(m.probers[to], m.probers[to].Step(m.now, MessageReceived{f.from, f.send.Message}), measure)
	}
	for _, i := range m.order {
		if !m.dead[i] {
			m.send(m.probers[i], m.probers[i].Step(m.now, Tick{}), measure)
		}
	}
}

func (m *simulatedNetwork) send(p *Prober, sends []Send, measure bool) {
	for _, s := range sends {
		m.inTransit = append(m.inTransit, transitMessage{p.cfg.Self, s})
		if measure {
			data, _ := cbor.Marshal(s.Message)
			m.sent++
			m.bytes += len(data)
		}
	}
}

func (m *simulatedNetwork) run(d time.Duration) {
	for range int(d / stepDuration) {
		m.step(false)
	}
}

// countLiveViews returns how many of the other running probers regard an instance as live, and how many of them
// there are.
func (m *simulatedNetwork) countLiveViews(i identifier.Instance) (live, all int) {
	for _, other := range m.order {
		if other == i || m.dead[other] {
			continue
		}
		all++
		if _, ok := m.probers[other].Live()[i]; ok {
			live++
		}
	}
	return live, all
}

// TestLiveness guards against instances that disagree for long on who is live: it makes an instance unresponsive
// for a time and checks the views of all others before, meanwhile and afterwards.
func TestLiveness(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 6, 60} {
		m := newSimulatedNetwork(n)
		m.run(10 * time.Second)
		victim := m.order[n/2]
		if live, all := m.countLiveViews(victim); live != all {
			t.Errorf("%d instances: %d of %d regard a live instance as live, want all", n, live, all)
		}
		m.dead[victim] = true
		m.run(5 * time.Second)
		if live, _ := m.countLiveViews(victim); live != 0 {
			t.Errorf("%d instances: %d regard an unresponsive instance as live, want 0", n, live)
		}
		m.dead[victim] = false
		m.run(20 * time.Second)
		if live, all := m.countLiveViews(victim); live != all {
			t.Errorf("%d instances: %d of %d regard an instance that responds again as live, want all", n, live, all)
		}
	}
}

// TestNetworkPartitionHeals guards against a network partition that outlasts its cause: each side declares the other
// one dead, and must find it again after the connections are restored.
func TestNetworkPartitionHeals(t *testing.T) {
	t.Parallel()
	m := newSimulatedNetwork(12)
	m.run(5 * time.Second)
	side := map[identifier.Instance]bool{}
	for n, i := range m.order {
		side[i] = n < 4
	}
	m.cut = func(from, to identifier.Instance) bool { return side[from] != side[to] }
	m.run(10 * time.Second)
	if live := len(m.probers[m.order[0]].Live()); live != 3 {
		t.Errorf("during the network partition an instance sees %d live instances on its side of 4, want 3", live)
	}
	m.cut = func(_, _ identifier.Instance) bool { return false }
	m.run(30 * time.Second)
	for _, i := range m.order {
		if live := len(m.probers[i].Live()); live != 11 {
			t.Errorf("%s sees %d live instances after the network partition, want 11", i, live)
		}
	}
}

// TestMessageLossKeepsInstancesLive guards against false positives: 2 % of the messages are lost at random, and the
// probes through helpers must keep the live instances live.
func TestMessageLossKeepsInstancesLive(t *testing.T) {
	t.Parallel()
	m := newSimulatedNetwork(12)
	m.run(5 * time.Second)
	m.loss = 0.02
	for range 60 {
		m.run(time.Second)
		for _, i := range m.order {
			if live, all := m.countLiveViews(i); live < all-2 {
				t.Fatalf("%s: %d of %d regard it as live at 2%% message loss, want at least all but 2", i, live, all)
			}
		}
	}
}

// BenchmarkCost measures the messages, bytes and processor time per instance and second.
func BenchmarkCost(b *testing.B) {
	for _, n := range []int{6, 60, 300, 1800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newSimulatedNetwork(n)
			m.run(3 * time.Second)
			m.sent, m.bytes = 0, 0
			steps := 0
			for b.Loop() {
				m.step(true)
				steps++
			}
			seconds := float64(n) * (time.Duration(steps) * stepDuration).Seconds()
			b.ReportMetric(float64(m.sent)/seconds, "messages/s")
			b.ReportMetric(float64(m.bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "cpu-us/s")
		})
	}
}
