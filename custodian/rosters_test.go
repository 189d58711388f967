package custodian_test

import (
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/custodian"
	"github.com/turmericlift/turmericlift/gossiper"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/leaser"
	"github.com/turmericlift/turmericlift/storer"
)

// rosterObject is the shared object of zone a's roster at version 7.
func rosterObject(t *testing.T, holders ...leaser.Holder) storer.Object {
	t.Helper()
	data, err := leaser.Roster{Cell: identifier.Cell{Zone: "a"}, Holders: holders}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return storer.Object{Name: custodian.RosterPrefix + "a", Version: 7, Data: data}
}

// TestFenceAgeIsTold is the table of fences of a process that was lost for good, as a
// granter that starts late hears of them: it drops the process from the roster when it is
// told that the fence is old enough, and not for the age of another fence.
func TestFenceAgeIsTold(t *testing.T) {
	lost := leaser.Holder{Instance: "lost", Incarnation: 5, FencedOver: 6}
	earlier := lost
	earlier.FencedOver = 3
	cases := []struct {
		name   string
		told   leaser.Holder
		age    time.Duration
		leaves bool
	}{
		{"OldEnough", lost, 25 * time.Second, true},
		{"TooYoung", lost, 22 * time.Second, false},
		{"OfAnEarlierFence", earlier, time.Hour, false},
		{"Negative", lost, -time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			self := custodian.Settings{Instance: "self", Incarnation: 9, Zone: "a", CellSize: custodian.CellSize,
				Leases: leaser.Settings{Hold: 3 * time.Second, Renew: 700 * time.Millisecond, Authority: 20 * time.Second}}
			custody := custodian.New(now, self, func(string, map[string]any) {})
			custody.SetWorld(custodian.World{Keyed: map[identifier.Service]bool{service: true}, StoreUp: true})
			custody.Take(now, []storer.Object{rosterObject(t, leaser.Holder{Instance: "self", Incarnation: 9}, lost)}, now)
			now = now.Add(custodian.SettleTime)
			custody.Heard(now, gossiper.State{Instance: "peer", Incarnation: 2, Zone: "b", Number: 1,
				Fences: []gossiper.Fence{{Cell: identifier.Cell{Zone: "a"}, Holder: c.told, AgeMs: c.age.Milliseconds()}}})
			leaves := false
			for _, r := range custody.RosterChanges(now) {
				_, kept := r.Find("lost", 5)
				leaves = leaves || !kept
			}
			if leaves != c.leaves {
				t.Errorf("the process leaves the roster: %t, want %t", leaves, c.leaves)
			}
		})
	}
}
