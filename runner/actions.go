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

type heldServer = granter.Held

const (
	// watchWait is how long a watch waits for a change.
	watchWait = 8 * time.Second
	// listEvery is the time between two reads of the platform's list by the instance
	// of a zone that tells the others of it.
	listEvery = time.Second
	// listRarely is the time between two reads by the others.
	listRarely = 8 * time.Second
	// longestBackoff bounds the wait after failed platform calls.
	longestBackoff = 2 * time.Second
	// sendTimeout bounds the time to send a control message.
	sendTimeout = time.Second
)

// perform carries an action out without waiting for its end.
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
	case controller.HearCrash:
		r.guard.hear(a.Crash)
	case controller.Noted:
		r.scope.Counter(a.Subject).Inc(1)
		r.logs.Control.WithField("Detail", a.Detail).Info(a.Subject)
	}
}

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

func (r *Runner) sendOrder(ctx context.Context, a controller.SendOrder) {
	answer, err := r.sender.SendOrder(ctx, a.Address, a.Order)
	if err != nil {
		r.scope.Counter("OrdersFailed").Inc(1)
	}
	r.submit(ctx, controller.OrderEnded{
		Answered: granter.OrderAnswered{Order: a.Order, Answer: answer, Failed: err != nil},
	})
}

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
	case errors.Is(err, storer.ErrUnknown):
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

// watchLoop keeps one watch waiting at the platform, and resumes it from the last
// known revision.
func (r *Runner) watchLoop(ctx context.Context) {
	backoff := backoff{}
	healthy := true
	for ctx.Err() == nil {
		from := identifier.Version(r.revision.Load())
		at := time.Now()
		r.scope.Counter("PlatformWatches").Inc(1)
		change, err := r.store.Watch(ctx, storer.Prefix, from, watchWait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			healthy = r.noteHealth(healthy, false, err)
			pause(ctx, backoff.next())
			continue
		}
		healthy = r.noteHealth(healthy, true, nil)
		backoff.reset()
		r.submit(ctx, controller.Watched{At: at, From: from, Change: change})
		r.look(ctx, func(*controller.Controller) {}) // The next watch starts after it.
	}
}

// noteHealth logs changes of the platform's health only.
func (r *Runner) noteHealth(before, now bool, err error) bool {
	switch {
	case before && !now:
		r.logs.Platform.WithError(err).Warn("PlatformUnavailable")
	case !before && now:
		r.logs.Platform.Info("PlatformAvailable")
	}
	value := 0.0
	if now {
		value = 1
	}
	r.scope.Gauge("PlatformAvailable").Update(value)
	return now
}

func (r *Runner) listLoop(ctx context.Context) {
	backoff := backoff{}
	for ctx.Err() == nil {
		r.scope.Counter("PlatformReads").Inc(1)
		list, err := r.store.Instances(ctx)
		if err != nil {
			pause(ctx, backoff.next())
			continue
		}
		backoff.reset()
		r.submit(ctx, controller.ListRead{Listed: list})
		r.pauseList(ctx)
	}
}

// pauseList waits until the list is to be read again. An instance that is not its
// zone's reader waits longer, but takes over within listEvery.
func (r *Runner) pauseList(ctx context.Context) {
	for waited := time.Duration(0); waited < listRarely && pause(ctx, listEvery); waited += listEvery {
		if r.readsList.Load() {
			return
		}
	}
}

// backoff is exponential, with full jitter.
type backoff struct{ most time.Duration }

func (b *backoff) next() time.Duration {
	b.most = min(max(2*b.most, 50*time.Millisecond), longestBackoff)
	return time.Duration(rand.Int64N(int64(b.most)))
}

func (b *backoff) reset() { b.most = 0 }

// peerHandler brings what peers send to the control loop and the request path.
type peerHandler struct{ r *Runner }

// HandleMessage takes in a control message. One that does not decode is dropped.
func (h peerHandler) HandleMessage(data []byte) {
	from, m, err := controller.DecodeMessage(data)
	if err != nil {
		h.r.scope.Counter("PeerMessagesBad").Inc(1)
		return
	}
	h.r.scope.Counter("PeerMessagesReceived").Inc(1)
	select {
	case h.r.events <- controller.MessageReceived{From: from, Message: m}:
	default:
		h.r.scope.Counter("PeerMessagesDropped").Inc(1)
	}
}

// HandleRequest answers another instance's request.
func (h peerHandler) HandleRequest(ctx context.Context, kind transporter.Kind, data []byte) []byte {
	if kind == transporter.KindRecord {
		return h.r.record.Serve(ctx, data)
	}
	return h.r.dispatch.Serve(ctx, data)
}

// settingsOf returns the settings of each service of a table.
func settingsOf(t *router.Table) map[identifier.ServiceName]configurer.Effective {
	settings := map[identifier.ServiceName]configurer.Effective{}
	for name, s := range t.Services {
		settings[name] = s.Settings
	}
	return settings
}

// Answered counts an answer to a caller.
func (r *Runner) Answered(s identifier.ServiceName, a answerer.Answer, took time.Duration) {
	scope := r.scope.Tagged(map[string]string{"Service": s.String(), "Outcome": string(a.Outcome), "Code": a.Code.Name()})
	scope.Counter("Requests").Inc(1)
	scope.Timer("RequestTime").Record(took)
}
