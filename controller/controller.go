// Package controller combines the state machines of one instance: the prober, the granter and one assigner per
// keyed service. They share one cached copy of the platform's objects.
//
// A Controller is a state machine itself: it receives events and returns actions. Nothing in the package does I/O,
// starts a goroutine or reads a clock, and a Controller is not safe for concurrent use.
//
// Start with controller.go, which dispatches the events. event.go declares the events and actions, message.go the
// messages between instances, document.go the objects on the platform, replica.go the cached copy of them, list.go
// the distribution of the platform's list of instances, view.go the queries and dump.go the dump for operators.
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

// Config holds the identity of an instance and the configurations of its state machines. DefaultConfig copies the
// identity into each of them; a caller that builds a Config itself must do so too.
type Config struct {
	Self        prober.Peer
	Incarnation identifier.Incarnation // Incarnation of this process.
	Prober      prober.Config
	Granter     granter.Config
	Assigner    assigner.Config
}

// DefaultConfig returns the configuration of an instance with the default intervals and time-outs.
func DefaultConfig(self prober.Peer, inc identifier.Incarnation) Config {
	return Config{
		Self: self, Incarnation: inc,
		Prober: prober.Config{
			Self: self, Incarnation: inc, Period: prober.DefaultPeriod, Timeout: prober.DefaultTimeout,
			Suspicion: prober.DefaultSuspicion, Successors: prober.DefaultSuccessors, Helpers: prober.DefaultHelpers,
		},
		Granter: granter.Config{
			Self: self.Instance, Incarnation: inc, Zone: self.Zone, Lease: granter.DefaultLease,
			RenewInterval: granter.DefaultRenewInterval, Margin: granter.DefaultMargin, ClockSkew: granter.DefaultClockSkew,
			ClaimAfter: granter.DefaultClaimAfter, RosterRetry: granter.DefaultRosterRetry,
		},
		Assigner: assigner.Config{
			Self: self.Instance, Grace: granter.DefaultLease + granter.DefaultMargin + granter.DefaultClockSkew,
			ListLag: assigner.DefaultListLag, DownAfter: assigner.DefaultDownAfter, StabilizationTime: assigner.DefaultStabilizationTime,
		},
	}
}

// pushFanout is the largest number of instances that a written object is sent to directly. The others learn of it
// from their watch of the platform or from a probe.
const pushFanout = 32

// fetchInterval is the shortest time between two requests to peers for objects.
const fetchInterval = 300 * time.Millisecond

// pendingWrite identifies who requested a conditional write and is notified of its result.
type pendingWrite struct {
	service identifier.ServiceName // The service whose assigner requested the write; zero for the granter.
	kind    assigner.WriteKind
	zone    identifier.Zone // The zone of a roster; empty for other objects.
}

// Controller is the state machine of one instance. It is not safe for concurrent use.
type Controller struct {
	cfg       Config
	prober    *prober.Prober
	granter   *granter.Granter
	assigners map[identifier.ServiceName]*assigner.Assigner

	objects        map[string]storer.Object // The latest version of each object that could be decoded, by name.
	revision       identifier.Version       // The platform's revision up to which all changes are known.
	synced         bool
	trees          map[identifier.Organisation]*configurer.Tree
	zones          configurer.Zones
	rosters        map[identifier.Zone]granter.Roster
	assignments    map[identifier.ServiceName]*partitioner.Assignment
	listed         []storer.ListedInstance
	listReadAt     time.Time               // When this instance last read the list itself; zero if it never has.
	pendingWrites  map[string]pendingWrite // The writes in progress, by the object's name.
	liveGeneration uint64
	fetchedAt      time.Time // When the last FetchMessage was sent.
	generation     uint64

	actions []Action // The actions of the current Step.
}

// New returns the Controller of a process that starts now.
func New(now time.Time, cfg Config) *Controller {
	return &Controller{
		cfg: cfg, prober: prober.New(cfg.Prober), granter: granter.New(now, cfg.Granter),
		assigners:     map[identifier.ServiceName]*assigner.Assigner{},
		objects:       map[string]storer.Object{},
		trees:         map[identifier.Organisation]*configurer.Tree{},
		rosters:       map[identifier.Zone]granter.Roster{},
		assignments:   map[identifier.ServiceName]*partitioner.Assignment{},
		pendingWrites: map[string]pendingWrite{},
	}
}

