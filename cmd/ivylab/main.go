// Command ivylab runs a test lab on the loopback interface: simulated servers,
// discovery and clients, real ivylock nodes and scripted faults, and checks of
// the service rules (package judge).
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/term"

	"ivylock/internal/lab/command"
	"ivylock/internal/lab/sysfault"
)

func main() {
	if sysfault.IsLauncher() { // this process is the launcher of a node with injected system call faults
		sysfault.RunLauncher()
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	rows := 0
	if fd := int(os.Stdout.Fd()); term.IsTerminal(fd) && os.Getenv("TERM") != "dumb" {
		if _, height, err := term.GetSize(fd); err == nil {
			rows = height
		}
	}
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, rows)
	stop()
	os.Exit(code)
}
