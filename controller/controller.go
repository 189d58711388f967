// Package controller puts the deciding parts of one instance together: the prober,
// the granter and one assigner per keyed service, over one view of the platform's
// objects. It is the pure core of the daemon: events go in, actions come out, and
// nothing in it does I/O, starts a goroutine or reads a clock.
package controller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/turmericlift/turmericlift/assigner"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/quarantiner"
	"github.com/turmericlift/turmericlift/storer"
)

// Config holds an instance's identity and the times of its parts. Parts whose
// identity is the instance's take it from Self and Incarnation.
type Config struct {
	Self        prober.Peer
	Incarnation identifier.Incarnation // Of this process.
	Prober      prober.Config
	Granter     granter.Config
	Assigner    assigner.Config
}

// DefaultConfig returns the configuration of an instance with the default times.
func DefaultConfig(self prober.Peer, inc identifier.Incarnation) Config {
	return Config{
		Self: self, Incarnation: inc,
		Prober: prober.Config{
			Self: self, Incarnation: inc, Period: prober.DefaultPeriod, Timeout: prober.DefaultTimeout,
			Suspicion: prober.DefaultSuspicion, Successors: prober.DefaultSuccessors, Helpers: prober.DefaultHelpers,
		},
		Granter: granter.Config{
			Self: self.Instance, Incarnation: inc, Zone: self.Zone, Lease: granter.DefaultLease,
			Renew: granter.DefaultRenew, Margin: granter.DefaultMargin, ClockSkew: granter.DefaultClockSkew,
			ClaimAfter: granter.DefaultClaimAfter, RosterRetry: granter.DefaultRosterRetry,
		},
		Assigner: assigner.Config{
			Self: self.Instance, Grace: granter.DefaultLease + granter.DefaultMargin + granter.DefaultClockSkew,
			ListLag: assigner.DefaultListLag, DownAfter: assigner.DefaultDownAfter, Settle: assigner.DefaultSettle,
		},
	}
}

// pushFanout bounds the instances that a written object is sent to directly; the
// others learn of it from their watch or from a probe.
const pushFanout = 32

// fetchAgain is the time between two requests for objects to peers.
const fetchAgain = 300 * time.Millisecond

// writer is whoever waits for the end of a write.
type writer struct {
	service identifier.ServiceName // Empty: the granter.
	kind    assigner.WriteKind
	zone    identifier.Zone
}

// Controller is the state machine of one instance.
type Controller struct {
	cfg       Config
	prober    *prober.Prober
	granter   *granter.Granter
	assigners map[identifier.ServiceName]*assigner.Assigner

	objects  map[string]storer.Object // The last good ones.
	revision identifier.Version
	synced   bool
	trees    map[identifier.Organisation]*configurer.Tree
	zones    configurer.Zones
	rosters  map[identifier.Zone]granter.Roster
	assigned map[identifier.ServiceName]*partitioner.Assignment
	listed   []storer.Listed
	listedAt time.Time // Zero: the list has not been read yet.
	writing  map[string]writer
	liveEdit uint64
	fetchAt  time.Time
	edit     uint64

	out []Action
}

// New returns the Controller of a process that starts now.
func New(now time.Time, cfg Config) *Controller {
	return &Controller{
		cfg: cfg, prober: prober.New(cfg.Prober), granter: granter.New(now, cfg.Granter),
		assigners: map[identifier.ServiceName]*assigner.Assigner{},
		objects:   map[string]storer.Object{},
		trees:     map[identifier.Organisation]*configurer.Tree{},
		rosters:   map[identifier.Zone]granter.Roster{},
		assigned:  map[identifier.ServiceName]*partitioner.Assignment{},
		writing:   map[string]writer{},
	}
}

