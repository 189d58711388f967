package conductor

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/storer"
)

// recordStoreCall records how a call to the platform's store ended. An outage starts with the first
// call that gets no answer and ends with the next call that succeeds. Answers that do not decode
// and a dropped history do not count as an outage.
func (c *Conductor) recordStoreCall(kind storer.ObjectKind, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.view.storeAnsweredAt = c.clock()
		c.recordStoreAnswer(c.clock())
		return
	}
	if errors.Is(err, storer.ErrMalformedAnswer) {
		// The store answers: other kinds and writes continue, and this kind is read again.
		c.log.WithFields(logrus.Fields{"Kind": kind, "Error": err}).Warning("answer of the platform's store does not decode, this kind is read again")
		return
	}
	if errors.Is(err, storer.ErrHistoryGone) {
		c.log.WithFields(logrus.Fields{"Kind": kind, "Error": err}).Warning("platform's store dropped its history, all watched kinds are listed again")
		c.historyLostKind = kind // The revision of its next list tells which copies of the other kinds must be listed again.
		return
	}
	if c.view.storeDownAt.IsZero() {
		c.view.storeDownAt = c.clock()
		c.ownership.SetEnvironment(c.environment())
		c.log.WithFields(logrus.Fields{"Kind": kind, "Error": err}).Warning("platform's store does not answer, writes and plans pause until it does")
	}
}

// recordStoreAnswer ends the present outage, if there is one, and logs its length in milliseconds
// if it counts as an outage. The caller holds the lock.
func (c *Conductor) recordStoreAnswer(now time.Time) {
	if c.view.storeDownAt.IsZero() {
		return
	}
	if lasted := now.Sub(c.view.storeDownAt); lasted >= outageThreshold {
		c.view.storeUpAt = now
		c.log.WithField("Ms", lasted.Milliseconds()).Info("platform's store answers again")
	}
	c.view.storeDownAt = time.Time{}
	c.ownership.SetEnvironment(c.environment())
}

const (
	// storeRetry is the pause after the first failed call to the store; it doubles with each
	// further failure.
	storeRetry = 100 * time.Millisecond
	// maxStoreRetry bounds the pause: the end of an outage is noticed at most that much later.
	maxStoreRetry = 400 * time.Millisecond
	// maxStoreWait is the time after which a kind is tried again even though the configuration,
	// which is tried more often, still gets no answer.
	maxStoreWait = time.Second
	// storePollInterval is the time between two checks whether the outage is over.
	storePollInterval = 50 * time.Millisecond
)

// storeBackoff waits before a kind is read again. After the second failure in a row only the
// configuration is tried, on behalf of all kinds.
func (c *Conductor) storeBackoff(ctx context.Context, kind storer.ObjectKind, failures int) {
	pause := min(storeRetry<<min(failures, 4), maxStoreRetry)
	pausedAt := c.clock()
	for {
		waited := c.clock().Sub(pausedAt)
		c.mu.Lock()
		down := !c.view.storeDownAt.IsZero()
		c.mu.Unlock()
		if waited >= pause && (failures == 0 || !down || kind == c.kinds.Config || waited >= maxStoreWait) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(storePollInterval):
		}
	}
}
