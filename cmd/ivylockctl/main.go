// Command ivylockctl shows which versions of the server list, the settings and
// the build the processes of a fleet have acted on. It is documented in
// docs/audit.md.
package main

import (
	"os"

	"ivylock/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