// Step handles an event and returns the actions that the caller must carry out, in order.
func (c *Controller) Step(now time.Time, event Event) []Action {
	c.actions = nil
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case MessageReceived:
		c.handleMessage(now, e)
	case WatchAnswered:
		c.handleWatch(now, e)
	case ObjectRead:
		c.handleRead(now, e.Object)
	case ReadFailed:
		c.finishWrite(now, e.Name, false)
	case ListRead:
		c.handleList(now, e.Listed)
	case WriteEnded:
		c.handleWriteEnded(now, e)
	case OrderEnded:
		c.stepGranter(now, e.Answered)
	case LoadsMeasured:
		c.stepGranter(now, granter.LoadsMeasured{Service: e.Service, Loads: e.Loads})
	case CrashSeen:
		c.broadcastCrash(e.Crash)
	case Stop:
		c.stop(now)
	}
	return c.actions
}

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) tick(now time.Time) {
	c.stepProber(now, prober.Tick{})
	if !c.synced {
		return
	}
	c.stepGranter(now, granter.PlatformContactSeen{At: c.prober.PlatformContactAt()})
	c.stepGranter(now, granter.Tick{})
	for _, s := range c.sortedServices() {
		c.stepAssigner(now, s, assigner.Tick{})
	}
}

// sortedServices returns the services that have an assigner, sorted by name.
func (c *Controller) sortedServices() []identifier.ServiceName {
	names := make([]identifier.ServiceName, 0, len(c.assigners))
	for s := range c.assigners {
		names = append(names, s)
	}
	slices.SortFunc(names, func(x, y identifier.ServiceName) int { return cmp.Compare(x.String(), y.String()) })
	return names
}

func (c *Controller) stop(now time.Time) {
	c.stepProber(now, prober.Leave{})
	c.stepGranter(now, granter.Stop{})
	for _, s := range c.sortedServices() {
		c.stepAssigner(now, s, assigner.Stop{})
	}
}

// handleMessage handles a message of another instance, or of this instance to itself.
func (c *Controller) handleMessage(now time.Time, e MessageReceived) {
	switch m := e.Message.(type) {
	case ProbeMessage:
		c.stepProber(now, prober.MessageReceived{From: e.From, Message: m.Probe})
		c.fetchMissing(now, e.From, m.Probe.Revision)
	case HandOverMessage:
		c.stepGranter(now, granter.HandOverReceived{HandOver: m.HandOver})
	case ConfirmMessage:
		c.stepAssigner(now, m.Confirm.Service, assigner.ConfirmationReceived{Confirmation: m.Confirm})
	case ReportMessage:
		c.stepAssigner(now, m.Report.Service, assigner.ReportReceived{Report: m.Report})
	case FetchMessage:
		c.answerFetch(e.From, m)
	case ObjectsMessage:
		c.handleObjects(now, m)
	case CrashMessage:
		c.emit(RecordCrash(m))
	case ListChangeMessage:
		c.applyListChanges(now, m)
	}
}

// broadcastCrash sends a crash to every live instance, without a bound on their number: crashes are rare, and each
// instance must know of one before the caller retries the request that caused it.
func (c *Controller) broadcastCrash(crash quarantiner.Crash) {
	c.emit(LogNotice{"BackendServerCrashed", fmt.Sprintf("fingerprint %x", uint64(crash.Fingerprint))})
	for _, update := range c.prober.Members() {
		if update.Status == prober.Alive || update.Status == prober.Suspect {
			c.emit(SendMessage{update.Peer, CrashMessage{crash}})
		}
	}
}

// stepProber passes an event to the prober and sends the messages that it returns.
func (c *Controller) stepProber(now time.Time, e prober.Event) {
	for _, s := range c.prober.Step(now, e) {
		c.emit(SendMessage{s.To, ProbeMessage{s.Message}})
	}
	if generation := c.prober.LiveGeneration(); generation != c.liveGeneration {
		c.liveGeneration = generation
		c.refreshLive(now)
	}
}

// refreshLive passes the live instances on to the granter and to the assigners.
func (c *Controller) refreshLive(now time.Time) {
	c.generation++
	live := c.prober.Live()
	c.stepGranter(now, granter.LiveInstancesSeen{Instances: live})
	for _, s := range c.sortedServices() {
		c.stepAssigner(now, s, assigner.LiveInstancesSeen{Instances: live})
	}
}

// stepGranter passes an event to the granter and carries out the actions that it returns.
func (c *Controller) stepGranter(now time.Time, e granter.Event) {
	for _, action := range c.granter.Step(now, e) {
		switch a := action.(type) {
		case granter.SendOrder:
			c.emit(SendOrder(a))
		case granter.SendHandOver:
			c.send(now, a.To, HandOverMessage{a.HandOver})
		case granter.SendConfirmation:
			c.sendToAssigner(now, a.Confirmation.Service, ConfirmMessage{a.Confirmation})
		case granter.SendReport:
			c.sendToAssigner(now, a.Report.Service, ReportMessage{a.Report})
		case granter.PutRoster:
			c.putRoster(now, a.Zone, a.Expected, a.Roster, pendingWrite{zone: a.Zone})
		}
	}
}

