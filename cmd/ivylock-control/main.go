// Command ivylock-control hands ivylock's decisions to other proxies over xDS.
// It is set in the section [control] of the operator's file; SIGHUP has it
// read certificates and services again.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"ivylock/internal/control"
	"ivylock/internal/logsink"
	"ivylock/internal/operator"
)

// errConfig is a fault in the operator's file: exit 2.
var errConfig = errors.New("configuration")

func main() {
	path := flag.String("config", "deploy/operator.toml", "the operator's file")
	flag.Parse()
	if err := run(*path); err != nil {
		if errors.Is(err, errConfig) {
			fmt.Fprintln(os.Stderr, errors.Unwrap(err))
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "ivylock-control:", err)
		os.Exit(1)
	}
}

// faulty marks an error as one of the operator's file.
type faulty struct{ error }

func (f faulty) Unwrap() error     { return f.error }
func (f faulty) Is(err error) bool { return err == errConfig }

func run(path string) error {
	hup := make(chan os.Signal, 1) // one that waits stands for all: the files are read after it
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	f, err := operator.Load(path)
	if err != nil {
		return faulty{err}
	}
	if f.Control == nil {
		return faulty{fmt.Errorf("%s:1: there is no section [control]; add one, see docs/xds.md", path)}
	}
	var dropped atomic.Int64
	lines := logsink.Stderr(&dropped)
	defer lines.Flush(logsink.ExitTime)
	log := slog.New(slog.NewTextHandler(lines, nil))
	s, err := control.New(f.Control, f.Fleet, log)
	if err != nil {
		if f.Control.Cert != "" {
			return faulty{f.Fault("control.cert", err)}
		}
		return faulty{f.Fault("control", err)}
	}
	l, err := net.Listen("tcp", f.Control.Listen)
	if err != nil {
		return err
	}
	log.Info("serves", "addr", l.Addr().String(), "discovery", f.Control.Discovery)
	go func() {
		for range hup {
			f, err := operator.Load(path)
			if err == nil {
				err = s.Reload(f.Control)
			}
			if err != nil {
				log.Error("not reloaded", "err", err)
				continue
			}
			log.Info("reloaded")
		}
	}()
	return s.Run(ctx, l)
}
