package custodian

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/registrar"
)

// CellSize is the number of keyed backend servers up to which a zone has one cell: granting to that
// many servers costs one process a few per cent of a core.
const CellSize = 24

// cellCounts is the number of cells of each zone. The number is a power of two that follows the number
// of servers, so that it seldom changes; a segment keeps the cell under which it was assigned.
type cellCounts map[identifier.Zone]int

// countCells returns the number of cells over which the new grants in each zone are spread; size is
// the number of servers up to which a zone has one cell.
func countCells(env Environment, size int) cellCounts {
	servers := map[identifier.Zone]int{}
	for _, e := range env.Entries {
		if env.Keyed[e.Service] {
			servers[e.Zone]++
		}
	}
	p := cellCounts{}
	for zone, n := range servers {
		p[zone] = 1
		for p[zone]*max(size, 1) < n {
			p[zone] *= 2
		}
	}
	return p
}

// cellOf returns the cell whose processes should grant keys to a server.
func (p cellCounts) cellOf(e registrar.Entry) identifier.Cell {
	n := max(p[e.Zone], 1)
	return identifier.Cell{Zone: e.Zone, Part: int(ranker.Weight("cell", string(e.ID)) % uint64(n))}
}

// ShouldGrant reports whether this instance should grant keys to a server, according to its own view of the
// live instances.
func (c *Custodian) ShouldGrant(now time.Time, e registrar.Entry) bool {
	return c.environment.Keyed[e.Service] && c.Granter(now, c.cellCounts.cellOf(e)) == c.settings.Instance
}
