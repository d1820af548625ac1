// Command ivylab plays a whole hall on loopback: clip servers, discovery,
// clients and real nodes, faults on a script, and a judge of the four rules.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"barrowscale/internal/lab/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("TERM") != "dumb"
	code := command.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, terminal)
	stop()
	os.Exit(code)
}
