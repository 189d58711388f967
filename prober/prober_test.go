package prober

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/turmericlift/turmericlift/identifier"
)

// mesh drives probers against each other, one message delay a step.
type mesh struct {
	now     time.Time
	rand    *rand.Rand
	probers map[identifier.Instance]*Prober
	order   []identifier.Instance
	dead    map[identifier.Instance]bool
	cut     func(from, to identifier.Instance) bool
	flying  []flying
	sent    int
	bytes   int
	loss    float64
}

type flying struct {
	from Peer
	send Send
}

// meshStep is the time between two ticks, and the delay of a message.
const meshStep = 50 * time.Millisecond

func newMesh(n int) *mesh {
	m := &mesh{
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
		p.Step(m.now, Listed{Peers: peers})
		m.probers[peer.Instance] = p
		m.order = append(m.order, peer.Instance)
	}
	return m
}

func (m *mesh) step(measure bool) {
	m.now = m.now.Add(meshStep)
	arriving := m.flying
	m.flying = nil
	for _, f := range arriving {
		to := f.send.To.Instance
		if m.dead[to] || m.cut(f.from.Instance, to) || m.rand.Float64() < m.loss {
			continue
		}
		m.send(m.probers[to], m.probers[to].Step(m.now, Received{f.from, f.send.Message}), measure)
	}
	for _, i := range m.order {
		if !m.dead[i] {
			m.send(m.probers[i], m.probers[i].Step(m.now, Tick{}), measure)
		}
	}
}

func (m *mesh) send(p *Prober, sends []Send, measure bool) {
	for _, s := range sends {
		m.flying = append(m.flying, flying{p.cfg.Self, s})
		if measure {
			data, _ := cbor.Marshal(s.Message)
			m.sent++
			m.bytes += len(data)
		}
	}
}

func (m *mesh) run(d time.Duration) {
	for range int(d / meshStep) {
		m.step(false)
	}
}

// believe returns how many live probers hold an instance for live.
func (m *mesh) believe(i identifier.Instance) (live, all int) {
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

// TestLiveness kills, revives and cuts instances: in the end all agree.
func TestLiveness(t *testing.T) {
	t.Parallel()
	for _, n := range []int{2, 6, 60} {
		m := newMesh(n)
		m.run(10 * time.Second)
		victim := m.order[n/2]
		if live, all := m.believe(victim); live != all {
			t.Errorf("%d instances: %d of %d hold a live instance for live", n, live, all)
		}
		m.dead[victim] = true
		m.run(5 * time.Second)
		if live, _ := m.believe(victim); live != 0 {
			t.Errorf("%d instances: %d hold a dead instance for live", n, live)
		}
		m.dead[victim] = false
		m.run(20 * time.Second)
		if live, all := m.believe(victim); live != all {
			t.Errorf("%d instances: %d of %d hold an instance that came back for live", n, live, all)
		}
	}
}

// TestCutHeals cuts the instances in two and lets them find each other again.
func TestCutHeals(t *testing.T) {
	t.Parallel()
	m := newMesh(12)
	m.run(5 * time.Second)
	side := map[identifier.Instance]bool{}
	for n, i := range m.order {
		side[i] = n < 4
	}
	m.cut = func(from, to identifier.Instance) bool { return side[from] != side[to] }
	m.run(10 * time.Second)
	if live := len(m.probers[m.order[0]].Live()); live != 3 {
		t.Errorf("%d live instances seen within a side of 4, want 3", live)
	}
	m.cut = func(_, _ identifier.Instance) bool { return false }
	m.run(30 * time.Second)
	for _, i := range m.order {
		if live := len(m.probers[i].Live()); live != 11 {
			t.Errorf("%s sees %d live instances after the cut, want 11", i, live)
		}
	}
}

// TestLossIsNotDeath loses messages at random: with helpers, live instances stay live.
func TestLossIsNotDeath(t *testing.T) {
	t.Parallel()
	m := newMesh(12)
	m.run(5 * time.Second)
	m.loss = 0.02
	for range 60 {
		m.run(time.Second)
		for _, i := range m.order {
			if live, all := m.believe(i); live < all-2 {
				t.Fatalf("%s: %d of %d hold it for live at 2%% loss", i, live, all)
			}
		}
	}
}

// BenchmarkCost measures messages, bytes and processor time per instance and second.
func BenchmarkCost(b *testing.B) {
	for _, n := range []int{6, 60, 300, 1800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := newMesh(n)
			m.run(3 * time.Second)
			m.sent, m.bytes = 0, 0
			steps := 0
			for b.Loop() {
				m.step(true)
				steps++
			}
			seconds := float64(n) * (time.Duration(steps) * meshStep).Seconds()
			b.ReportMetric(float64(m.sent)/seconds, "messages/s")
			b.ReportMetric(float64(m.bytes)/seconds, "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds, "cpu-us/s")
		})
	}
}
