package scheduler

import (
	"time"
)

// EnableCostAware makes decisions follow costs from now on (Options.CostAware). Requests that wait keep waiting; those that
// run at servers count by their number only, since their work was not estimated.
func (s *Scheduler) EnableCostAware(now time.Time) {
	if s.options.CostAware {
		return
	}
	s.options.CostAware = true
	for service := range s.pools {
		s.updateSubset(service)
	}
	for service, queue := range s.queues {
		if s.decidesByCost(s.isKeyed(service)) {
			before := s.waiting[service]
			delete(s.waiting, service)
			delete(s.queues, service)
			s.recordWaiting(service, before)
			for _, r := range queue {
				s.enqueue(now, r)
			}
		}
	}
}
