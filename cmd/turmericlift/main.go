// Command turmericlift is the daemon: it runs an entry instance, or one of the commands for development and tests: an
// installation on loopback, a simulated platform or backend server, or tests under random faults. Its commands are in
// package commander.
package main

import (
	"os"

	"github.com/turmericlift/turmericlift/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
