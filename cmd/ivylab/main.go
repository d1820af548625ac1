// Command ivylab plays a whole hall on loopback: clip servers, discovery,
// clients and real nodes, faults on a script, and a judge of the four rules.
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
	if sysfault.IsLauncher() { // a copy of itself that starts a node whose system calls fail
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
