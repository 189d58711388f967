package rentier_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/rentier"
)

const (
	step = 20 * time.Millisecond
	// window is the sliding window of the bound.
	window      = 5 * time.Second
	callTimeout = 300 * time.Millisecond
	// flood is the number of requests that each tenant has at each instance in a step.
	flood = 3
)

// rules are the rules of a simulated installation, of which a test may omit one.
type rules struct {
	timing     rentier.Timing
	removeWait time.Duration // From the end of a record to its removal.
}

// usualRules returns the rules that are in force.
func usualRules() rules {
	timing := rentier.DefaultTiming()
	return rules{timing: timing, removeWait: apportioner.SettleTime + timing.Settle}
}

// machine is an instance of a simulated installation and its present process.
type machine struct {
	name        identifier.Instance
	incarnation identifier.Incarnation
	speed       float64 // Of its clock.
	offset      time.Duration
	running     bool
	leaving     bool // The others take another one for the distributor.
	island      int  // Instances of different islands do not reach each other.
	storeCut    bool
	wrong       *machine // What it takes for the distributor, if it has a view of its own.
	listedAt    time.Duration
	endedAt     time.Duration // When its record ended; 0 if it has not.

	rentier     *rentier.Rentier
	distributor *rentier.Distributor
	apportioner *apportioner.Apportioner
	call        int // The call that is under way; 0 if there is none.
	returning   int // The same of the last call that returns a loan.
	composedAt  time.Time
	sentAt      time.Duration
	dueAt       time.Duration
	asks        map[identifier.Tenant]int // Requests that wait for a token.
	asked       map[identifier.Tenant]int // Those of them that the present call states.
}

// message is a call or an answer under way.
type message struct {
	at     time.Duration
	from   identifier.Instance
	to     identifier.Instance
	id     int
	call   *rentier.Call
	answer *rentier.Answer
}

// installation is a simulated store and the instances, in virtual time.
type installation struct {
	rng      *rand.Rand
	rules    rules
	quotas   []rentier.Quota
	now      time.Duration
	machines []*machine
	byName   map[identifier.Instance]*machine
	records  map[identifier.Instance]apportioner.Record
	messages []message
	calls    int
	sent     map[identifier.Tenant][]time.Duration
	calm     bool    // Without faults.
	worst    float64 // The largest share of the bound that was used in a window.
	// worstParts is the largest sum of parts of a quota that were in use at a time.
	worstParts float64
}

// newInstallation starts so many instances, whose records have settled unless some are new.
func newInstallation(seed int64, n int, r rules, quotas []rentier.Quota) *installation {
	w := &installation{
		rng: rand.New(rand.NewSource(seed)), rules: r, quotas: quotas, byName: map[identifier.Instance]*machine{},
		records: map[identifier.Instance]apportioner.Record{}, sent: map[identifier.Tenant][]time.Duration{},
	}
	for i := range n {
		m := &machine{name: identifier.Instance(fmt.Sprintf("entry-%d", i)), speed: 1 + (w.rng.Float64()-0.5)/100, offset: time.Duration(w.rng.Intn(1000)) * time.Hour}
		w.machines = append(w.machines, m)
		w.byName[m.name] = m
		w.records[m.name] = apportioner.Record{Instance: m.name, Settled: true}
		w.start(m)
	}
	return w
}

// clock returns the time of a machine's clock.
func (w *installation) clock(m *machine) time.Time {
	return time.Unix(0, 0).Add(m.offset + time.Duration(float64(w.now)*m.speed))
}

// start starts a process on a machine, which knows nothing.
func (w *installation) start(m *machine) {
	m.incarnation++
	m.running, m.call, m.asks = true, 0, map[identifier.Tenant]int{}
	self := rentier.Process{Instance: m.name, Incarnation: m.incarnation}
	m.apportioner = apportioner.New(m.name)
	m.rentier, m.distributor = rentier.New(w.clock(m), self, w.rules.timing), rentier.NewDistributor(self, w.rules.timing)
	m.rentier.SetQuotas(w.clock(m), w.quotas)
	m.distributor.SetQuotas(w.clock(m), w.quotas)
	m.listedAt, m.dueAt = -time.Hour, w.now+time.Duration(w.rng.Intn(1000))*time.Millisecond
}

// list lets a machine read the records, and then write its own if it is not there or has settled.
func (w *installation) list(m *machine) {
	now := w.clock(m)
	var records []apportioner.Record
	for _, name := range w.names() {
		if r, ok := w.records[name]; ok {
			records = append(records, r)
		}
	}
	m.listedAt = w.now
	m.apportioner.RecordList(now, now, records)
	r, ok := w.records[m.name]
	switch {
	case !ok:
		w.records[m.name] = apportioner.Record{Instance: m.name}
	case !r.Settled && !r.Ended && m.apportioner.IsSettled(now):
		r.Settled = true
		w.records[m.name] = r
	}
}

// names returns the names of the machines in order, so that a seed always runs the same way.
func (w *installation) names() []identifier.Instance {
	names := make([]identifier.Instance, 0, len(w.machines))
	for _, m := range w.machines {
		names = append(names, m.name)
	}
	return names
}