// Step takes in an event and returns what is to be done.
func (c *Controller) Step(now time.Time, event Event) []Action {
	c.out = nil
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case MessageReceived:
		c.receive(now, e)
	case Watched:
		c.watched(now, e)
	case ObjectRead:
		c.read(now, e.Object)
	case ReadFailed:
		c.finish(now, e.Name, false)
	case ListRead:
		c.readList(now, e.Listed)
	case WriteEnded:
		c.wrote(now, e)
	case OrderEnded:
		c.grant(now, e.Answered)
	case LoadsMeasured:
		c.grant(now, granter.LoadsMeasured{Service: e.Service, Loads: e.Loads})
	case CrashSeen:
		c.tellCrash(e.Crash)
	case Stop:
		c.stop(now)
	}
	return c.out
}

func (c *Controller) do(a Action) { c.out = append(c.out, a) }

func (c *Controller) tick(now time.Time) {
	c.probe(now, prober.Tick{})
	if !c.synced {
		return
	}
	c.grant(now, granter.ContactSeen{At: c.prober.ContactAt()})
	c.grant(now, granter.Tick{})
	for _, s := range c.services() {
		c.assign(now, s, assigner.Tick{})
	}
}

func (c *Controller) services() []identifier.ServiceName {
	names := make([]identifier.ServiceName, 0, len(c.assigners))
	for s := range c.assigners {
		names = append(names, s)
	}
	slices.SortFunc(names, func(x, y identifier.ServiceName) int { return cmp.Compare(x.String(), y.String()) })
	return names
}

func (c *Controller) stop(now time.Time) {
	c.probe(now, prober.Leave{})
	c.grant(now, granter.Stop{})
	for _, s := range c.services() {
		c.assign(now, s, assigner.Stop{})
	}
}

// receive takes in another instance's message.
func (c *Controller) receive(now time.Time, e MessageReceived) {
	switch m := e.Message.(type) {
	case ProbeMessage:
		c.probe(now, prober.Received{From: e.From, Message: m.Probe})
		c.fetch(now, e.From, m.Probe.Revision)
	case HandOverMessage:
		c.grant(now, granter.HandOverReceived{HandOver: m.HandOver})
	case ConfirmMessage:
		c.assign(now, m.Confirm.Service, assigner.ConfirmReceived{Confirm: m.Confirm})
	case ReportMessage:
		c.assign(now, m.Report.Service, assigner.ReportReceived{Report: m.Report})
	case FetchMessage:
		c.supply(e.From, m)
	case DocumentsMessage:
		c.takeDocuments(now, m)
	case CrashMessage:
		c.do(HearCrash(m))
	case ListMessage:
		c.changeList(now, m)
	}
}

// tellCrash tells every live instance of a crash. Crashes are rare, and each instance
// must know of them before the caller sends its request again.
func (c *Controller) tellCrash(crash quarantiner.Crash) {
	c.do(Noted{"BackendServerCrashed", fmt.Sprintf("fingerprint %x", uint64(crash.Fingerprint))})
	for _, news := range c.prober.Members() {
		if news.Status == prober.Alive || news.Status == prober.Suspect {
			c.do(SendMessage{news.Peer, CrashMessage{crash}})
		}
	}
}

func (c *Controller) probe(now time.Time, e prober.Event) {
	for _, s := range c.prober.Step(now, e) {
		c.do(SendMessage{s.To, ProbeMessage{s.Message}})
	}
	if edit := c.prober.LiveEdit(); edit != c.liveEdit {
		c.liveEdit = edit
		c.refreshLive(now)
	}
}

func (c *Controller) refreshLive(now time.Time) {
	c.edit++
	live := c.prober.Live()
	c.grant(now, granter.LiveSeen{Instances: live})
	for _, s := range c.services() {
		c.assign(now, s, assigner.LiveSeen{Instances: live})
	}
}

