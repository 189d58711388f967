package granter

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/partitioner"
)

var (
	testNow     = time.Unix(1e6, 0)
	testService = identifier.ServiceName{Organisation: "org", Service: "log"}
	testServer  = ServerInfo{ID: "server-0", Zone: "zone-0", Service: testService, Address: "server-0", Keyed: true, ChecksGrants: true}
)

// newTestGranter returns the Granter of process 1 of instance-0, which has read testServer and the
// roster of zone-0.
func newTestGranter(roster Roster) *Granter {
	g := New(testNow, Config{
		Self: "instance-0", Incarnation: 1, Zone: "zone-0", Lease: DefaultLease, RenewInterval: DefaultRenewInterval,
		Margin: DefaultMargin, ClaimAfter: DefaultClaimAfter, RosterRetry: DefaultRosterRetry,
	})
	g.Step(testNow, ServersSeen{[]ServerInfo{testServer}})
	g.Step(testNow, RosterSeen{"zone-0", 1, roster})
	return g
}

// member returns a roster whose only member is a process of instance-0.
func member(inc identifier.Incarnation, fenced bool) Roster {
	return Roster{Members: []Member{{"instance-0", inc, fenced}}}
}

// TestMayGrant guards against grants by a process that has lost the right to grant: one that is not on
// the roster, is fenced, knows only an assignment below the floor, or has had no contact with the
// platform for the service's IsolationHold.
func TestMayGrant(t *testing.T) {
	t.Parallel()
	floored := member(1, false)
	floored.RaiseFloor(testService, 5)
	cases := []struct {
		name    string
		roster  Roster
		version identifier.Version // The version of the assignment that the granter has read.
		hold    time.Duration
		contact time.Time
		want    bool
	}{
		{"OnRoster", member(1, false), 2, 0, time.Time{}, true},
		{"NotOnRoster", Roster{}, 2, 0, time.Time{}, false},
		{"FormerProcess", member(9, false), 2, 0, time.Time{}, false},
		{"Fenced", member(1, true), 2, 0, time.Time{}, false},
		{"BelowFloor", floored, 4, 0, time.Time{}, false},
		{"AtFloor", floored, 5, 0, time.Time{}, true},
		{"HoldNotOver", member(1, false), 2, 20 * time.Second, testNow.Add(-19 * time.Second), true},
		{"HoldOver", member(1, false), 2, 20 * time.Second, testNow.Add(-20 * time.Second), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := newTestGranter(c.roster)
			a, err := partitioner.New(8)
			if err != nil {
				t.Fatal(err)
			}
			g.Step(testNow, AssignmentSeen{testService, c.version, a})
			g.Step(testNow, IsolationHoldSeen{testService, c.hold})
			g.Step(testNow, PlatformContactSeen{c.contact})
			if got := g.mayGrant(testNow, g.servers["server-0"]); got != c.want {
				t.Errorf("mayGrant = %t, want %t", got, c.want)
			}
		})
	}
}

// TestOverlaps guards against a move that is committed while requests for its keys may still run under
// another grant. This can happen when a key was pinned or unpinned shortly before, since the requests
// may then have been routed under the key's former partition.
func TestOverlaps(t *testing.T) {
	t.Parallel()
	a, err := partitioner.New(8)
	if err != nil {
		t.Fatal(err)
	}
	base := a.PartitionOf("hot")
	for p := range identifier.Partition(8) {
		if err := a.SetFirstOwner(p, partitioner.Server{ID: "server-0", Zone: "zone-0"}); err != nil {
			t.Fatal(err)
		}
	}
	freed, err := a.Pin("once hot")
	if err != nil {
		t.Fatal(err)
	}
	pinned, err := a.Pin("hot")
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Unpin("once hot"); err != nil {
		t.Fatal(err)
	}
	_, e, _ := a.Owner(pinned)
	cases := []struct {
		name  string
		other Grant
		want  bool
	}{
		{"Same", Grant{pinned, e}, true},
		{"EarlierEpoch", Grant{pinned, e - 1}, true},
		{"LaterEpoch", Grant{pinned, e + 1}, false},
		{"BaseBeforeThePin", Grant{base, e - 1}, true},
		{"BaseAfterThePin", Grant{base, e}, false},
		{"FreedPin", Grant{freed, 1}, true},
		{"OtherPartition", Grant{(base + 1) % 8, e - 1}, false},
	}
	for _, c := range cases {
		if got := overlaps(a, Grant{pinned, e}, c.other); got != c.want {
			t.Errorf("%s: overlaps = %t, want %t", c.name, got, c.want)
		}
	}
}