// fault lets one of the possible faults happen.
func (w *installation) fault() {
	m := w.machines[w.rng.Intn(len(w.machines))]
	switch w.rng.Intn(9) {
	case 0:
		m.running = false
	case 1, 2: // A restart at once.
		w.start(m)
	case 3:
		m.island = w.rng.Intn(3)
	case 4:
		m.storeCut = !m.storeCut
	case 5:
		for _, m := range w.machines { // All links are back.
			m.island, m.storeCut, m.wrong = 0, false, nil
		}
	case 6: // The record of an instance that is not heard ends, though its process may still run.
		if r := w.records[m.name]; !r.Ended && m.endedAt == 0 {
			r.Ended = true
			w.records[m.name] = r
			m.endedAt = w.now
		}
	case 7:
		if !m.running {
			w.start(m)
		}
	case 8:
		m.wrong = w.machines[w.rng.Intn(len(w.machines))]
	}
}

// distributorOf returns the machine that an instance takes for the distributor, which may be any machine.
func (w *installation) distributorOf(m *machine) *machine {
	if m.wrong != nil {
		return m.wrong
	}
	var names []identifier.Instance
	for _, other := range w.machines {
		if other.running && !other.leaving && other.island == m.island {
			names = append(names, other.name)
		}
	}
	top, _ := ranker.Top("quota", names)
	return w.byName[top]
}

// send puts a message on its way, unless it is lost.
func (w *installation) send(from, to *machine, msg message) {
	delay := time.Duration(1+w.rng.Intn(4)) * time.Millisecond
	if !w.calm {
		switch w.rng.Intn(30) {
		case 0:
			return
		case 1:
			delay = time.Duration(w.rng.Intn(7000)) * time.Millisecond
		}
	}
	if from.island != to.island {
		return
	}
	msg.at, msg.from, msg.to = w.now+delay, from.name, to.name
	w.messages = append(w.messages, msg)
}

// callDistributor makes the call of a machine if it is due.
func (w *installation) callDistributor(m *machine) {
	if m.call != 0 && w.now-m.sentAt >= callTimeout {
		m.call = 0 // The requests that waited for the answer are refused.
	}
	if m.call != 0 {
		return
	}
	d := w.distributorOf(m)
	if d == nil {
		return
	}
	now := w.clock(m)
	process := rentier.Process{Instance: d.name, Incarnation: d.incarnation}
	if w.now < m.dueAt && len(m.asks) == 0 && (!m.rentier.IsCallDue(now, process) || w.now < m.sentAt+callTimeout) {
		return
	}
	if w.now >= m.dueAt {
		m.dueAt = w.now + time.Second
	}
	if elsewhere, ok := m.rentier.LentElsewhere(now, process); ok {
		call := m.rentier.ComposeReturn()
		w.calls++
		m.returning = w.calls
		w.send(m, w.byName[elsewhere.Instance], message{id: m.returning, call: &call})
	}
	call := m.rentier.Compose(now, process, m.asks)
	w.calls++
	m.asked, m.asks = m.asks, map[identifier.Tenant]int{}
	m.call, m.composedAt, m.sentAt = w.calls, now, w.now
	w.send(m, d, message{id: m.call, call: &call})
}

// deliver delivers the messages that have arrived.
func (w *installation) deliver() {
	slices.SortStableFunc(w.messages, func(a, b message) int { return int(a.at - b.at) })
	for len(w.messages) > 0 && w.messages[0].at <= w.now {
		msg := w.messages[0]
		w.messages = w.messages[1:]
		to := w.byName[msg.to]
		switch {
		case !to.running:
		case msg.call != nil:
			answer := to.distributor.Answer(w.clock(to), *msg.call)
			w.send(to, w.byName[msg.from], message{id: msg.id, answer: &answer})
		case msg.id == to.returning:
			to.rentier.ApplyReturn(w.clock(to), *msg.answer)
		case msg.id == to.call:
			to.call = 0
			w.share(to)
			tokens := to.rentier.Apply(w.clock(to), to.composedAt, *msg.answer)
			for _, q := range w.quotas {
				for range min(tokens[q.Tenant], to.asked[q.Tenant]) {
					w.sent[q.Tenant] = append(w.sent[q.Tenant], w.now)
				}
			}
		}
	}
}

// share tells a machine's Rentier its share.
func (w *installation) share(m *machine) {
	now := w.clock(m)
	m.rentier.SetShare(now, m.apportioner.Sharers(now), m.apportioner.IsSettled(now))
}

// request lets a tenant make a request at a machine.
func (w *installation) request(m *machine, tenant identifier.Tenant) rentier.Verdict {
	now := w.clock(m)
	verdict, _ := m.rentier.Enter(now, tenant)
	if verdict == rentier.Allowed {
		m.rentier.Leave(tenant)
		verdict, _ = m.rentier.Take(now, tenant)
	}
	switch verdict {
	case rentier.Allowed:
		w.sent[tenant] = append(w.sent[tenant], w.now)
	case rentier.MayAsk:
		m.asks[tenant]++
	case rentier.OverQuota, rentier.Unavailable:
	}
	return verdict
}

// advance lets a step of time pass.
func (w *installation) advance() {
	w.now += step
	if !w.calm && w.rng.Float64() < float64(step)/float64(time.Second)*max(float64(len(w.machines))/20, 0.7) {
		w.fault()
	}
	for _, m := range w.machines {
		if m.endedAt > 0 && w.now-m.endedAt >= w.rules.removeWait {
			delete(w.records, m.name)
			m.endedAt = 0
		}
	}
	w.deliver()
	interval := min(4*time.Second*time.Duration(1+len(w.machines)/8), 8*time.Second)
	for _, m := range w.machines {
		if !m.running {
			continue
		}
		if !m.storeCut && w.now-m.listedAt >= interval {
			w.list(m)
		}
		w.share(m)
		w.callDistributor(m)
	}
}
