package custodian

import (
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/ranker"
	"github.com/turmericlift/turmericlift/registrar"
)

// CellSize is the number of keyed backend servers up to which a zone has one cell: the
// grants of that many servers cost one process a few per cent of a core.
const CellSize = 24

// parts is the number of cells of each zone. It is a power of two that follows the number
// of servers, so it seldom changes; segments keep the cell that they were given in.
type parts map[identifier.Zone]int

// partsOf returns the number of cells of each zone that new grants are spread over.
func partsOf(w World, size int) parts {
	servers := map[identifier.Zone]int{}
	for _, e := range w.Entries {
		if w.Keyed[e.Service] {
			servers[e.Zone]++
		}
	}
	p := parts{}
	for zone, n := range servers {
		p[zone] = 1
		for p[zone]*max(size, 1) < n {
			p[zone] *= 2
		}
	}
	return p
}

// cellOf returns the cell whose processes are to grant keys to a server.
func (p parts) cellOf(e registrar.Entry) identifier.Cell {
	n := max(p[e.Zone], 1)
	return identifier.Cell{Zone: e.Zone, Part: int(ranker.Weight("cell", string(e.ID)) % uint64(n))}
}

// Grants reports whether granting keys to a server is this instance's task, as far as it
// knows.
func (c *Custodian) Grants(now time.Time, e registrar.Entry) bool {
	return c.world.Keyed[e.Service] && c.Granter(now, c.parts.cellOf(e)) == c.settings.Instance
}
