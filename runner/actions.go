package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/router"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/transporter"
)

// coordinatedServer is a backend server that this instance coordinates.
type coordinatedServer = granter.CoordinatedServer

const (
	// watchWait is how long the platform holds a watch open when nothing changes.
	watchWait = 8 * time.Second
	// listInterval is the time between two reads of the platform's list of instances by the instance of a zone that
	// sends changes of the list to the others.
	listInterval = time.Second
	// backupListInterval is the time between two reads of the list by the other instances.
	backupListInterval = 8 * time.Second
	// maxBackoff bounds the wait after a failed platform call.
	maxBackoff = 2 * time.Second
	// sendTimeout bounds the time to send a control message to a peer.
	sendTimeout = time.Second
)

// perform carries out an action of the controller. Actions that use the network run in tasks of their own, whose
// results come back as events.
func (r *Runner) perform(action controller.Action) {
	switch a := action.(type) {
	case controller.SendMessage:
		r.tasks.Go(func(ctx context.Context) { r.sendMessage(ctx, a) })
	case controller.SendOrder:
		r.tasks.Go(func(ctx context.Context) { r.sendOrder(ctx, a) })
	case controller.WriteObject:
		r.tasks.Go(func(ctx context.Context) { r.write(ctx, a.Object) })
	case controller.ReadObject:
		r.tasks.Go(func(ctx context.Context) { r.read(ctx, a.Name) })
	case controller.RecordCrash:
		r.guard.recordCrash(a.Crash)
	case controller.LogNotice:
		r.scope.Counter(a.Name).Inc(1)
		r.logs.Control.WithField("Detail", a.Detail).Info(a.Name)
	}
}

// sendMessage sends a control message to a peer. A message that cannot be sent is counted and dropped.
func (r *Runner) sendMessage(ctx context.Context, a controller.SendMessage) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	self := prober.Peer{Instance: r.cfg.Instance, Zone: r.cfg.Zone, Address: r.transport.Address()}
	data, err := controller.EncodeMessage(self, a.Message)
	if err != nil {
		r.logs.Control.WithError(err).Error("MessageNotEncoded")
		return
	}
	r.scope.Counter("PeerMessagesSent").Inc(1)
	r.scope.Counter("PeerBytesSent").Inc(int64(len(data)))
	if err := r.transport.Send(ctx, a.To.Address, data); err != nil {
		r.scope.Counter("PeerMessagesFailed").Inc(1)
	}
}

// sendOrder sends an order to a backend server and submits its answer, or that there was none.
func (r *Runner) sendOrder(ctx context.Context, a controller.SendOrder) {
	answer, err := r.sender.SendOrder(ctx, a.Address, a.Order)
	if err != nil {
		r.scope.Counter("OrdersFailed").Inc(1)
	}
	r.submit(ctx, controller.OrderEnded{
		Answered: granter.OrderAnswered{Order: a.Order, Answer: answer, Failed: err != nil},
	})
}

// write writes an object to the platform if its version there is still o.Version, and submits the result.
func (r *Runner) write(ctx context.Context, o storer.Object) {
	r.scope.Counter("PlatformWrites").Inc(1)
	v, err := r.store.Write(ctx, o.Name, o.Version, o.Data)
	result := controller.Written
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		o.Version = v
	case errors.As(err, &conflict):
		result = controller.Conflicted
	case errors.Is(err, storer.ErrOutcomeUnknown):
		result = controller.Ambiguous
	default:
		result = controller.NotWritten
	}
	if err != nil {
		r.scope.Counter("PlatformWritesFailed").Inc(1)
		r.logs.Platform.WithError(err).Debug("WriteFailed")
	}
	r.submit(ctx, controller.WriteEnded{Object: o, Result: result})
}

// read reads an object from the platform and submits it, with version 0 if it does not exist.
func (r *Runner) read(ctx context.Context, name string) {
	r.scope.Counter("PlatformReads").Inc(1)
	o, err := r.store.Read(ctx, name)
	switch {
	case err == nil:
		r.submit(ctx, controller.ObjectRead{Object: o})
	case errors.Is(err, storer.ErrNotFound):
		r.submit(ctx, controller.ObjectRead{Object: storer.Object{Name: name}})
	default:
		r.submit(ctx, controller.ReadFailed{Name: name})
	}
}

