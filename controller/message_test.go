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

// core are the packages that decide; they do no I/O.
var core = []string{
	"identifier", "partitioner", "ranker", "prober", "granter", "assigner", "controller", "admitter", "journaler",
	"quarantiner", "configurer", "router",
}

// TestCoreDoesNoIO checks what the deciding packages import themselves.
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

// TestPlacedKeyMoves checks that a key that operators place is owned by the backend
// server that they name, and goes back to its partition when they let it go.
func TestPlacedKeyMoves(t *testing.T) {
	t.Parallel()
	w := newWorld(3, worldSize{zones: 2, instances: 4, servers: 4, partitions: 8})
	w.run(warmUp)
	end := faults["MoveKey"](w, fault{Target: 1})
	w.run(3 * time.Second)
	a, err := w.truth()
	if err != nil {
		t.Fatal(err)
	}
	if owner, _, _ := a.Owner(a.PartitionOf(otherKeys[1])); owner != "server-1" || len(a.Pins()) != 1 {
		t.Errorf("the key is owned by %s, pins %v; want server-1", owner, a.Pins())
	}
	end()
	w.run(5 * time.Second)
	if a, err = w.truth(); err != nil || len(a.Pins()) != 0 {
		t.Errorf("after it was let go: pins %v, %v", a.Pins(), err)
	}
}

// TestDump compares the dump of an instance with the golden file, while a partition
// waits for the promise of a paused instance.
func TestDump(t *testing.T) {
	t.Parallel()
	w := newWorld(5, worldSize{zones: 1, instances: 2, servers: 2, partitions: 8})
	w.run(warmUp)
	w.pause(&w.instances[1].process)
	faults["LoseServer"](w, fault{Target: 0})
	w.run(4 * time.Second)
	data, err := json.MarshalIndent(w.instances[0].ctl.Dump(w.now), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("_fixtures")).Assert(t, "dump", data)
}

// FuzzDecodeMessage feeds the decoder of peer messages, and the controller with what
// it makes of them.
func FuzzDecodeMessage(f *testing.F) {
	self := prober.Peer{Instance: "instance-0", Zone: "zone-0", Address: "127.0.0.1:1"}
	other := prober.Peer{Instance: "instance-1", Zone: "zone-0", Address: "127.0.0.1:2"}
	seeds := []Message{
		ProbeMessage{prober.Message{Number: 1, Updates: []prober.Update{{Peer: other, Status: prober.Dead}}}},
		HandOverMessage{granter.HandOver{Server: "server-0", Term: 1}},
		ConfirmMessage{granter.Confirm{Instance: "instance-1", Grants: []granter.Outstanding{{Remaining: -1}}}},
		FetchMessage{Since: 3},
		DocumentsMessage{Complete: true, Revision: 9, Objects: []storer.Object{{Name: ZonesName, Version: 9, Data: []byte("{")}}},
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
		c := New(worldStart, DefaultConfig(self, 1))
		c.Step(worldStart, MessageReceived{from, m})
		c.Step(worldStart.Add(worldTick), Tick{})
	})
}

// TestBadObjectKeepsTheLastGoodOne feeds objects that do not decode.
func TestBadObjectKeepsTheLastGoodOne(t *testing.T) {
	t.Parallel()
	names := []string{ZonesName, SettingsName("org"), AssignmentName(worldService), RosterName("zone-0"), AssignerName(worldService)}
	w := newWorld(1, worldSize{zones: 1, instances: 1, servers: 2, partitions: 8})
	w.run(warmUp)
	ctl := w.instances[0].ctl
	before := ctl.Dump(w.now)
	for n, name := range names {
		bad := storer.Object{Name: name, Version: 1000, Data: []byte{0xff, byte(n)}}
		noted := false
		for _, a := range ctl.Step(w.now, Watched{w.now, ctl.Revision(), storer.Change{Revision: ctl.Revision(), Objects: []storer.Object{bad}}}) {
			if note, ok := a.(Noted); ok && note.Subject == "BadObject" {
				noted = true
			}
		}
		if !noted {
			t.Errorf("%s: a bad object was not noted", name)
		}
	}
	if after := ctl.Dump(w.now); len(after.Services) != len(before.Services) || after.Services[0].Version != before.Services[0].Version {
		t.Errorf("after bad objects: %+v, before: %+v", after.Services, before.Services)
	}
}