// stepAssigner passes an event to the assigner of a service, if there is one, and carries out the actions that it
// returns.
func (c *Controller) stepAssigner(now time.Time, s identifier.ServiceName, e assigner.Event) {
	a, ok := c.assigners[s]
	if !ok {
		return
	}
	for _, action := range a.Step(now, e) {
		switch act := action.(type) {
		case assigner.PutAssignment:
			data, err := act.Assignment.Encode()
			c.put(now, AssignmentName(s), act.Expected, data, err, pendingWrite{service: s, kind: assigner.WriteAssignment})
		case assigner.PutRoster:
			c.putRoster(now, act.Zone, act.Expected, act.Roster, pendingWrite{s, assigner.WriteRoster, act.Zone})
		case assigner.PutRecord:
			data, err := assigner.EncodeRecord(act.Record)
			c.put(now, AssignerName(s), act.Expected, data, err, pendingWrite{service: s, kind: assigner.WriteRecord})
		}
	}
}

func (c *Controller) putRoster(now time.Time, z identifier.Zone, v identifier.Version, r granter.Roster, w pendingWrite) {
	data, err := r.Encode()
	c.put(now, RosterName(z), v, data, err, w)
}

// put starts a conditional write of an object. If a write of the same object is in progress, or err says that the
// object could not be encoded, the requester is notified at once that the write failed, and retries later.
func (c *Controller) put(now time.Time, name string, v identifier.Version, data []byte, err error, w pendingWrite) {
	_, busy := c.pendingWrites[name]
	if err != nil {
		c.emit(LogNotice{"EncodeFailed", err.Error()})
	}
	if busy || err != nil {
		c.reportWrite(now, w, false)
		return
	}
	c.pendingWrites[name] = w
	c.emit(WriteObject{storer.Object{Name: name, Version: v, Data: data}})
}

// handleWriteEnded handles the result of a conditional write. After a conflict or a lost answer it reads the object
// back, and the write stays in progress until then, so that nothing is decided on an outdated copy.
func (c *Controller) handleWriteEnded(now time.Time, e WriteEnded) {
	switch e.Result {
	case Written:
		c.updateObject(now, e.Object)
		c.pushObject(e.Object)
		c.finishWrite(now, e.Object.Name, true)
	case Conflicted, Ambiguous:
		c.emit(ReadObject{e.Object.Name})
	case NotWritten:
		c.finishWrite(now, e.Object.Name, false)
	}
}

// handleRead handles an object that was read back after a write with an uncertain result.
func (c *Controller) handleRead(now time.Time, o storer.Object) {
	if o.Version > 0 {
		c.updateObject(now, o)
	}
	c.finishWrite(now, o.Name, false)
}

// finishWrite ends the write in progress of an object, if there is one, and notifies its requester. succeeded says
// that the write is known to have taken effect.
func (c *Controller) finishWrite(now time.Time, name string, succeeded bool) {
	w, ok := c.pendingWrites[name]
	if !ok {
		return
	}
	delete(c.pendingWrites, name)
	c.reportWrite(now, w, succeeded)
}

// reportWrite notifies the assigner that requested a write of the result. The granter needs no notice: it learns the
// result from the roster.
func (c *Controller) reportWrite(now time.Time, w pendingWrite, succeeded bool) {
	if w.service != (identifier.ServiceName{}) {
		c.stepAssigner(now, w.service, assigner.WriteEnded{Kind: w.kind, Zone: w.zone, Applied: succeeded})
	}
}

// send sends a message to an instance. A message to this instance is handled at once; one to an unknown instance is
// dropped.
func (c *Controller) send(now time.Time, to identifier.Instance, m Message) {
	if to == c.cfg.Self.Instance {
		c.handleMessage(now, MessageReceived{c.cfg.Self, m})
		return
	}
	if update, ok := c.prober.Find(to); ok {
		c.emit(SendMessage{update.Peer, m})
	}
}

// sendToAssigner sends a message to the instance that is the assigner of a service. It drops the message if none is
// known.
func (c *Controller) sendToAssigner(now time.Time, s identifier.ServiceName, m Message) {
	if a, ok := c.assigners[s]; ok && a.Leader() != "" {
		c.send(now, a.Leader(), m)
	}
}
