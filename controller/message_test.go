package controller

import (
	"encoding/json"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/turmericlift/turmericlift/granter"
	"github.com/turmericlift/turmericlift/prober"
	"github.com/turmericlift/turmericlift/storer"
)

// core lists the packages of state machines and pure functions, which must do no I/O.
var core = []string{
	"identifier", "partitioner", "ranker", "prober", "granter", "assigner", "controller", "admitter", "journaler",
	"quarantiner", "configurer", "router",
}

// TestCoreDoesNoIO guards against I/O in the packages of the core: simulations and seeded tests reproduce their
// behaviour only if it depends on nothing but events and times. It checks the direct imports of each package.
func TestCoreDoesNoIO(t *testing.T) {
	t.Parallel()
	const module = "github.com/turmericlift/turmericlift/"
	for _, name := range core {
		out, err := exec.Command("go", "list", "-f", `{{join .Imports "\n"}}`, module+name).Output()
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range strings.Fields(string(out)) {
			switch path {
			case "net", "net/http", "os", "io", "github.com/quic-go/quic-go", "github.com/sirupsen/logrus":
				t.Errorf("%s imports %s", name, path)
			}
		}
	}
}

// TestPlacedKeyMoves checks that a key that operators place on a backend server becomes owned by that server through
// a pin, and that the pin is removed after the operators end the placement.
func TestPlacedKeyMoves(t *testing.T) {
	t.Parallel()
	h := newHarness(3, harnessSize{zones: 2, instances: 4, servers: 4, partitions: 8})
	h.run(warmUpTime)
	end := faults["MoveKey"](h, fault{Target: 1})
	h.run(3 * time.Second)
	a, err := h.storedAssignment()
	if err != nil {
		t.Fatal(err)
	}
	if owner, _, _ := a.Owner(a.PartitionOf(pinnableKeys[1])); owner != "server-1" || len(a.Pins()) != 1 {
		t.Errorf("the placed key is owned by %s, pins %v; want owner server-1 and one pin", owner, a.Pins())
	}
	end()
	h.run(5 * time.Second)
	if a, err = h.storedAssignment(); err != nil || len(a.Pins()) != 0 {
		t.Errorf("after the placement was removed: pins %v, error %v; want no pins", a.Pins(), err)
	}
}

// TestDump compares the dump of an instance with the golden file. It is taken while partitions of a lost backend
// server wait for the confirmation of a paused instance, so that the dump contains Waits.
func TestDump(t *testing.T) {
	t.Parallel()
	h := newHarness(5, harnessSize{zones: 1, instances: 2, servers: 2, partitions: 8})
	h.run(warmUpTime)
	h.pause(&h.instances[1].process)
	faults["LoseServer"](h, fault{Target: 0})
	h.run(4 * time.Second)
	data, err := json.MarshalIndent(h.instances[0].ctl.Dump(h.now), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "dump", data)
}

// FuzzDecodeMessage guards against panics on malformed or hostile peer messages: it decodes arbitrary bytes and
// passes each message that can be decoded to a Controller.
func FuzzDecodeMessage(f *testing.F) {
	self := prober.Peer{Instance: "instance-0", Zone: "zone-0", Address: "127.0.0.1:1"}
	other := prober.Peer{Instance: "instance-1", Zone: "zone-0", Address: "127.0.0.1:2"}
	seeds := []Message{
		ProbeMessage{prober.Message{Number: 1, Updates: []prober.Update{{Peer: other, Status: prober.Dead}}}},
		HandOverMessage{granter.HandOver{Server: "server-0", Term: 1}},
		ConfirmMessage{granter.Confirmation{Instance: "instance-1", Grants: []granter.OutstandingGrant{{Remaining: -1}}}},
		FetchMessage{Since: 3},
		ObjectsMessage{Complete: true, Revision: 9, Objects: []storer.Object{{Name: ZonesName, Version: 9, Data: []byte("{")}}},
	}
	for _, m := range seeds {
		data, err := EncodeMessage(other, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		from, m, err := DecodeMessage(data)
		if err != nil {
			return
		}
		c := New(startTime, DefaultConfig(self, 1))
		c.Step(startTime, MessageReceived{from, m})
		c.Step(startTime.Add(tickInterval), Tick{})
	})
}

// TestBadObjectKeepsTheLastGoodOne checks that an object that cannot be decoded is reported and does not replace the
// cached version of it. Otherwise one corrupt value on the platform could stop the service.
func TestBadObjectKeepsTheLastGoodOne(t *testing.T) {
	t.Parallel()
	names := []string{ZonesName, SettingsName("org"), AssignmentName(testService), RosterName("zone-0"), AssignerName(testService)}
	h := newHarness(1, harnessSize{zones: 1, instances: 1, servers: 2, partitions: 8})
	h.run(warmUpTime)
	ctl := h.instances[0].ctl
	before := ctl.Dump(h.now)
	for n, name := range names {
		bad := storer.Object{Name: name, Version: 1000, Data: []byte{0xff, byte(n)}}
		reported := false
		for _, a := range ctl.Step(h.now, WatchAnswered{h.now, ctl.Revision(), storer.WatchResult{Revision: ctl.Revision(), Objects: []storer.Object{bad}}}) {
			if notice, ok := a.(LogNotice); ok && notice.Name == "BadObject" {
				reported = true
			}
		}
		if !reported {
			t.Errorf("%s: an object that cannot be decoded was not reported as BadObject", name)
		}
	}
	if after := ctl.Dump(h.now); len(after.Services) != len(before.Services) || after.Services[0].Version != before.Services[0].Version {
		t.Errorf("services after the objects that cannot be decoded: %+v, before: %+v", after.Services, before.Services)
	}
}
