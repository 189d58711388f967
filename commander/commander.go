// Package commander holds the daemon's command line: the table of its commands, with
// their help beside them, and what they run.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"
)

// Exit codes of both programs; docs/CODES.md has them too.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// environment carries what every command needs.
type environment struct {
	out io.Writer
	log *logrus.Logger
}

// command is one entry of the command table.
type command struct {
	name string
	help string
	// setUp adds the command's flags and returns what runs it.
	setUp func(*kingpin.CmdClause) func(context.Context, environment) error
}

// commands is the table of the daemon's commands.
var commands = []command{
	{"serve", "Run one entry instance.", setUpServe},
	{"entry", "Run one entry instance on the platform that the settings file describes.", setUpEntry},
	{"dev", "Run several entry instances, a platform and backend servers on loopback, in one process.", setUpDev},
	{"standin platform", "Run the platform stand-in.", setUpStandinPlatform},
	{"standin backend", "Run a backend server stand-in.", setUpStandinBackend},
	{"soak", "Run the program under random faults on this machine and check what it promises.", setUpSoak},
	{"identities", "Make an authority and certificates for instances, for tests.", setUpIdentities},
}

// Run runs the daemon's command line and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	log := logrus.New()
	log.SetOutput(errOut)
	app := kingpin.New("turmericlift", "Router for servers that own keys exclusively.")
	helped := false
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(int) { helped = true })
	level := app.Flag("log-level", "Least level of log lines: debug, info, warning, error.").
		Envar("TURMERICLIFT_LOG_LEVEL").Default("info").Enum("debug", "info", "warning", "error")
	runs := addCommands(app)
	selected, err := app.Parse(args)
	if helped {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "turmericlift: %v\n", err)
		return ExitUsage
	}
	run := runs[selected]
	parsed, err := logrus.ParseLevel(*level)
	if err != nil {
		fmt.Fprintf(errOut, "turmericlift: --log-level (TURMERICLIFT_LOG_LEVEL): %v\n", err)
		return ExitUsage
	}
	log.SetLevel(parsed)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, environment{out, log}); err != nil {
		fmt.Fprintf(errOut, "turmericlift %s: %v\n", selected, err)
		return ExitFailed
	}
	return ExitOK
}

func addCommands(app *kingpin.Application) map[string]func(context.Context, environment) error {
	runs := map[string]func(context.Context, environment) error{}
	standin := app.Command("standin", "Run a stand-in for an outside system.")
	for _, c := range commands {
		clause := clauseFor(app, standin, c)
		runs[c.name] = c.setUp(clause)
	}
	return runs
}

func clauseFor(app *kingpin.Application, standin *kingpin.CmdClause, c command) *kingpin.CmdClause {
	const group = "standin "
	if len(c.name) > len(group) && c.name[:len(group)] == group {
		return standin.Command(c.name[len(group):], c.help)
	}
	return app.Command(c.name, c.help)
}

// flagOf adds a flag that can also be set by an environment variable.
func flagOf(c *kingpin.CmdClause, name, help string) *kingpin.FlagClause {
	return c.Flag(name, help).Envar(variableOf(name))
}
