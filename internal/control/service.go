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

// Service is the control service: an engine and the xDS server in front of it.
type Service struct {
	Engine       *Engine
	Server       *xds.Server
	certificates *xds.Certificates
	log          *slog.Logger
	config       *operator.Control

	proxies *proxyTracker
	fleet   *fleetMember // nil: not in a fleet
}

const (
	probeTimeout  = 500 * time.Millisecond
	statsInterval = time.Minute
)

var effectsByName = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}

// New returns a service with the given sections of the operator's file; fleet may be nil.
func New(ctx context.Context, control *operator.Control, fleet *operator.Fleet, log *slog.Logger) (*Service, error) {
	service := &Service{log: log, config: control}
	xdsConfig := xds.Config{Access: accessOf(control), Log: log, MaxDiscoveryStreams: control.MaxStreams,
		AckTimeout: control.AckTimeout.Duration, LoadReportInterval: control.LoadReportInterval.Duration}
	if !control.PlainText {
		certificates, err := xds.LoadCertificates(control.Cert, control.Key, control.ClientCA)
		if err != nil {
			return nil, err
		}
		service.certificates, xdsConfig.TLS = certificates, certificates
	}
	var err error
	if service.fleet, err = joinFleet(ctx, control, fleet, log); err != nil {
		return nil, err
	}
	service.proxies = newProxyTracker(control, service.fleet,
		func(event steer.Event) { service.Engine.Post(event) }, log)
	service.proxies.attach(&xdsConfig)
	// Streams are served only after Engine is set.
	xdsConfig.IsCurrent = func() bool { return service.Engine.Alive() }
	service.Server = xds.New(xdsConfig)
	settings := steer.Settings{WarmupStartFraction: control.WarmupStartFraction, WarmupTime: control.WarmupTime.Duration,
		OverloadFactor: control.OverloadFactor, WeightInterval: control.WeightInterval.Duration,
		MaxWeightFactor: control.MaxWeightFactor, MaxServers: control.MaxServers, SubsetSize: control.SubsetSize,
		MaxProxies: control.MaxStreams}
	for _, svc := range control.Services {
		for _, class := range svc.Classes {
			settings.Classes = append(settings.Classes, classOf(class))
		}
	}
	engine, err := NewEngine(Config{Steer: settings, Discovery: control.Discovery, ListFile: control.ListFile,
		Probe: prober(control.HealthCheck), Publisher: service.proxies.publisher(service.Server), Log: log,
		OnList: service.proxies.handleList})
	if err != nil {
		return nil, err
	}
	service.Engine = engine
	return service, nil
}

func classOf(class operator.Class) balance.Class {
	return balance.Class{Name: class.Name, TargetLatency: class.TargetLatency.Duration, Deadline: class.Deadline.Duration,
		Effect: effectsByName[class.Effect], DedupWindow: class.DedupWindow.Duration}
}

func accessOf(control *operator.Control) xds.Access {
	access := xds.Access{Operators: control.Operators, AllowedIdentities: map[string][]string{}}
	for _, service := range control.Services {
		xdsService := &xds.Service{Name: service.Name, EndpointTTL: control.EndpointTTL.Duration,
			FallbackTTL: control.FallbackTTL.Duration, ConnectTimeout: service.ConnectTimeout.Duration}
		if control.HealthCheck != "tcp" {
			xdsService.HealthCheckPath = control.HealthCheck
		}
		for _, class := range service.Classes {
			xdsService.Classes = append(xdsService.Classes, xds.Class{Class: classOf(class), Priority: class.Priority})
		}
		access.Services = append(access.Services, xdsService)
		access.AllowedIdentities[service.Name] = service.Proxies
	}
	return access
}

// prober returns the health check of servers: a TCP connection if path is "tcp", otherwise an HTTP
// GET of path that must be answered with a 2xx status.
func prober(path string) func(context.Context, string) bool {
	if path == "tcp" {
		return func(ctx context.Context, addr string) bool {
			dialer := net.Dialer{Timeout: probeTimeout}
			conn, err := dialer.DialContext(ctx, "tcp", addr)
			if err != nil {
				return false
			}
			conn.Close()
			return true
		}
	}
	client := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true},
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

// Run serves the listener until the context ends, in which case it returns nil.
func (s *Service) Run(ctx context.Context, listener net.Listener) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() { s.Engine.Run(runCtx); close(done) }()
	stopOperatorServices, err := s.startOperatorServices(runCtx)
	if err != nil {
		cancel()
		<-done
		return err
	}
	defer stopOperatorServices()
	if s.fleet != nil {
		leftFleet := make(chan struct{})
		go func() { s.fleet.run(runCtx); close(leftFleet) }()
		defer func() { <-leftFleet }()
	}
	go func() {
		statsTicker, verdictTicker := time.NewTicker(statsInterval), time.NewTicker(verdictInterval)
		defer statsTicker.Stop()
		defer verdictTicker.Stop()
		for {
			select {
			case <-runCtx.Done():
				s.Server.Stop()
				return
			case <-statsTicker.C:
				s.logMetrics()
			case <-verdictTicker.C:
				s.proxies.updateVerdicts()
			}
		}
	}()
	err = s.Server.Serve(accept.New(listener, nil))
	cancel()
	<-done
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// metric is a named value; kind is c for a counter and g for a gauge.
type metric struct {
	name  string
	kind  string
	value int64
}

func (s *Service) serviceMetrics() []metric {
	counters := &s.Server.Counters
	return []metric{
		{"streams", "g", counters.OpenStreams.Load()}, {"opened", "c", counters.StreamsOpened.Load()},
		{"refused", "c", counters.StreamsRefused.Load()}, {"malformed", "c", counters.MalformedRequests.Load()},
		{"overdue", "c", counters.AckTimeouts.Load()}, {"waiting", "g", int64(s.Server.UnackedStreams())},
		{"responses", "c", counters.Responses.Load()}, {"heartbeats", "c", counters.Heartbeats.Load()},
		{"bytes", "c", counters.ResourceBytes.Load()}, {"nacks", "c", counters.Nacks.Load()},
		{"not_followed", "g", s.proxies.unreliable.Load()}, {"reports", "c", counters.LoadReports.Load()},
		{"bad_reports", "c", counters.LoadReportsRejected.Load()}, {"states", "c", s.Engine.PublishedStates.Load()},
		{"urgent", "c", s.Engine.UrgentStates.Load()}, {"left_out", "c", s.Engine.DiscardedEntries.Load()},
	}
}

// metrics returns the service's metrics and those of the fleet member.
func (s *Service) metrics() []metric {
	if s.fleet == nil {
		return s.serviceMetrics()
	}
	return append(s.serviceMetrics(), s.fleet.metrics()...)
}

func (s *Service) logMetrics() {
	var args []any
	for _, metric := range s.serviceMetrics() {
		args = append(args, metric.name, metric.value)
	}
	s.log.Info("counts", args...)
}

// Reload applies the certificates and services of a reloaded file. On error nothing changes.
func (s *Service) Reload(control *operator.Control) error {
	if control == nil {
		return fmt.Errorf("the file has no [control] section")
	}
	if s.certificates != nil {
		if err := s.certificates.Reload(); err != nil {
			return err
		}
	}
	s.Server.SetAccess(accessOf(control))
	return nil
}
