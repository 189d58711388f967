package soaker

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/turmericlift/turmericlift/leaser"

	"github.com/turmericlift/turmericlift/identifier"
)

// untimed are the promises whose verdict does not depend on how fast the machine is.
var untimed = []Check{CheckOwner, CheckEpoch, CheckTwice, CheckRefused, CheckMixed, CheckDenied, CheckExit}

// TestSeeds runs the seeds that have found something. Promises with a time bound are
// printed only: the machine may be busy.
func TestSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "turmericlift")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/turmericlift").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	file, err := os.Open("_fixtures/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		words := strings.SplitN(lines.Text(), " ", 3)
		if strings.HasPrefix(words[0], "#") {
			continue
		}
		t.Run(words[0], func(t *testing.T) {
			seed, err := strconv.ParseInt(words[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			faultTime, err := time.ParseDuration(words[1])
			if err != nil {
				t.Fatal(err)
			}
			r, err := Run(context.Background(), Config{Program: program, Instances: 3, Callers: 2, FaultTime: faultTime, Folder: t.TempDir()}, seed)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Log(v)
			}
			for _, c := range untimed {
				if r.Found[c] > 0 {
					t.Errorf("%s was broken %d times", c, r.Found[c])
				}
			}
			if r.Faults == 0 || r.Served == 0 {
				t.Errorf("%d faults, %d requests served: nothing was tried", r.Faults, r.Served)
			}
		})
	}
}

// TestJudge is the table of what the judge finds in what callers and servers see.
func TestJudge(t *testing.T) {
	now := time.Unix(1000, 0)
	x, y := holder{"x", 1}, holder{"y", 1}
	grant := func(epoch identifier.Epoch) leaser.Order {
		return leaser.Order{Range: identifier.Range{To: 9}, Epoch: epoch}
	}
	cases := []struct {
		name string
		seen func(j *judge)
		want Check // Empty: nothing is wrong.
	}{
		{"RanOnce", func(j *judge) { j.sent(now, "1", "s", true); j.ran(now, "1", x); j.answered(now, "1", 200) }, ""},
		{"RanTwice", func(j *judge) { j.sent(now, "1", "s", true); j.ran(now, "1", x); j.ran(now, "1", y) }, CheckTwice},
		{"ReadRanTwice", func(j *judge) { j.sent(now, "1", "s", false); j.ran(now, "1", x); j.ran(now, "1", y) }, ""},
		{"RanThenRefused", func(j *judge) { j.sent(now, "1", "s", true); j.ran(now, "1", x); j.answered(now, "1", 503) }, CheckRefused},
		{"RefusedThenRan", func(j *judge) { j.sent(now, "1", "s", true); j.answered(now, "1", 503); j.ran(now, "1", x) }, CheckRefused},
		{"RanThenUnsure", func(j *judge) { j.sent(now, "1", "s", true); j.ran(now, "1", x); j.answered(now, "1", 502) }, ""},
		{"NobodySent", func(j *judge) { j.ran(now, "1", x) }, CheckMixed},
		{"HigherEpoch", func(j *judge) { j.granted(now, x, grant(1)); j.granted(now, y, grant(2)) }, ""},
		{"SameEpoch", func(j *judge) { j.granted(now, x, grant(1)); j.granted(now, y, grant(1)) }, CheckEpoch},
		{"OtherLife", func(j *judge) { j.granted(now, x, grant(1)); j.granted(now, holder{"x", 2}, grant(1)) }, CheckEpoch},
		{"Renewed", func(j *judge) { j.granted(now, x, grant(1)); j.granted(now, x, grant(1)) }, ""},
		{"BothRan", func(j *judge) { j.keyRan(now, 5, y); j.overlap(now, 5, x, y, now) }, CheckOwner},
		{"RanBeforeOverlap", func(j *judge) { j.keyRan(now, 5, y); j.overlap(now, 5, x, y, now.Add(time.Second)) }, ""},
		{"ManyRepeats", func(j *judge) {
			for n := range int(bounds.RetryExtra) + 2 {
				id := strconv.Itoa(n)
				j.sent(now, id, "s", false)
				j.arrived(now, id, "s")
				j.arrived(now, id, "s")
				j.arrived(now, id, "s")
			}
		}, CheckBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := newJudge(now)
			c.seen(j)
			if c.want == "" && len(j.violations) > 0 || c.want != "" && j.found[c.want] == 0 {
				t.Errorf("found %v, want %q", j.violations, c.want)
			}
		})
	}
}
