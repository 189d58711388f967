package operator

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/turmericlift/turmericlift/answerer"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/imitator"
	"github.com/turmericlift/turmericlift/storer"
)

// desk runs command lines against a platform stand-in.
type desk struct {
	t        *testing.T
	platform *imitator.Platform
	url      string
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	p := imitator.NewPlatform(imitator.PlatformLimits{WritesPerSecond: 1000, ReadsPerSecond: 1000})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return &desk{t, p, server.URL}
}

func (d *desk) run(args ...string) (code int, out string) {
	d.t.Helper()
	var both bytes.Buffer
	now := func() time.Time { return time.Unix(1_796_000_000, 0) }
	code = Run(append([]string{"--platform", d.url, "--operator", "kari"}, args...), &both, &both, now)
	return code, both.String()
}

// TestScript runs the command lines of each script in _fixtures and compares what
// they print and their exit codes with the golden file.
func TestScript(t *testing.T) {
	scripts, err := filepath.Glob("_fixtures/*.script")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("scripts: %v, %v", scripts, err)
	}
	for _, script := range scripts {
		name := strings.TrimSuffix(filepath.Base(script), ".script")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(script)
			if err != nil {
				t.Fatal(err)
			}
			d := newDesk(t)
			var out strings.Builder
			for line := range strings.Lines(string(text)) {
				line = strings.TrimSpace(line)
				code, printed := d.run(strings.Fields(line)...)
				out.WriteString("$ turmericctl " + line + "\n" + printed + "exit " + strconv.Itoa(code) + "\n")
			}
			golden(t, "_fixtures").Assert(t, name, []byte(strings.ReplaceAll(out.String(), d.url, "PLATFORM")))
		})
	}
}

func golden(t *testing.T, dir string) *goldie.Goldie {
	t.Helper()
	return goldie.New(t, goldie.WithFixtureDir(dir), goldie.WithDiffEngine(goldie.ColoredDiff))
}

// TestDocs compares the generated pages of docs with the tables in the code.
func TestDocs(t *testing.T) {
	pages := map[string]string{
		"CODES": "# Result codes and exit codes\n\nGenerated from the code; `go test ./operator -update` renews it.\n\n" +
			"Every answer has `Turmericlift-Outcome` (Ran, NotRun, Unknown) and `Turmericlift-Code`.\n\n" + answerer.Table() +
			"\nExit codes of both programs: 0 done, 1 failed, 2 the command line or a value is not valid, " +
			"3 somebody else changed the object first, 4 what was waited for has not come.\n",
		"SETTINGS": "# Settings\n\nGenerated from the code; `go test ./operator -update` renews it.\n\n" +
			"An organisation's tree is one object, `" + controller.SettingsName("ORGANISATION") + "`, in JSON: `Values` at the organisation, " +
			"`Services.NAME.Values`, and `Services.NAME.Zones.NAME.Values`. Each level inherits what it does not name. " +
			"`Services.NAME.Pins` are hot keys with a partition of their own, `Services.NAME.Servers.NAME.Drained` drains a backend server. " +
			"The states of the zones are one object, `" + controller.ZonesName + "`.\n\n" + configurer.Table(flagName),
		"COMMANDS": "# Operators' commands\n\nGenerated from the code; `go test ./operator -update` renews it.\n\n" + Table(),
	}
	for name, text := range pages {
		goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, name, []byte(text))
	}
}

// TestRace lets two operators change the same settings at once: one of them is told
// of the conflict, and nobody's change is lost.
func TestRace(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	if code, out := d.run("settings", "set", "quokka/sitefront", "--slots", "2"); code != ExitOK {
		t.Fatal(out)
	}
	ctx := context.Background()
	first := &console{out: &bytes.Buffer{}, now: time.Now, platform: d.url, operator: "kari"}
	second := &console{out: &bytes.Buffer{}, now: time.Now, platform: d.url, operator: "ola"}
	t1, v1, err1 := first.readTree(ctx, "quokka")
	t2, v2, err2 := second.readTree(ctx, "quokka")
	if err := errors.Join(err1, err2); err != nil {
		t.Fatal(err)
	}
	path := configurer.Path{Organisation: "quokka", Service: "sitefront"}
	if err := errors.Join(t1.Set(path, "Slots", "3"), t2.Set(path, "QueueLength", "9")); err != nil {
		t.Fatal(err)
	}
	if err := first.writeTree(ctx, t1, v1, "slots"); err != nil {
		t.Fatal(err)
	}
	err := second.writeTree(ctx, t2, v2, "queue")
	var conflict *storer.ConflictError
	if !errors.As(err, &conflict) || exitCode(err) != ExitConflict {
		t.Errorf("second operator: %v, want a conflict", err)
	}
	after, _, err := first.readTree(ctx, "quokka")
	if err != nil || after.Effective("sitefront", "").Slots != 3 || len(after.History) != 2 {
		t.Errorf("after the race: %+v, %v", after, err)
	}
}

// TestLostAnswer checks that a write whose answer was lost is read back.
func TestLostAnswer(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 1})
	if code, out := d.run("settings", "set", "quokka/sitefront", "--slots", "2"); code != ExitOK || !strings.Contains(out, "version 1") {
		t.Errorf("exit %d: %s", code, out)
	}
	d.platform.SetFaults(imitator.PlatformFaults{Down: true})
	if code, out := d.run("settings", "set", "quokka/sitefront", "--slots", "3"); code != ExitFailed {
		t.Errorf("while the platform is down: exit %d: %s", code, out)
	}
}

// TestLoadCounts checks that a load counts every request that it sends, once.
func TestLoadCounts(t *testing.T) {
	t.Parallel()
	seen := make(chan string, 1000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Get("Idempotency-Key")
		w.Header().Set("Turmericlift-Outcome", "Ran")
		w.Header().Set("Turmericlift-Code", "0")
	}))
	t.Cleanup(server.Close)
	var out bytes.Buffer
	code := Run([]string{"--output", "json", "load", "--target", server.URL, "--path", "/a/b/keys/KEY", "--method", "POST",
		"--rate", "200", "--duration", "500ms"}, &out, &out, time.Now)
	close(seen)
	ids := map[string]bool{}
	for id := range seen {
		ids[id] = true
	}
	if want := `"Ran 0": ` + strconv.Itoa(len(ids)); code != ExitOK || len(ids) == 0 || !strings.Contains(out.String(), want) {
		t.Errorf("exit %d, %d distinct IDs, want %s in %s", code, len(ids), want, out.String())
	}
}
