// Command ivylock-control serves ivylock's load-balancing decisions to other proxies over xDS. It
// is configured by the [control] section of the operator's file. SIGHUP reloads certificates and
// services.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"ivylock/internal/control"
	"ivylock/internal/listen"
	"ivylock/internal/logsink"
	"ivylock/internal/operator"
)

// errConfig marks errors in the operator's file; the command exits with status 2.
var errConfig = errors.New("configuration")

func main() {
	configPath := flag.String("config", "deploy/operator.toml", "the operator's file")
	flag.Parse()
	if err := run(*configPath); err != nil {
		if errors.Is(err, errConfig) {
			fmt.Fprintln(os.Stderr, errors.Unwrap(err))
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, "ivylock-control:", err)
		os.Exit(1)
	}
}

// configError wraps an error in the operator's file.
type configError struct{ error }

func (e configError) Unwrap() error     { return e.error }
func (e configError) Is(err error) bool { return err == errConfig }

func run(path string) error {
	// One slot is enough, since a reload reads the files after the signal.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	file, err := operator.Load(path)
	if err != nil {
		return configError{err}
	}
	if file.Control == nil {
		return configError{fmt.Errorf("%s:1: there is no section [control]; add one, see docs/xds.md", path)}
	}
	var dropped atomic.Int64
	sink := logsink.Stderr(&dropped)
	defer sink.Flush(logsink.ExitFlushTimeout)
	log := slog.New(slog.NewTextHandler(sink, nil))
	service, err := control.New(ctx, file.Control, file.Fleet, log)
	if err != nil {
		if file.Control.Cert != "" {
			return configError{file.KeyError("control.cert", err)}
		}
		return configError{file.KeyError("control", err)}
	}
	listener, err := listen.TCP(ctx, file.Control.Listen)
	if err != nil {
		return err
	}
	log.Info("serves", "addr", listener.Addr().String(), "discovery", file.Control.Discovery)
	go func() {
		for range reloads {
			file, err := operator.Load(path)
			if err == nil {
				err = service.Reload(file.Control)
			}
			if err != nil {
				log.Error("not reloaded", "err", err)
				continue
			}
			log.Info("reloaded")
		}
	}()
	return service.Run(ctx, listener)
}
