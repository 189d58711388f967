package conductor

import (
	"github.com/turmericlift/turmericlift/exchanger"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/registrar"
)

// orderPool returns the pool of order connections to an incarnation of a server, or nil: those to
// its listed address if there are any. The caller holds the lock.
func (c *Conductor) orderPool(id identifier.BackendServer, incarnation registrar.Incarnation) (poolKey, *exchanger.Pool) {
	listed := poolKey{id, incarnation, c.view.entries[id].Address}
	if p, ok := c.orders[listed]; ok {
		return listed, p
	}
	for key, p := range c.orders {
		if key.id == id && key.incarnation == incarnation {
			return key, p
		}
	}
	return poolKey{}, nil
}

// poolFor returns the pool of order connections over which an order goes, or nil. The caller holds the lock.
func (c *Conductor) poolFor(o leaser.Order) (poolKey, *exchanger.Pool) {
	if incarnation, ok := c.view.replaced[o.Server]; ok && incarnation == o.Incarnation {
		return poolKey{}, nil
	}
	key, orders := c.orderPool(o.Server, o.Incarnation)
	if orders == nil && (o.Fencing || o.Kind == leaser.Release) {
		return c.listedOrderPool(o.Server)
	}
	return key, orders
}

// listedOrderPool returns the pool of order connections to the listed incarnation of a server, or nil. Keys of a former
// incarnation that this instance never listed are taken back there: the former process has ended, or it is the process that
// answers under the server's name at the listed address. The caller holds the lock.
func (c *Conductor) listedOrderPool(id identifier.BackendServer) (poolKey, *exchanger.Pool) {
	e, ok := c.view.entries[id]
	if !ok {
		return poolKey{}, nil
	}
	key := poolKey{id, e.Incarnation, e.Address}
	return key, c.orders[key]
}

// listed reports whether the entry of a server names the incarnation and the address of a pool. The caller holds the lock.
func (c *Conductor) listed(key poolKey) bool {
	e, ok := c.view.entries[key.id]
	return ok && e.Incarnation == key.incarnation && e.Address == key.address
}

// closeUnusedOrders closes the order connections to incarnations that are not listed and that no keys are assigned to.
// While keys are, they may have to be released at the address to which they were granted. The caller holds the lock.
func (c *Conductor) closeUnusedOrders() {
	var assigned map[serverIncarnation]bool
	for key, p := range c.orders {
		if c.listed(key) {
			continue
		}
		if assigned == nil {
			assigned = map[serverIncarnation]bool{}
			for _, a := range c.ownership.Allocations() {
				for n := range a.Segments {
					assigned[serverIncarnation{a.Segments[n].Owner, a.Segments[n].Incarnation}] = true
				}
			}
		}
		if !assigned[serverIncarnation{key.id, key.incarnation}] {
			p.Close()
			delete(c.orders, key)
		}
	}
}
