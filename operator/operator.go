// Package operator holds the operators' command line: the table of its commands,
// with their help beside them, and what they run.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// Exit codes; docs/CODES.md has them too.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3 // Somebody else changed the same object first.
	ExitNotYet   = 4 // What was waited for has not come.
)

// errNotYet says that what a command waits for has not come in time.
var errNotYet = errors.New("not yet")

// console is what every command works with.
type console struct {
	out       io.Writer
	now       func() time.Time
	platform  string
	instances []string
	token     string
	output    string
	operator  string
	timeout   time.Duration
}

// command is one entry of the command table.
type command struct {
	name string // Words of the command, parents first.
	help string
	// setUp adds the command's arguments and flags and returns what runs it.
	setUp func(*kingpin.CmdClause) func(context.Context, *console) error
}

// groups are the help texts of the commands that only hold others.
var groups = map[string]string{
	"settings": "Show and change the tree of settings.",
	"zone":     "Take availability zones out and in.",
	"backend":  "Drain backend servers.",
}

// commands is the table of the client's commands.
var commands = []command{
	{"settings get", "Print the settings of an organisation as they are stored. Example: settings get quokka", setUpSettingsGet},
	{"settings set", "Name settings at a level. Example: settings set quokka/sitefront --slots 2", setUpSettingsSet},
	{"settings unset", "Take a setting from a level. Example: settings unset quokka/sitefront Slots", setUpSettingsUnset},
	{"settings explain", "Print the settings in force, with the level that each comes from. Example: settings explain quokka/sitefront", setUpSettingsExplain},
	{"settings history", "Print the last changes. Example: settings history quokka", setUpSettingsHistory},
	{"settings export", "Print the settings in a form for review and import. Example: settings export quokka > quokka.json", setUpSettingsGet},
	{"settings import", "Replace the settings of an organisation by a file's. Example: settings import quokka.json", setUpSettingsImport},
	{"settings diff", "Show how a file differs from the settings. Example: settings diff quokka.json", setUpSettingsDiff},
	{"settings wait", "Wait until every instance has the settings. Example: settings wait quokka", setUpSettingsWait},
	{"status", "Show instances, zones, backend servers and services.", setUpStatus},
	{"where", "Show who serves a key. Example: where quokka sitefront open-day", setUpWhere},
	{"zone out", "Give a zone no new work; its partitions move away. Example: zone out crawley-a", setUpZone(configurer.ZoneOut)},
	{"zone in", "Give a zone work again. Example: zone in crawley-a", setUpZone(configurer.ZoneIn)},
	{"zone lost", "Declare that nothing runs in a zone any more, so that its partitions may be taken over.", setUpZone(configurer.ZoneLost)},
	{"backend drain", "Move everything away from a backend server. Example: backend drain quokka/sitefront sitefront-03", setUpDrain(true)},
	{"backend undrain", "Give a backend server work again.", setUpDrain(false)},
	{"pin", "Give a hot key a partition of its own. Example: pin quokka/sitefront open-day", setUpPin(true)},
	{"move", "Pin a key and move it to a backend server, where it stays. Example: move quokka/sitefront open-day sitefront-03", setUpMove},
	{"unpin", "Let a key be pinned only while it is hot.", setUpPin(false)},
	{"dump", "Print the whole state of an instance.", setUpDump},
	{"load", "Load the callers' interface and print latencies. Example: load --target http://127.0.0.1:8080 --path /quokka/ledger/balance", setUpLoad},
}

// Run runs the operators' command line and returns its exit code.
func Run(args []string, out, errOut io.Writer, now func() time.Time) int {
	c := &console{out: out, now: now}
	app := kingpin.New("turmericctl", "Operators' client of turmericlift.")
	helped := false
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(int) { helped = true })
	c.addFlags(app)
	runs := addCommands(app)
	selected, err := app.Parse(args)
	if helped {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "turmericctl: %v\n", err)
		return ExitUsage
	}
	run := runs[selected]
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, c); err != nil {
		fmt.Fprintf(errOut, "turmericctl %s: %v\n", selected, err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	var conflict *storer.ConflictError
	var field *configurer.FieldError
	var name *identifier.InvalidError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, errNotYet):
		return ExitNotYet
	case errors.As(err, &field), errors.As(err, &name):
		return ExitUsage
	}
	return ExitFailed
}

func (c *console) addFlags(app *kingpin.Application) {
	app.Flag("platform", "URL of the platform's object API.").Envar("TURMERICLIFT_PLATFORM").
		Default("http://127.0.0.1:7400").StringVar(&c.platform)
	app.Flag("instances", "Operators' URL of an instance; may be given again.").Envar("TURMERICLIFT_INSTANCES").StringsVar(&c.instances)
	app.Flag("operator-token", "Token that instances ask operators for.").Envar("TURMERICLIFT_OPERATOR_TOKEN").StringVar(&c.token)
	app.Flag("output", "table for people, json for programs.").Envar("TURMERICLIFT_OUTPUT").Default("table").EnumVar(&c.output, "table", "json")
	app.Flag("operator", "Your name, for the history of settings.").Envar("TURMERICLIFT_OPERATOR").Default("unnamed").StringVar(&c.operator)
	app.Flag("timeout", "Most time that a command takes.").Envar("TURMERICLIFT_TIMEOUT").Default("20s").DurationVar(&c.timeout)
}

func addCommands(app *kingpin.Application) map[string]func(context.Context, *console) error {
	runs := map[string]func(context.Context, *console) error{}
	parents := map[string]*kingpin.CmdClause{}
	for _, cmd := range commands {
		parent, name, nested := strings.Cut(cmd.name, " ")
		if !nested {
			runs[cmd.name] = cmd.setUp(app.Command(parent, cmd.help))
			continue
		}
		if parents[parent] == nil {
			parents[parent] = app.Command(parent, groups[parent])
		}
		runs[cmd.name] = cmd.setUp(parents[parent].Command(name, cmd.help))
	}
	return runs
}

// Table returns the commands with their help, as a Markdown table for the docs.
func Table() string {
	var b strings.Builder
	b.WriteString("| Command | What it does |\n|---|---|\n")
	for _, cmd := range commands {
		fmt.Fprintf(&b, "| `turmericctl %s` | %s |\n", cmd.name, cmd.help)
	}
	return b.String()
}

// clientCalls bounds the platform calls of one command, a second.
const clientCalls = 20

func (c *console) store() *storer.Client {
	return storer.New(c.platform, http.DefaultClient, storer.Budget{CallsPerSecond: clientCalls, Burst: clientCalls}, 2*time.Second)
}

// print writes v as JSON, or rows as a table, whichever is wanted.
func (c *console) print(v any, header string, rows [][]string) error {
	if c.output == "json" {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