func (c *Controller) grant(now time.Time, e granter.Event) {
	for _, action := range c.granter.Step(now, e) {
		switch a := action.(type) {
		case granter.SendOrder:
			c.do(SendOrder(a))
		case granter.SendHandOver:
			c.send(now, a.To, HandOverMessage{a.HandOver})
		case granter.SendConfirm:
			c.toAssigner(now, a.Confirm.Service, ConfirmMessage{a.Confirm})
		case granter.SendReport:
			c.toAssigner(now, a.Report.Service, ReportMessage{a.Report})
		case granter.WriteRoster:
			c.putRoster(now, a.Zone, a.Expected, a.Roster, writer{zone: a.Zone})
		}
	}
}

func (c *Controller) assign(now time.Time, s identifier.ServiceName, e assigner.Event) {
	a, ok := c.assigners[s]
	if !ok {
		return
	}
	for _, action := range a.Step(now, e) {
		switch act := action.(type) {
		case assigner.PutAssignment:
			data, err := act.Assignment.Encode()
			c.put(now, AssignmentName(s), act.Expected, data, err, writer{service: s, kind: assigner.WriteAssignment})
		case assigner.PutRoster:
			c.putRoster(now, act.Zone, act.Expected, act.Roster, writer{s, assigner.WriteRosterOf, act.Zone})
		case assigner.PutRecord:
			data, err := assigner.EncodeRecord(act.Record)
			c.put(now, AssignerName(s), act.Expected, data, err, writer{service: s, kind: assigner.WriteRecord})
		}
	}
}

func (c *Controller) putRoster(now time.Time, z identifier.Zone, v identifier.Version, r granter.Roster, w writer) {
	data, err := r.Encode()
	c.put(now, RosterName(z), v, data, err, w)
}

// put starts a conditional write, unless one of the object is under way; whoever
// wants it is told at once, and tries again later.
func (c *Controller) put(now time.Time, name string, v identifier.Version, data []byte, err error, w writer) {
	_, busy := c.writing[name]
	if err != nil {
		c.do(Noted{"EncodeFailed", err.Error()})
	}
	if busy || err != nil {
		c.report(now, w, false)
		return
	}
	c.writing[name] = w
	c.do(WriteObject{storer.Object{Name: name, Version: v, Data: data}})
}

// wrote takes in the end of a write. After a lost answer or a conflict the object is
// read back before anything else is decided about it.
func (c *Controller) wrote(now time.Time, e WriteEnded) {
	switch e.Result {
	case Written:
		c.adopt(now, e.Object)
		c.push(e.Object)
		c.finish(now, e.Object.Name, true)
	case Conflicted, Ambiguous:
		c.do(ReadObject{e.Object.Name})
	case NotWritten:
		c.finish(now, e.Object.Name, false)
	}
}

func (c *Controller) read(now time.Time, o storer.Object) {
	if o.Version > 0 {
		c.adopt(now, o)
	}
	c.finish(now, o.Name, false)
}

func (c *Controller) finish(now time.Time, name string, took bool) {
	w, ok := c.writing[name]
	if !ok {
		return
	}
	delete(c.writing, name)
	c.report(now, w, took)
}

// report tells whoever wanted a write how it has ended.
func (c *Controller) report(now time.Time, w writer, took bool) {
	if w.service != (identifier.ServiceName{}) {
		c.assign(now, w.service, assigner.Wrote{Kind: w.kind, Zone: w.zone, Took: took})
	}
}

// send sends a message to an instance, itself included.
func (c *Controller) send(now time.Time, to identifier.Instance, m Message) {
	if to == c.cfg.Self.Instance {
		c.receive(now, MessageReceived{c.cfg.Self, m})
		return
	}
	if news, ok := c.prober.Find(to); ok {
		c.do(SendMessage{news.Peer, m})
	}
}

func (c *Controller) toAssigner(now time.Time, s identifier.ServiceName, m Message) {
	if a, ok := c.assigners[s]; ok && a.Holder() != "" {
		c.send(now, a.Holder(), m)
	}
}
