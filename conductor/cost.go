package conductor

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/turmericlift/turmericlift/identifier"
)

// updateCostAware lets requests be sent and refused by what they cost if the settings ask for it, or from the time on at which
// a service has fewer slots than there are instances: an instance's share of the service is under one request then, so that
// what it guesses of the others' requests is wrong most of the time. It stays so, since slots come and go. The caller holds
// the lock.
func (c *Conductor) updateCostAware(now time.Time) {
	if c.costAware {
		return
	}
	service, slots := c.scarcestService()
	instances := c.apportioner.Count()
	if !c.settings.CostAware && (service == "" || slots >= instances) {
		return
	}
	c.costAware = true
	c.scheduler.EnableCostAware(now)
	c.log.WithFields(logrus.Fields{"BySettings": c.settings.CostAware, "Service": service, "Slots": slots, "Instances": instances}).Info(
		"requests are sent and refused by what they are expected to cost")
}

// scarcestService returns the service with the fewest slots and their number; it is empty if no server is known. The caller
// holds the lock.
func (c *Conductor) scarcestService() (scarcest identifier.Service, slots int) {
	sums := map[identifier.Service]int{}
	for _, e := range c.view.entries {
		sums[e.Service] += e.Slots
	}
	for service, n := range sums {
		if scarcest == "" || n < slots || n == slots && service < scarcest {
			scarcest, slots = service, n
		}
	}
	return scarcest, slots
}
