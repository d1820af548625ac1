package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"ivylock/balance"
	"ivylock/internal/accept"
	"ivylock/internal/operator"
	"ivylock/internal/xds"
	"ivylock/steer"
)

// Service is the whole control service: an engine and the server before it.
type Service struct {
	Engine *Engine
	Server *xds.Server
	certs  *xds.Certificates
	log    *slog.Logger
	cfg    *operator.Control

	steered *proxies
	fleet   *fleet // nil: of none
}

const (
	probeTime  = 500 * time.Millisecond
	countEvery = time.Minute
)

var effects = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}

// New makes a service from its sections of the operator's file; f is nil where there is
// no fleet.
func New(c *operator.Control, f *operator.Fleet, log *slog.Logger) (*Service, error) {
	s := &Service{log: log, cfg: c}
	cfg := xds.Config{Access: access(c), Log: log, MaxStreams: c.MaxStreams, AckWithin: c.AckWithin.Duration,
		ReportEvery: c.ReportEvery.Duration}
	if !c.PlainText {
		certs, err := xds.LoadCertificates(c.Cert, c.Key, c.ClientCA)
		if err != nil {
			return nil, err
		}
		s.certs, cfg.TLS = certs, certs
	}
	var err error
	if s.fleet, err = joinFleet(c, f, log); err != nil {
		return nil, err
	}
	s.steered = newSteered(c, s.fleet, func(x steer.Event) { s.Engine.Post(x) }, log)
	s.steered.connect(&cfg)
	cfg.Alive = func() bool { return s.Engine.Alive() } // no stream is served before there is an engine
	s.Server = xds.New(cfg)
	settings := steer.Settings{WarmupStartFraction: c.ColdFrom, WarmupTime: c.ColdTime.Duration, OverloadFactor: c.OverloadFactor,
		WeightInterval: c.ChangeEvery.Duration, MaxWeightFactor: c.ChangeBy, MaxServers: c.MaxServers, SubsetSize: c.Subset, MaxProxies: c.MaxStreams}
	for _, x := range c.Services {
		for _, y := range x.Classes {
			settings.Classes = append(settings.Classes, class(y))
		}
	}
	engine, err := NewEngine(Config{Steer: settings, Discovery: c.Discovery, ListFile: c.ListFile, Probe: prober(c.Probe),
		Publisher: s.steered.watch(s.Server), Log: log, OnList: s.steered.listed})
	if err != nil {
		return nil, err
	}
	s.Engine = engine
	return s, nil
}

func class(c operator.Class) balance.Class {
	return balance.Class{Name: c.Name, TargetLatency: c.Aim.Duration, Deadline: c.Deadline.Duration, Effect: effects[c.Effect],
		DedupWindow: c.Window.Duration}
}

func access(c *operator.Control) xds.Access {
	a := xds.Access{Operators: c.Operators, Allowed: map[string][]string{}}
	for _, x := range c.Services {
		s := &xds.Service{Name: x.Name, Lease: c.Lease.Duration, Held: c.Held.Duration, Connect: x.Connect.Duration}
		if c.Probe != "tcp" {
			s.ProbePath = c.Probe
		}
		for _, y := range x.Classes {
			s.Classes = append(s.Classes, xds.Class{Class: class(y), Priority: y.Priority})
		}
		a.Services = append(a.Services, s)
		a.Allowed[x.Name] = x.Proxies
	}
	return a
}

// prober asks servers whether they answer.
func prober(path string) func(context.Context, string) bool {
	if path == "tcp" {
		return func(ctx context.Context, addr string) bool {
			d := net.Dialer{Timeout: probeTime}
			c, err := d.DialContext(ctx, "tcp", addr)
			if err != nil {
				return false
			}
			c.Close()
			return true
		}
	}
	client := &http.Client{Timeout: probeTime, Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return func(ctx context.Context, addr string) bool {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			return false
		}
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode/100 == 2
	}
}

// Run serves a listener until the context ends.
func (s *Service) Run(ctx context.Context, l net.Listener) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() { s.Engine.Run(inner); close(done) }()
	end, err := s.tell(inner)
	if err != nil {
		cancel()
		<-done
		return err
	}
	defer end()
	if s.fleet != nil {
		left := make(chan struct{})
		go func() { s.fleet.run(inner); close(left) }()
		defer func() { <-left }()
	}
	go func() {
		t, look := time.NewTicker(countEvery), time.NewTicker(lookEvery)
		defer t.Stop()
		defer look.Stop()
		for {
			select {
			case <-inner.Done():
				s.Server.Stop()
				return
			case <-t.C:
				s.counts()
			case <-look.C:
				s.steered.look()
			}
		}
	}()
	err = s.Server.Serve(accept.New(l, nil))
	cancel()
	<-done
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// figure is one count; kind is c for one that grows, g for one that moves.
type figure struct {
	name  string
	kind  string
	value int64
}

func (s *Service) figures() []figure {
	c := &s.Server.Counters
	return []figure{
		{"streams", "g", c.Streams.Load()}, {"opened", "c", c.Opened.Load()}, {"refused", "c", c.Refused.Load()},
		{"malformed", "c", c.Malformed.Load()}, {"overdue", "c", c.Overdue.Load()}, {"waiting", "g", int64(s.Server.Waiting())},
		{"responses", "c", c.Responses.Load()}, {"heartbeats", "c", c.Beats.Load()}, {"bytes", "c", c.Bytes.Load()},
		{"nacks", "c", c.Nacks.Load()}, {"not_followed", "g", s.steered.lagging.Load()}, {"reports", "c", c.Reports.Load()},
		{"bad_reports", "c", c.BadReports.Load()}, {"states", "c", s.Engine.PublishedStates.Load()}, {"urgent", "c", s.Engine.UrgentStates.Load()},
		{"left_out", "c", s.Engine.DiscardedEntries.Load()},
	}
}

// all are the service's own figures and the fleet's.
func (s *Service) all() []figure {
	if s.fleet == nil {
		return s.figures()
	}
	return append(s.figures(), s.fleet.figures()...)
}

func (s *Service) counts() {
	var args []any
	for _, f := range s.figures() {
		args = append(args, f.name, f.value)
	}
	s.log.Info("counts", args...)
}

// Reload takes the certificates and the services of a file anew. What is wrong
// changes nothing.
func (s *Service) Reload(c *operator.Control) error {
	if c == nil {
		return fmt.Errorf("the file has no section [control]")
	}
	if s.certs != nil {
		if err := s.certs.Reload(); err != nil {
			return err
		}
	}
	s.Server.SetAccess(access(c))
	return nil
}
