// Command ivylock runs one load-balancing proxy node. The environment variable PROXY_CONFIG
// names its configuration file.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"ivylock/internal/console"
	"ivylock/internal/front"
	"ivylock/internal/handover"
	"ivylock/internal/listen"
	"ivylock/internal/logsink"
	"ivylock/internal/node"
	"ivylock/internal/operator"
	"ivylock/internal/strict"
	"ivylock/internal/wallclock"
)

const heapFraction = 0.7 // of the memory limit; the rest is for stacks and kernel buffers

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ivylock:", err)
		var file *strict.Error
		var config *node.ConfigError
		if errors.As(err, &file) || errors.As(err, &config) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func run() error {
	if err := wallclock.Check(); err != nil {
		return &node.ConfigError{Text: err.Error()}
	}
	hup := make(chan os.Signal, 1) // one pending signal suffices, as the file is read after it
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := node.LoadConfig(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	if path := os.Getenv("IVYLOCK_OPERATOR"); path != "" {
		if err := applyOperatorFile(cfg, path); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryMB) * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	n := node.New(cfg)
	// A log that is not read must neither end nor block the node.
	logWriter := logsink.Stderr(&n.Metrics().LogLinesDropped)
	log.SetOutput(logWriter)
	defer logWriter.Flush(logsink.ExitFlushTimeout)
	listener, inherited, err := handover.Listen(ctx, cfg.Listen, os.Getenv(handover.InheritedFDEnv))
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	var shared *handover.SharedDir
	if inherited { // another process of this node may run at the same time
		if shared = openSharedDir(n, cfg.Name); shared != nil {
			defer shared.Close()
		}
	}
	if addr := os.Getenv("PROXY_CONSOLE"); addr != "" {
		cfg.Console = addr
	}
	if cfg.Console != "" {
		consoleListener, err := listen.TCP(ctx, cfg.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		log.Printf("%s hears operators on %s", cfg.Name, consoleListener.Addr())
		server := console.New(consoleListener, n)
		defer server.Close()
		go func() {
			if err := server.Serve(); err != nil {
				log.Printf("console: %v", err)
			}
		}()
	}
	go func() {
		for range hup {
			reload(n)
		}
	}()
	frontEnd := front.New(n, listener, cfg.Settings.Classes, cfg.ClientSockets(), cfg.BodyBudget())
	frontEnd.SharedListener = inherited
	if inherited {
		shareCtx, stopSharing := context.WithCancel(context.Background())
		sharingDone := make(chan struct{})
		go func() {
			defer close(sharingDone)
			shareConnections(shareCtx, shared, n, frontEnd, handover.Usage{Clients: cfg.ClientSockets(), Backends: cfg.BackendSockets()}, cfg.Name)
		}()
		defer func() {
			stopSharing()
			select {
			case <-sharingDone:
			case <-time.After(leaveTimeout): // a hanging disk must not block the exit
			}
		}()
	}
	return n.Run(ctx, frontEnd)
}

// applyOperatorFile enables the features that the operator's file configures.
func applyOperatorFile(cfg *node.Config, path string) error {
	file, err := operator.Load(path)
	if err != nil {
		return err
	}
	fleet := file.Fleet
	if fleet == nil {
		return nil
	}
	cfg.Fleet = &node.FleetConfig{Member: fleet.MemberConfig(), RecordFile: fleet.RecordFile, RecordInterval: fleet.RecordInterval.Duration}
	member := &cfg.Fleet.Member
	if len(member.AllowedPrefixes) == 0 {
		return nil
	}
	for _, peer := range cfg.Peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return file.KeyError("fleet.strangers", fmt.Errorf("strangers needs the configuration's peers as numeric addresses, and %q is not one; remove strangers", peer))
		}
		member.Peers = append(member.Peers, addr)
	}
	return nil
}

// takeOver restores the state of the previous process.
func takeOver(n *node.Node, shared *handover.SharedDir) {
	found, err := shared.TakeOwnership()
	switch {
	case err != nil:
		log.Printf("a clean start: %v", err)
	case found != nil:
		log.Printf("takes over from owner %d of list %d, with %d records of maintenance", found.Epoch, found.Generation, len(found.Maintenance))
	}
	n.TakeOver(found, shared)
}

// reload reads the configuration again. An invalid one, or that of another node, changes
// nothing.
func reload(n *node.Node) {
	cfg, err := node.LoadConfig(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		n.Metrics().ReloadsRefused.Add(1)
	} else {
		err = n.Reload(cfg)
	}
	if err != nil {
		log.Printf("not reloaded: %v", err)
		return
	}
	log.Printf("reloaded: discovery is at %s", cfg.Discovery)
}
