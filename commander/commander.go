// Package commander implements the command line of the daemon turmericlift. Start in commander.go: it holds the
// table of commands with their help, and Run, which parses the arguments and runs the selected command. entry.go
// runs an instance on the platform, serve.go an instance with all settings from flags, dev.go a whole installation
// in one process, standin.go the simulated platform and backend servers, and soak.go the tests under random faults.
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

// Exit codes of turmericlift. turmericctl uses the same three and more; docs/CODES.md lists them all.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// environment holds the output and the logger that a command uses.
type environment struct {
	out io.Writer
	log *logrus.Logger
}

// command is one row of the command table. The name of a subcommand starts with its parent's name and a space.
type command struct {
	name string
	help string
	// setUp adds the command's flags to its clause and returns the function that runs the command.
	setUp func(*kingpin.CmdClause) func(context.Context, environment) error
}

// commands is the table of the daemon's commands.
var commands = []command{
	{"serve", "Run one entry instance.", setUpServe},
	{"entry", "Run one entry instance on the platform that the settings file describes.", setUpEntry},
	{"dev", "Run several entry instances, a platform and backend servers on loopback, in one process.", setUpDev},
	{"standin platform", "Run a simulated platform.", setUpStandinPlatform},
	{"standin backend", "Run a simulated backend server.", setUpStandinBackend},
	{"soak", "Run the program under random faults on this machine and check its invariants.", setUpSoak},
	{"identities", "Create a certificate authority and certificates for instances, for tests.", setUpIdentities},
}

// Run parses the daemon's command line without the program's name, runs the selected command and returns the exit
// code. Results go to out; errors and, unless the command sets up its own log output, log lines go to errOut. An
// interrupt or SIGTERM ends the command's context.
func Run(args []string, out, errOut io.Writer) int {
	log := logrus.New()
	log.SetOutput(errOut)
	app := kingpin.New("turmericlift", "Router for servers that own keys exclusively.")
	helpShown := false
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(func(int) { helpShown = true })
	level := app.Flag("log-level", "Lowest level of log lines that are written: debug, info, warning, error.").
		Envar("TURMERICLIFT_LOG_LEVEL").Default("info").Enum("debug", "info", "warning", "error")
	runs := addCommands(app)
	selected, err := app.Parse(args)
	if helpShown {
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

// addCommands adds all commands to app and returns the function that runs each command, by the command's name.
func addCommands(app *kingpin.Application) map[string]func(context.Context, environment) error {
	runs := map[string]func(context.Context, environment) error{}
	standin := app.Command("standin", "Run a simulator of an outside system.")
	for _, c := range commands {
		clause := addClause(app, standin, c)
		runs[c.name] = c.setUp(clause)
	}
	return runs
}

// addClause adds a command's clause: below the command standin if the name starts with it, else to app.
func addClause(app *kingpin.Application, standin *kingpin.CmdClause, c command) *kingpin.CmdClause {
	const group = "standin "
	if len(c.name) > len(group) && c.name[:len(group)] == group {
		return standin.Command(c.name[len(group):], c.help)
	}
	return app.Command(c.name, c.help)
}

// addFlag adds a flag that can also be set by the environment variable that environmentVariable returns for it.
func addFlag(c *kingpin.CmdClause, name, help string) *kingpin.FlagClause {
	return c.Flag(name, help).Envar(environmentVariable(name))
}
