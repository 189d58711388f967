package scheduler

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
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
	queues := s.queues
	s.queues, s.waiting = map[identifier.Service][]*PendingRequest{}, map[identifier.Service]map[identifier.BackendServer]int{}
	for _, sv := range s.servers {
		sv.waiting = 0
	}
	for _, queue := range queues {
		for _, r := range queue {
			s.enqueue(now, r)
		}
	}
}
