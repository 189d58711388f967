// Package operator implements the operators' command line turmericctl. Start in operator.go: it holds the table of
// commands with their help, and Run, which parses the arguments and runs the selected command. settings.go reads and
// changes settings, instances.go shows the state of instances and changes zones, drains, pins and placements, and
// load.go generates load.
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
	"github.com/turmericlift/turmericlift/connector"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// Exit codes of turmericctl; docs/CODES.md lists them.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitUsage      = 2 // The command line or a value is not valid.
	ExitConflict   = 3 // Another writer changed the same object first; nothing was written.
	ExitNotReached = 4 // The command stopped waiting before the expected state was reached.
)

// errNotReached says that a command stopped waiting before the expected state was reached.
var errNotReached = errors.New("stopped waiting")

// console holds the output, the clock and the values of the flags that all commands share.
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

// command is one row of the command table.
type command struct {
	name string // name holds the parent command, if there is one, and the command, separated by a space.
	help string
	// setUp adds the command's arguments and flags to its clause and returns the function that runs the command.
	setUp func(*kingpin.CmdClause) func(context.Context, *console) error
}

// groups holds the help texts of the parent commands by name.
var groups = map[string]string{
	"settings": "Show and change the settings of an organisation, its services and their zones.",
	"zone":     "Change the state of an availability zone: in, out or lost.",
	"backend":  "Drain backend servers.",
}

// commands is the table of the commands of turmericctl.
var commands = []command{
	{"settings get", "Print the settings of an organisation as they are stored. Example: settings get quokka", setUpSettingsGet},
	{"settings set", "Set values at a level. Example: settings set quokka/sitefront --slots 2", setUpSettingsSet},
	{"settings unset", "Remove a value from a level, which then inherits it. Example: settings unset quokka/sitefront Slots", setUpSettingsUnset},
	{"settings explain", "Print the values in force and the level that each is set at. Example: settings explain quokka/sitefront", setUpSettingsExplain},
	{"settings history", "Print the last changes of an organisation's settings. Example: settings history quokka", setUpSettingsHistory},
	{"settings export", "Print the settings in a form for review and import. Example: settings export quokka > quokka.json", setUpSettingsGet},
	{"settings import", "Replace the settings of an organisation by those in a file. Example: settings import quokka.json", setUpSettingsImport},
	{"settings diff", "Show the differences between the present settings and a file. Example: settings diff quokka.json", setUpSettingsDiff},
	{"settings wait", "Wait until the present settings are in force at every instance. Example: settings wait quokka", setUpSettingsWait},
	{"status", "Show instances, zones, backend servers and services.", setUpStatus},
	{"where", "Show the backend server that owns a key, and its coordinator. Example: where quokka sitefront open-day", setUpWhere},
	{"zone out", "Take a zone out of service: it gets no new work and its partitions move to other zones. Example: zone out crawley-a", setUpZone(configurer.ZoneOut)},
	{"zone in", "Put a zone back into service. Example: zone in crawley-a", setUpZone(configurer.ZoneIn)},
	{"zone lost", "Declare that no process runs in a zone any more, so that other zones take over its partitions.", setUpZone(configurer.ZoneLost)},
	{"backend drain", "Move all partitions and requests away from a backend server. Example: backend drain quokka/sitefront sitefront-03", setUpDrain(true)},
	{"backend undrain", "End the drain of a backend server, so that it gets work again.", setUpDrain(false)},
	{"pin", "Give a hot key a partition of its own. Example: pin quokka/sitefront open-day", setUpPin(true)},
	{"move", "Pin a key and move it to a backend server, where it stays. Example: move quokka/sitefront open-day sitefront-03", setUpMove},
	{"unpin", "Remove the pin and the placement of a key; it may still be pinned automatically while it is hot.", setUpPin(false)},
	{"dump", "Print the whole state of each instance in JSON.", setUpDump},
	{"load", "Send requests at a fixed rate and print latencies and outcomes. Example: load --target http://127.0.0.1:8080 --path /quokka/ledger/balance", setUpLoad},
}

// Run parses the operators' command line without the program's name, runs the selected command and returns the exit
// code. Results go to out and errors to errOut; now is the clock. An interrupt or SIGTERM ends the command.
func Run(args []string, out, errOut io.Writer, now func() time.Time) int {
	c := &console{out: out, now: now}
	app := kingpin.New("turmericctl", "Operators' client of turmericlift.")
	helpShown := false
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(int) { helpShown = true })
	c.addFlags(app)
	runs := addCommands(app)
	selected, err := app.Parse(args)
	if helpShown {
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

// exitCode returns the exit code for a command's error.
func exitCode(err error) int {
	var conflict *storer.ConflictError
	var field *configurer.FieldError
	var name *identifier.InvalidError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, errNotReached):
		return ExitNotReached
	case errors.As(err, &field), errors.As(err, &name):
		return ExitUsage
	}
	return ExitFailed
}

// addFlags adds the flags that all commands share; their values are stored in c.
func (c *console) addFlags(app *kingpin.Application) {
	app.Flag("platform", "URL of the platform's object API.").Envar("TURMERICLIFT_PLATFORM").
		Default("http://127.0.0.1:7400").StringVar(&c.platform)
	app.Flag("instances", "URL of an instance's operator interface; may be repeated.").Envar("TURMERICLIFT_INSTANCES").StringsVar(&c.instances)
	app.Flag("operator-token", "Token that instances require from operators.").Envar("TURMERICLIFT_OPERATOR_TOKEN").StringVar(&c.token)
	app.Flag("output", "Format of the output: table or json.").Envar("TURMERICLIFT_OUTPUT").Default("table").EnumVar(&c.output, "table", "json")
	app.Flag("operator", "Your name, for the history of settings.").Envar("TURMERICLIFT_OPERATOR").Default("unnamed").StringVar(&c.operator)
	app.Flag("timeout", "Time-out of each call to an instance, and of settings wait.").Envar("TURMERICLIFT_TIMEOUT").Default("20s").DurationVar(&c.timeout)
}

// addCommands adds all commands to app and returns the function that runs each command, by the command's name.
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

// CommandTable returns the commands with their help, as a Markdown table for the docs.
func CommandTable() string {
	var b strings.Builder
	b.WriteString("| Command | What it does |\n|---|---|\n")
	for _, cmd := range commands {
		fmt.Fprintf(&b, "| `turmericctl %s` | %s |\n", cmd.name, cmd.help)
	}
	return b.String()
}

// httpClient calls the platform and the operator interfaces of instances.
var httpClient = newHTTPClient()

func newHTTPClient() *http.Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Transport: connector.NewTransport(t, t.DialContext)}
}

// clientCallsPerSecond bounds the calls per second from one command to the platform.
const clientCallsPerSecond = 20

// store returns a client of the platform's object API.
func (c *console) store() *storer.Client {
	return storer.New(c.platform, httpClient, storer.Budget{CallsPerSecond: clientCallsPerSecond, Burst: clientCallsPerSecond}, 2*time.Second)
}

// print writes v as JSON or rows as a table, depending on --output. header holds the table's column names, separated by
// spaces.
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
