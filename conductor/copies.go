package conductor

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/mirrorer"
	"github.com/turmericlift/turmericlift/storer"
	"github.com/turmericlift/turmericlift/transporter"
)

const (
	// copyInterval is the time between two checks whether another instance has newer objects.
	copyInterval = 75 * time.Millisecond
	// copyTicks is the number of such checks between two calls that fetch another instance's copies
	// while the platform does not answer this one.
	copyTicks = 4
	// deltaWait is the time in which the delta of an allocation normally arrives that another
	// instance already has.
	deltaWait = 150 * time.Millisecond
)

// copyRequest requests the kinds that have an object newer than the given revision. Of the shared
// objects it requests those that are newer than the given versions, by name.
type copyRequest struct {
	Revisions      map[storer.ObjectKind]identifier.Version
	SharedVersions map[string]identifier.Version `cbor:"Own"`
	// Complete is, by kind, the revision at which the sender's copy was complete. Of these kinds it gets deltas.
	Complete map[storer.ObjectKind]identifier.Version `cbor:",omitempty"`
}

// copyAnswer carries the requested copies, and the roster confirmations of an instance that can reach the store.
type copyAnswer struct {
	Copies        []mirrorer.Copy
	Deltas        []mirrorer.Delta `cbor:",omitempty"`
	Confirmations []gossiper.Confirmation
	StoreUp       bool // Whether the platform's store answers the instance that sent the copies.
	// ListedMsAgo is the age, in milliseconds, of the newest list of the shared objects among the copies; 0 if unknown.
	ListedMsAgo int64
}

// HandleRequest implements transporter.Handler: it answers another instance's request for copies of
// the platform's objects, or its call about the tenants' quotas. It returns nil if the request does not decode.
func (c *Conductor) HandleRequest(_ context.Context, kind transporter.Kind, data []byte) []byte {
	switch kind {
	case transporter.KindQuota:
		return c.handleQuotaCall(data)
	case transporter.KindEvidence:
		return c.handleEvidenceCall()
	}
	var req copyRequest
	if kind != transporter.KindCopy || cbor.Unmarshal(data, &req) != nil {
		c.log.WithField("Kind", kind).Warning("request of another instance does not decode, it gets an empty answer")
		return nil
	}
	var answer copyAnswer
	c.mu.Lock()
	if listedAt := c.apportioner.ListedAt(); !listedAt.IsZero() { // Before the copies are made, which may be newer.
		answer.ListedMsAgo = c.clock().Sub(listedAt).Milliseconds() + 1
	}
	c.mu.Unlock()
	for kind, m := range c.mirrors {
		c.addCopy(&answer, req, kind, m)
	}
	c.mu.Lock()
	answer.Confirmations, answer.StoreUp = c.ownership.Confirmations(c.clock()), c.ownership.StoreUp()
	c.mu.Unlock()
	reply, err := cbor.Marshal(answer)
	if err != nil {
		c.log.WithField("Error", err).Error("copies do not encode, the request gets an empty answer")
		return nil
	}
	return reply
}

// addCopy adds what is newer in a mirror than the request says to the answer.
func (c *Conductor) addCopy(answer *copyAnswer, req copyRequest, kind storer.ObjectKind, m *mirrorer.Mirror) {
	if revision, ok := req.Complete[kind]; ok && kind != c.kinds.Shared {
		if d, changed := m.DeltaSince(revision); changed {
			answer.Deltas = append(answer.Deltas, d)
		}
		return
	}
	copied, _ := m.Snapshot()
	isNew := copied.NewestVersion() > req.Revisions[kind]
	if kind == c.kinds.Shared {
		copied.Objects = c.withNewestAllocations(copied.Objects)
		copied.Objects = slices.DeleteFunc(copied.Objects, func(o storer.Object) bool { return o.Version <= req.SharedVersions[o.Name] })
		isNew = len(copied.Objects) > 0
	}
	if isNew {
		answer.Copies = append(answer.Copies, copied)
	}
}

// withNewestAllocations returns shared objects in which allocations that are known in a newer version, by deltas, replace
// those of the store's last list.
func (c *Conductor) withNewestAllocations(objects []storer.Object) []storer.Object {
	c.mu.Lock()
	allocations, outdated := slices.Collect(maps.Values(c.ownership.Allocations())), c.ownership.OutdatedAllocations()
	c.mu.Unlock()
	for _, a := range allocations {
		name := custodian.AllocationPrefix + string(a.Service)
		n := slices.IndexFunc(objects, func(o storer.Object) bool { return o.Name == name })
		if n >= 0 && objects[n].Version >= a.Version && !outdated[name] {
			continue
		}
		data, err := a.Encode()
		if err != nil {
			c.log.WithFields(logrus.Fields{"Service": a.Service, "Error": err}).Error("allocation does not encode, the copies have an older one")
			continue
		}
		o := storer.Object{Name: name, Version: a.Version, Data: data}
		if n >= 0 {
			objects[n] = o
		} else {
			objects = append(objects, o)
		}
	}
	return objects
}

