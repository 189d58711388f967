// Command turmericlift is the daemon: one entry instance, the development mode, and
// the stand-ins.
package main

import (
	"os"

	"github.com/turmericlift/turmericlift/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
