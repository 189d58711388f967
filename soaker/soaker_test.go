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

// timingIndependent lists the invariants whose check does not depend on how fast the
// machine is.
var timingIndependent = []Check{CheckOwner, CheckEpoch, CheckAtMostOnce, CheckRefused, CheckIntegrity, CheckDenied, CheckExit}

// TestSeeds guards against the return of faults that earlier soak runs found: it repeats
// the runs of their seeds, which are in _fixtures/seeds.txt. Violations of invariants with
// a time bound are logged but do not fail the test, since they also occur when the machine
// is busy.
func TestSeeds(t *testing.T) {
	program := filepath.Join(t.TempDir(), "turmericlift")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/turmericlift").CombinedOutput(); err != nil {
		t.Fatalf("build of the program under test failed: %v\n%s", err, out)
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
			r, err := Run(context.Background(), Config{Program: program, Instances: 3, CallersPerInstance: 2, FaultTime: faultTime, Folder: t.TempDir()}, seed)
			if err != nil {
				t.Fatal(err)
			}
			for _, v := range r.Violations {
				t.Log(v)
			}
			for _, c := range timingIndependent {
				if r.ViolationCounts[c] > 0 {
					t.Errorf("the invariant %s was violated %d times", c, r.ViolationCounts[c])
				}
			}
			if r.Faults == 0 || r.Served == 0 {
				t.Errorf("%d faults were injected and %d requests were served; a run tests something only if both are above 0", r.Faults, r.Served)
			}
		})
	}
}

// TestChecker guards against a checker that misses a violation of an invariant or records
// one where there is none. Each case is a short series of observations of callers and
// backend servers.
func TestChecker(t *testing.T) {
	now := time.Unix(1000, 0)
	x, y := serverIncarnation{"x", 1}, serverIncarnation{"y", 1}
	grant := func(epoch identifier.Epoch) leaser.Order {
		return leaser.Order{Range: identifier.Range{To: 9}, Epoch: epoch}
	}
	cases := []struct {
		name    string
		observe func(c *checker)
		want    Check // Invariant that is violated; empty if none is.
	}{
		{"RanOnce", func(c *checker) { c.addRequest(now, "1", "s", true); c.addRun(now, "1", x); c.addAnswer(now, "1", 200) }, ""},
		{"RanTwice", func(c *checker) { c.addRequest(now, "1", "s", true); c.addRun(now, "1", x); c.addRun(now, "1", y) }, CheckAtMostOnce},
		{"IdempotentRanTwice", func(c *checker) { c.addRequest(now, "1", "s", false); c.addRun(now, "1", x); c.addRun(now, "1", y) }, ""},
		{"RanThenRefused", func(c *checker) { c.addRequest(now, "1", "s", true); c.addRun(now, "1", x); c.addAnswer(now, "1", 503) }, CheckRefused},
		{"RefusedThenRan", func(c *checker) { c.addRequest(now, "1", "s", true); c.addAnswer(now, "1", 503); c.addRun(now, "1", x) }, CheckRefused},
		{"RanThenBadGateway", func(c *checker) { c.addRequest(now, "1", "s", true); c.addRun(now, "1", x); c.addAnswer(now, "1", 502) }, ""},
		{"RanUnsent", func(c *checker) { c.addRun(now, "1", x) }, CheckIntegrity},
		{"HigherEpoch", func(c *checker) { c.addGrant(now, x, grant(1)); c.addGrant(now, y, grant(2)) }, ""},
		{"SameEpoch", func(c *checker) { c.addGrant(now, x, grant(1)); c.addGrant(now, y, grant(1)) }, CheckEpoch},
		{"OtherIncarnation", func(c *checker) { c.addGrant(now, x, grant(1)); c.addGrant(now, serverIncarnation{"x", 2}, grant(1)) }, CheckEpoch},
		{"Renewed", func(c *checker) { c.addGrant(now, x, grant(1)); c.addGrant(now, x, grant(1)) }, ""},
		{"BothOwnersRan", func(c *checker) { c.addKeyRun(now, 5, y); c.checkOwnerOverlap(now, 5, x, y, now) }, CheckOwner},
		{"RanBeforeBothOwned", func(c *checker) { c.addKeyRun(now, 5, y); c.checkOwnerOverlap(now, 5, x, y, now.Add(time.Second)) }, ""},
		{"TooManyRetries", func(c *checker) {
			for n := range int(bounds.RetryExtra) + 2 {
				id := strconv.Itoa(n)
				c.addRequest(now, id, "s", false)
				c.addArrival(now, id, "s")
				c.addArrival(now, id, "s")
				c.addArrival(now, id, "s")
			}
		}, CheckRetryBudget},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			checker := newChecker(now)
			tc.observe(checker)
			if tc.want == "" && len(checker.violations) > 0 || tc.want != "" && checker.violationCounts[tc.want] == 0 {
				t.Errorf("the checker recorded the violations %v; want one of %q, or none if that is empty", checker.violations, tc.want)
			}
		})
	}
}
