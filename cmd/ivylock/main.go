// Command ivylock is one load-balancing proxy node. PROXY_CONFIG names its
// configuration.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"net"
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
	"ivylock/internal/logsink"
	"ivylock/internal/node"
	"ivylock/internal/operator"
	"ivylock/internal/strict"
	"ivylock/internal/wallclock"
)

const heapPart = 0.7 // of the memory limit: the rest is for stacks, the kernel's buffers and slack

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
	hup := make(chan os.Signal, 1) // one that waits stands for all: the file is read after it
	signal.Notify(hup, syscall.SIGHUP)
	cfg, err := node.LoadConfig(os.Getenv("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	if path := os.Getenv("IVYLOCK_OPERATOR"); path != "" {
		if err := switchOn(cfg, path); err != nil {
			return err
		}
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB) * (1 << 20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, inherited, err := handover.Listen(cfg.Listen, os.Getenv(handover.InheritedFDEnv))
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	n := node.New(cfg)
	// A log that nobody reads any more must neither end the node nor hold it up.
	lines := logsink.Stderr(&n.Metrics().LogLinesDropped)
	log.SetOutput(lines)
	defer lines.Flush(logsink.ExitTime)
	var shared *handover.SharedDir
	if inherited { // two processes of this node may run beside one another
		if shared = join(n, cfg.Name); shared != nil {
			defer shared.Close()
		}
	}
	if at := os.Getenv("PROXY_CONSOLE"); at != "" {
		cfg.Console = at
	}
	if cfg.Console != "" {
		calls, err := net.Listen("tcp", cfg.Console)
		if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		log.Printf("%s hears operators on %s", cfg.Name, calls.Addr())
		c := console.New(calls, n)
		defer c.Close()
		go func() {
			if err := c.Serve(); err != nil {
				log.Printf("console: %v", err)
			}
		}()
	}
	go func() {
		for range hup {
			reload(n)
		}
	}()
	f := front.New(n, listener, cfg.Settings.Classes, cfg.ClientSockets(), cfg.BodyBudget())
	f.SocketKept = inherited
	if inherited {
		sharing, end := context.WithCancel(context.Background())
		followed := make(chan struct{})
		go func() {
			defer close(followed)
			share(sharing, shared, n, f, handover.Usage{Clients: cfg.ClientSockets(), Backends: cfg.BackendSockets()}, cfg.Name)
		}()
		defer func() {
			end()
			select {
			case <-followed:
			case <-time.After(shareEnd): // guards against a disk that keeps the process from ending
			}
		}()
	}
	return n.Run(ctx, f)
}

// switchOn takes from the operator's file what of the node is switched on there.
func switchOn(cfg *node.Config, path string) error {
	file, err := operator.Load(path)
	if err != nil {
		return err
	}
	f := file.Fleet
	if f == nil {
		return nil
	}
	cfg.Fleet = &node.FleetConfig{Member: f.Member(), RecordFile: f.RecordFile, RecordInterval: f.RecordEvery.Duration}
	m := &cfg.Fleet.Member
	if len(m.AllowedPrefixes) == 0 {
		return nil
	}
	for _, p := range cfg.Peers {
		a, err := netip.ParseAddrPort(p)
		if err != nil {
			return file.Fault("fleet.strangers", fmt.Errorf("strangers wants the configuration's peers as numeric addresses, and %q is none; remove strangers", p))
		}
		m.Peers = append(m.Peers, a)
	}
	return nil
}

// takeOver begins from what the process before this one left.
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

// reload reads the configuration again. One that is malformed or not this node's changes
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
