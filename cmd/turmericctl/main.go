// Command turmericctl is the operators' command line client: it shows the state of instances, changes settings and
// zones, and generates load. Its commands are in package operator.
package main

import (
	"os"
	"time"

	"github.com/turmericlift/turmericlift/operator"
)

func main() {
	os.Exit(operator.Run(os.Args[1:], os.Stdout, os.Stderr, time.Now))
}