// copyLoop lists the shared objects when another instance has newer ones, and fetches copies from
// other instances while the platform does not answer this one.
func (c *Conductor) copyLoop(ctx context.Context) {
	next := 0
	var behindAt time.Time // Since when another instance has had a newer allocation.
	runEvery(ctx, copyInterval, c.copyTrigger, func() {
		now := c.clock()
		c.mu.Lock()
		source := c.takeCopySource(now)
		ahead, behind := c.ownership.PeerWithNewerAllocation(now)
		down := !c.view.storeDownAt.IsZero() || c.view.table == nil
		lost := c.ownership.AwaitsAllocations() // The store has none that would do.
		targets := c.copySources(now)
		c.mu.Unlock()
		if source != "" {
			c.copyFrom(ctx, source)
		}
		switch {
		case !behind:
			behindAt = time.Time{}
		case behindAt.IsZero():
			behindAt = now // The delta may still arrive.
		case now.Sub(behindAt) < deltaWait:
		case down, lost:
			behindAt = time.Time{}
			c.copyFrom(ctx, ahead.Address)
			return
		default:
			behindAt = time.Time{}
			c.listShared(ctx)
		}
		if next++; down && next%copyTicks == 0 && len(targets) > 0 {
			c.copyFrom(ctx, targets[next/copyTicks%len(targets)])
		}
	})
}

// copyFrom requests copies from the instance at an address and applies them.
func (c *Conductor) copyFrom(ctx context.Context, address string) {
	data, err := cbor.Marshal(c.newCopyRequest())
	if err != nil {
		c.log.WithField("Error", err).Error("request for copies does not encode, it is not sent")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	askedAt := c.clock()
	reply, err := c.transport.Call(ctx, address, transporter.KindCopy, data)
	if err != nil {
		c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Debug("another instance did not answer the request for copies")
		return
	}
	var answer copyAnswer
	if err := cbor.Unmarshal(reply, &answer); err != nil {
		c.log.WithFields(logrus.Fields{"Address": address, "Error": err}).Warning("copies of another instance do not decode, they are dropped")
		return
	}
	c.applyCopies(askedAt, address, answer)
}

// newCopyRequest returns a request for what is newer than this instance's copies.
func (c *Conductor) newCopyRequest() copyRequest {
	req := copyRequest{Revisions: map[storer.ObjectKind]identifier.Version{}, SharedVersions: map[string]identifier.Version{}}
	for kind, m := range c.mirrors {
		copied, _ := m.Snapshot()
		req.Revisions[kind] = copied.NewestVersion()
		if kind == c.kinds.Shared {
			c.addSharedVersions(req.SharedVersions, copied.Objects)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	req.Complete = c.completeRevisions()
	return req
}

// applyCopies applies the copies that were requested at a time from the instance at an address.
func (c *Conductor) applyCopies(askedAt time.Time, address string, answer copyAnswer) {
	c.mu.Lock()
	c.ownership.ApplyConfirmations(askedAt, answer.Confirmations)
	if answer.StoreUp && askedAt.After(c.view.copiedAt) {
		c.view.copiedAt = askedAt
	}
	c.mu.Unlock()
	for _, copied := range answer.Copies {
		m, ok := c.mirrors[copied.Kind]
		if !ok {
			continue
		}
		if copied.Kind == c.kinds.Shared {
			m.Merge(copied.Objects) // A copy of the shared objects is not a complete list.
			c.applyFormer(copied.Objects)
			continue
		}
		if m.ApplyList(copied, time.Time{}) {
			c.log.WithFields(logrus.Fields{"Address": address, "Kind": copied.Kind, "Revision": copied.Revision}).Info("copy of another instance is applied")
		}
	}
	for _, d := range answer.Deltas {
		if m, ok := c.mirrors[d.Kind]; ok && d.Kind != c.kinds.Shared && m.ApplyDelta(d) {
			c.log.WithFields(logrus.Fields{"Address": address, "Kind": d.Kind, "Revision": d.Revision, "Changed": len(d.Changed)}).Info("changes in another instance's copy are applied")
		}
	}
	if answer.ListedMsAgo > 0 {
		c.mu.Lock()
		c.apportioner.RecordListTime(askedAt.Add(-time.Duration(answer.ListedMsAgo) * time.Millisecond))
		c.mu.Unlock()
	}
}

// addSharedVersions adds the versions of the shared objects, and of the allocations that are known in a newer version. An
// allocation that the store has lost, so that it has an outdated one, counts in the version that is known here, if any: another
// instance may have a newer one.
func (c *Conductor) addSharedVersions(versions map[string]identifier.Version, objects []storer.Object) {
	for _, o := range objects {
		versions[o.Name] = o.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.ownership.OutdatedAllocations() {
		delete(versions, name)
	}
	for service, version := range c.ownership.Versions() {
		versions[custodian.AllocationPrefix+string(service)] = version
	}
}

// copySources returns the addresses of instances from which copies may be requested: of live ones that the store answers,
// or of all possible ones if there is none. The caller holds the lock.
func (c *Conductor) copySources(now time.Time) []string {
	var sources []string
	for _, p := range c.ownership.Gossip.Live(now) {
		if p.StoreUp {
			sources = append(sources, p.Address)
		}
	}
	if len(sources) == 0 {
		return c.ownership.Gossip.Targets(now)
	}
	return sources
}

// copyIfStoreIsSilent requests copies from an instance that has newer objects, unless the store has answered this one
// lately: it may be some time before the silence of the store shows. The caller holds the lock.
func (c *Conductor) copyIfStoreIsSilent(now time.Time, s gossiper.State) {
	if s.StoreUp && now.Sub(c.view.storeAnsweredAt) >= watchLag {
		c.tasks.Go(func(ctx context.Context) { c.copyFrom(ctx, s.Address) })
	}
}
