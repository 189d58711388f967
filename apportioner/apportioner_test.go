package apportioner_test

import (
	"fmt"
	"maps"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/apportioner"
	"github.com/turmericlift/turmericlift/identifier"
)

// fleet is a store of records and the instances that read it.
type fleet struct {
	now       time.Time
	records   map[identifier.Instance]apportioner.Record
	known     map[identifier.Instance]map[identifier.Instance]apportioner.Record // By instance, the records that it knows.
	instances map[identifier.Instance]*apportioner.Apportioner
}

func newFleet() *fleet {
	return &fleet{
		now: time.Unix(1000, 0), records: map[identifier.Instance]apportioner.Record{}, instances: map[identifier.Instance]*apportioner.Apportioner{},
		known: map[identifier.Instance]map[identifier.Instance]apportioner.Record{},
	}
}

// start starts a process of an instance, which knows nothing.
func (f *fleet) start(i identifier.Instance) {
	f.instances[i], f.known[i] = apportioner.New(i), map[identifier.Instance]apportioner.Record{}
}

// instance returns an instance, which is started on first use.
func (f *fleet) instance(i identifier.Instance) *apportioner.Apportioner {
	if f.instances[i] == nil {
		f.start(i)
	}
	return f.instances[i]
}

// record writes the record of an instance, which the instance then knows beside those that it knew. The write is
// conditional: if the instance does not know the present record, it reads the records instead.
func (f *fleet) record(i identifier.Instance, settled bool) {
	a := f.instance(i)
	if f.known[i][i] != f.records[i] {
		f.list(i)
		return
	}
	f.records[i] = apportioner.Record{Instance: i, Settled: settled}
	f.known[i][i] = f.records[i]
	a.RecordList(f.now, time.Time{}, slices.Collect(maps.Values(f.known[i])))
}

// list lets an instance read the records.
func (f *fleet) list(i identifier.Instance) {
	a := f.instance(i)
	f.known[i] = maps.Clone(f.records)
	a.RecordList(f.now, f.now, slices.Collect(maps.Values(f.known[i])))
}

// end marks the record of an instance as ended.
func (f *fleet) end(i identifier.Instance) {
	r := f.records[i]
	r.Ended = true
	f.records[i] = r
}

// TestScripts runs the scripts in _fixtures. Each starts with a comment that names what happens to the fleet; the words
// are explained in execute.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("_fixtures/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			f := newFleet()
			for n, line := range strings.Split(string(text), "\n") {
				if words := strings.Fields(line); len(words) > 0 && !strings.HasPrefix(line, "#") {
					f.execute(t, fmt.Sprintf("line %d: %s", n+1, line), words)
				}
			}
		})
	}
}

// execute runs one line of a script, split into words. where names the line in failure messages.
func (f *fleet) execute(t *testing.T, where string, words []string) {
	i := identifier.Instance(words[1])
	switch words[0] {
	case "record": // The instance writes its record.
		f.record(i, false)
	case "settle": // The instance writes its record again, as settled.
		if !f.instance(i).IsSettled(f.now) {
			t.Errorf("%s: the instance is not settled", where)
		}
		f.record(i, true)
	case "list": // The instance reads all records.
		f.list(i)
	case "end": // The record of the instance is marked as ended.
		f.end(i)
	case "remove": // The record of the instance is removed.
		delete(f.records, i)
	case "restart": // The instance's process is replaced by a new one.
		f.start(i)
	case "wait": // Advances the time: milliseconds.
		ms, err := strconv.Atoi(words[1])
		if err != nil {
			t.Fatalf("%s: %v", where, err)
		}
		f.now = f.now.Add(time.Duration(ms) * time.Millisecond)
	case "expect": // Checks the instance's share of a bound of 1 for each instance: "none", or "1 of" the sharers.
		want := 0
		if words[2] != "none" {
			want, _ = strconv.Atoi(words[4])
		}
		if got := f.instance(i).Sharers(f.now); got != want {
			t.Errorf("%s: the bound is divided by %d", where, got)
		}
	default:
		t.Fatalf("%s: unknown command", where)
	}
}

// TestSharesOfAnyViews guards against shares that add up to more than the bound because instances know of different parts
// of the fleet: in seeded schedules they start, restart, are cut off from the store for up to 25 s, and their records are ended and removed.
func TestSharesOfAnyViews(t *testing.T) {
	for seed := range int64(100) {
		rng := rand.New(rand.NewSource(seed))
		f := newFleet()
		cutUntil := map[identifier.Instance]time.Time{}
		endedAt := map[identifier.Instance]time.Time{}
		used := 0
		for range 600 {
			f.now = f.now.Add(time.Duration(rng.Intn(400)) * time.Millisecond)
			i := identifier.Instance(fmt.Sprintf("entry-%d", rng.Intn(30)))
			cut := f.now.Before(cutUntil[i])
			switch r, ok := f.records[i]; {
			case rng.Intn(40) == 0:
				f.start(i)
			case rng.Intn(30) == 0:
				cutUntil[i] = f.now.Add(time.Duration(rng.Intn(25)) * time.Second)
			case ok && !r.Ended && rng.Intn(40) == 0:
				f.end(i)
				endedAt[i] = f.now
			case ok && r.Ended && f.now.Sub(endedAt[i]) >= apportioner.SettleTime:
				delete(f.records, i)
			case cut:
			case (!ok || r.Ended) && rng.Intn(3) == 0:
				f.record(i, false)
			case ok && !r.Settled && !r.Ended && f.instance(i).IsSettled(f.now):
				f.record(i, true)
			default:
				f.list(i)
			}
			for _, bound := range []float64{1, 5, 13, 40} {
				sum := 0
				for _, name := range names(f.instances) {
					sum += f.instances[name].Share(f.now, "server-7").Of(bound)
				}
				used += sum
				if float64(sum) > bound {
					t.Fatalf("seed %d: shares of a bound of %.0f add up to %d", seed, bound, sum)
				}
			}
		}
		if used == 0 {
			t.Fatalf("seed %d: no instance ever had a share", seed)
		}
	}
}

// names returns the names of instances in order, so that a seed always runs the same way.
func names(instances map[identifier.Instance]*apportioner.Apportioner) []identifier.Instance {
	return slices.Sorted(maps.Keys(instances))
}
