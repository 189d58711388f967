package conductor

import "time"

// informedAt returns the time up to which this instance knows all changes of backend servers and evacuations; zero if it
// is told of each change, because the store answers it. Copies from another instance count if the store answers that
// one. The caller holds the lock.
func (c *Conductor) informedAt() time.Time {
	switch {
	case c.view.storeDownAt.IsZero():
		return time.Time{}
	case c.view.copiedAt.After(c.view.storeAnsweredAt):
		return c.view.copiedAt
	case c.view.storeAnsweredAt.IsZero():
		return c.startedAt
	}
	return c.view.storeAnsweredAt
}

// viewAge returns the time for which changes of backend servers and evacuations may have gone unnoticed. The caller holds
// the lock.
func (c *Conductor) viewAge(now time.Time) time.Duration {
	at := c.informedAt()
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}
