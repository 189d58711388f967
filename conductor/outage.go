package conductor

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/storer"
)

// storeEnded takes in the end of a call to the platform's store.
func (c *Conductor) storeEnded(kind storer.ObjectKind, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.storeWorked(c.clock())
		return
	}
	if errors.Is(err, storer.ErrGarbled) {
		// The store is there: the other kinds and writes go on, and this kind is read again.
		c.log.WithFields(logrus.Fields{"Kind": kind, "Error": err}).Warning("answer of the platform's store does not decode")
		return
	}
	if errors.Is(err, storer.ErrHistoryGone) {
		c.log.WithFields(logrus.Fields{"Kind": kind, "Error": err}).Warning("platform's store dropped its history, everything is listed anew")
		c.historyLost = kind // Its list, which comes next, says from where on the others are to be listed.
		return
	}
	if c.view.storeDownAt.IsZero() {
		c.view.storeDownAt = c.clock()
		c.custody.SetWorld(c.world())
		c.log.WithFields(logrus.Fields{"Kind": kind, "Error": err}).Warning("platform's store does not answer")
	}
}

// storeWorked logs the end of an outage.
func (c *Conductor) storeWorked(now time.Time) {
	if c.view.storeDownAt.IsZero() {
		return
	}
	if lasted := now.Sub(c.view.storeDownAt); lasted >= outageAfter {
		c.view.storeUpAt = now
		c.log.WithField("Ms", lasted.Milliseconds()).Info("platform's store answers again")
	}
	c.view.storeDownAt = time.Time{}
	c.custody.SetWorld(c.world())
}

const (
	// storeRetry is the pause after a call to the store that failed.
	storeRetry = 100 * time.Millisecond
	// storeRetryMost bounds the pause: the store's return is noticed that late at most.
	storeRetryMost = 400 * time.Millisecond
	// storeWaitMost is the time after which a kind is tried again though another one, which
	// is tried more often, does not find the store back.
	storeWaitMost = time.Second
	// storeBackTick is the time between two looks at whether it has.
	storeBackTick = 50 * time.Millisecond
)

// storePause waits before a kind is tried again: once the second call in a row has failed,
// the configuration is tried for all.
func (c *Conductor) storePause(ctx context.Context, kind storer.ObjectKind, failures int) {
	pause := min(storeRetry<<min(failures, 4), storeRetryMost)
	pausedAt := c.clock()
	for {
		waited := c.clock().Sub(pausedAt)
		c.mu.Lock()
		down := !c.view.storeDownAt.IsZero()
		c.mu.Unlock()
		if waited >= pause && (failures == 0 || !down || kind == c.kinds.Config || waited >= storeWaitMost) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(storeBackTick):
		}
	}
}
