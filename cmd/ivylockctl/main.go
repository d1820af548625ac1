// Command ivylockctl asks processes of the fleet what they have acted on and says
// what that comes to. docs/audit.md is its operators' page.
package main

import (
	"os"

	"ivylock/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
