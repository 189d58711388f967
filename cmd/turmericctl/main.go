// Command turmericctl is the operators' client.
package main

import (
	"os"
	"time"

	"github.com/turmericlift/turmericlift/operator"
)

func main() {
	os.Exit(operator.Run(os.Args[1:], os.Stdout, os.Stderr, time.Now))
}
