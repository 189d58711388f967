package gossiper

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
)

// ZoneLoad is the sum of the requests of a zone's instances at each backend server. It is relayed in place of the
// requests of each instance.
type ZoneLoad struct {
	_    struct{} `cbor:",toarray"`
	Zone identifier.Zone
	// Number orders the sums of a zone: the state number of the relay that computed it.
	Relay  uint32
	Number uint64
	// Counts has loadEntryBytes for each backend server with requests: its reference, and the numbers of requests that
	// run there and that wait for it, each at most 255.
	Counts []byte
}

// loadEntryBytes is the size of an entry of ZoneLoad.Counts, in bytes.
const loadEntryBytes = 6

// loadTimeout is the time after which the load of a zone no longer counts.
const loadTimeout = 3 * time.Second

// receivedLoad is the newest load of a zone.
type receivedLoad struct {
	load ZoneLoad
	at   time.Time
}

// serverRef returns the reference by which a ZoneLoad names a backend server. It is not unique, which makes the estimated
// load of two servers wrong if they have the same.
func serverRef(id identifier.BackendServer) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}

// relayedLoads returns the loads that go into a message: that of the own zone, or one zone after the other in turn.
func (g *Gossiper) relayedLoads(now time.Time, scope Scope) []ZoneLoad {
	if scope == ScopeIntroduction {
		return nil
	}
	loads := []ZoneLoad{}
	for _, zone := range g.zoneNames() {
		if l, ok := g.loads[zone]; ok && zone != g.self.Zone && now.Sub(l.at) < loadTimeout {
			loads = append(loads, l.load)
		}
	}
	own := g.ownZoneLoad(now)
	turn := int(g.number % uint64(len(loads)+1))
	switch {
	case scope == ScopeZone && g.number%2 == 1:
		return nil
	case scope == ScopeZone || turn == len(loads):
		return []ZoneLoad{own}
	default:
		return []ZoneLoad{loads[turn]}
	}
}

// ownZoneLoad returns the sum of the requests of the own zone's instances, by their newest states.
func (g *Gossiper) ownZoneLoad(now time.Time) ZoneLoad {
	sums := map[identifier.BackendServer][2]int{}
	add := func(s *State) {
		for id, n := range s.RunningRequests {
			sum := sums[id]
			sum[0] += n
			sums[id] = sum
		}
		for id, n := range s.WaitingRequests {
			sum := sums[id]
			sum[1] += n
			sums[id] = sum
		}
	}
	add(&g.sent)
	for _, p := range g.peers {
		if p.Zone == g.self.Zone && g.isLive(now, p) {
			add(&p.State)
		}
	}
	load := ZoneLoad{Zone: g.self.Zone, Relay: ref(g.self.Instance, g.self.Incarnation), Number: g.number, Counts: make([]byte, 0, len(sums)*loadEntryBytes)}
	for id, sum := range sums {
		load.Counts = binary.BigEndian.AppendUint32(load.Counts, serverRef(id))
		load.Counts = append(load.Counts, byte(min(sum[0], 255)), byte(min(sum[1], 255)))
	}
	return load
}

// RecordLoads records the loads of zones that a relay has sent.
func (g *Gossiper) RecordLoads(now time.Time, loads []ZoneLoad) {
	for _, l := range loads {
		known, ok := g.loads[l.Zone]
		if ok && known.load.Relay == l.Relay && known.load.Number >= l.Number {
			continue // Older than what is known: it may come by several ways.
		}
		g.loads[l.Zone] = receivedLoad{l, now}
	}
}

// Load returns, for each backend server, the numbers of requests of other instances that run there and that wait for it,
// as far as they are known. servers are the known backend servers.
func (g *Gossiper) Load(now time.Time, servers func(yield func(identifier.BackendServer) bool)) (running, waiting map[identifier.BackendServer]int) {
	running, waiting = map[identifier.BackendServer]int{}, map[identifier.BackendServer]int{}
	if !g.relayed {
		for _, p := range g.Live(now) {
			for id, n := range p.RunningRequests {
				running[id] += n
			}
			for id, n := range p.WaitingRequests {
				waiting[id] += n
			}
		}
		return running, waiting
	}
	sums := map[uint32][2]int{}
	for zone, l := range g.loads {
		if now.Sub(l.at) >= loadTimeout || zone == g.self.Zone && g.forwards {
			continue
		}
		addLoad(sums, l.load)
	}
	if g.forwards {
		addLoad(sums, g.ownZoneLoad(now))
	}
	for id := range servers {
		sum, ok := sums[serverRef(id)]
		if !ok {
			continue
		}
		// The load of the own zone includes the requests of this instance.
		running[id] = max(sum[0]-g.sent.RunningRequests[id], 0)
		waiting[id] = max(sum[1]-g.sent.WaitingRequests[id], 0)
	}
	return running, waiting
}

// addLoad adds the counts of a load to sums. A part of an entry at the end is ignored.
func addLoad(sums map[uint32][2]int, l ZoneLoad) {
	for b := l.Counts; len(b) >= loadEntryBytes; b = b[loadEntryBytes:] {
		r := binary.BigEndian.Uint32(b)
		sum := sums[r]
		sums[r] = [2]int{sum[0] + int(b[4]), sum[1] + int(b[5])}
	}
}