// watchObjects watches the platform's objects until ctx ends, one watch at a time, each from the last known revision.
func (r *Runner) watchObjects(ctx context.Context) {
	backoff := backoff{}
	healthy := true
	for ctx.Err() == nil {
		from := identifier.Version(r.revision.Load())
		at := time.Now()
		r.scope.Counter("PlatformWatches").Inc(1)
		result, err := r.store.Watch(ctx, storer.Prefix, from, watchWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			healthy = r.recordPlatformHealth(healthy, false, err)
			sleep(ctx, backoff.next())
			continue
		}
		healthy = r.recordPlatformHealth(healthy, true, nil)
		backoff.reset()
		r.submit(ctx, controller.WatchAnswered{At: at, From: from, Change: result})
		// The control loop must have handled the event before the next watch starts, which uses the new revision.
		r.runInLoop(ctx, func(*controller.Controller) {})
	}
}

// recordPlatformHealth sets the gauge of the platform's availability, logs only changes of it, and returns healthy.
func (r *Runner) recordPlatformHealth(wasHealthy, healthy bool, err error) bool {
	switch {
	case wasHealthy && !healthy:
		r.logs.Platform.WithError(err).Warn("PlatformUnavailable")
	case !wasHealthy && healthy:
		r.logs.Platform.Info("PlatformAvailable")
	}
	value := 0.0
	if healthy {
		value = 1
	}
	r.scope.Gauge("PlatformAvailable").Update(value)
	return healthy
}

// pollInstanceList reads the platform's list of instances until ctx ends and submits it.
func (r *Runner) pollInstanceList(ctx context.Context) {
	backoff := backoff{}
	unreadable := 0
	for ctx.Err() == nil {
		r.scope.Counter("PlatformReads").Inc(1)
		list, err := r.store.Instances(ctx)
		if err != nil {
			sleep(ctx, backoff.next())
			continue
		}
		backoff.reset()
		if n := len(list.Unreadable); n != unreadable {
			unreadable = n
			r.logs.Platform.WithError(errors.Join(list.Unreadable...)).WithField("Items", n).Warn("InstanceListPartlyUnreadable")
		}
		r.submit(ctx, controller.ListRead{Listed: list.Instances})
		r.awaitListRead(ctx)
	}
}

// awaitListRead waits until the list must be read again: for listInterval if this instance polls the list often, else
// for backupListInterval. An instance that begins to poll often notices within listInterval.
func (r *Runner) awaitListRead(ctx context.Context) {
	for waited := time.Duration(0); waited < backupListInterval && sleep(ctx, listInterval); waited += listInterval {
		if r.pollsListOften.Load() {
			return
		}
	}
}

// backoff computes waits between retries: exponential with full jitter. limit bounds the last wait.
type backoff struct{ limit time.Duration }

// next returns a random wait below the limit, which doubles at each call up to maxBackoff.
func (b *backoff) next() time.Duration {
	b.limit = min(max(2*b.limit, 50*time.Millisecond), maxBackoff)
	return time.Duration(rand.Int64N(int64(b.limit)))
}

// reset makes the next wait a short one, after a call that succeeded.
func (b *backoff) reset() { b.limit = 0 }

// peerHandler passes peers' messages to the control loop, and their requests to the request path.
type peerHandler struct{ runner *Runner }

// HandleMessage decodes a control message and submits it to the control loop. A message that does not decode, or for
// which the event buffer has no capacity left, is counted and dropped. It never blocks.
func (h peerHandler) HandleMessage(data []byte) {
	from, m, err := controller.DecodeMessage(data)
	if err != nil {
		h.runner.scope.Counter("PeerMessagesBad").Inc(1)
		return
	}
	h.runner.scope.Counter("PeerMessagesReceived").Inc(1)
	select {
	case h.runner.events <- controller.MessageReceived{From: from, Message: m}:
	default:
		h.runner.scope.Counter("PeerMessagesDropped").Inc(1)
	}
}

// HandleRequest answers another instance's request: the recorder answers those of transporter.KindRecord, the
// dispatcher all others.
func (h peerHandler) HandleRequest(ctx context.Context, kind transporter.Kind, data []byte) []byte {
	if kind == transporter.KindRecord {
		return h.runner.recorder.Serve(ctx, data)
	}
	return h.runner.dispatcher.Serve(ctx, data)
}

// serviceSettings returns the settings in force of each service of a table.
func serviceSettings(t *router.Table) map[identifier.ServiceName]configurer.EffectiveSettings {
	settings := map[identifier.ServiceName]configurer.EffectiveSettings{}
	for name, s := range t.Services {
		settings[name] = s.Settings
	}
	return settings
}

// RecordAnswer counts an answer to a caller and records how long the request took, by service, outcome and result code.
func (r *Runner) RecordAnswer(s identifier.ServiceName, a answerer.Answer, took time.Duration) {
	scope := r.scope.Tagged(map[string]string{"Service": s.String(), "Outcome": string(a.Outcome), "Code": a.Code.Name()})
	scope.Counter("Requests").Inc(1)
	scope.Timer("RequestTime").Record(took)
}
