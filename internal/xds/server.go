package xds

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	statusv3 "github.com/envoyproxy/go-control-plane/envoy/service/status/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"

	"ivylock/fleet/subset"
	"ivylock/steer"
)

// Access lists the services and who may see them. It can be changed while the
// server runs.
type Access struct {
	Services          []*Service
	AllowedIdentities map[string][]string // by service name: patterns for Matches of the identities that may see it
	Operators         []string            // patterns for Matches of the identities that may request client status
}

// Config configures a server. Zero limits, timeouts and rates take the defaults
// given with each.
type Config struct {
	Access Access
	TLS    *Certificates // nil: plain text
	Log    *slog.Logger

	MaxDiscoveryStreams int           // concurrent discovery streams, and proxies with load streams; default 4,096
	MaxStreamsPerProxy  int           // concurrent streams of either kind from one proxy; default 4
	MaxMessageBytes     int           // size limit of a request; default 1 MiB
	AckTimeout          time.Duration // limit for the first request and for each answer; default 5 s
	NewStreamRate       float64       // new streams served per second; default 1,000
	LoadReportInterval  time.Duration // interval requested of proxies; default 500 ms

	// IsCurrent reports whether the published state is up to date; while it is
	// not, nothing is sent. nil: always.
	IsCurrent func() bool

	// OnJoined is called when a proxy opens a stream, OnLeft when its last stream
	// has ended, OnLoadReport for each load report. All callbacks run on the
	// streams' goroutines and must not block for long.
	OnJoined     func(proxy steer.ProxyID, zone string)
	OnLeft       func(proxy steer.ProxyID)
	OnLoadReport func(steer.LoadReported)
	// OnSent is called when an update to a state version is sent to a proxy, not
	// for heartbeats; ttl is the longest TTL in the update (0: none has one).
	OnSent func(proxy steer.ProxyID, version uint64, ttl time.Duration)
	// OnAckOrNack is called when a proxy answers an update; reason is empty for an ACK.
	OnAckOrNack func(proxy steer.ProxyID, version uint64, reason string)
	// OnInSync is called when a proxy has acknowledged all resources of a state
	// version, whether or not any of them had to be sent.
	OnInSync func(proxy steer.ProxyID, version uint64)
}

// Counters counts what a server has done since it was created.
type Counters struct {
	OpenStreams         atomic.Int64 // currently open discovery streams
	StreamsOpened       atomic.Int64
	StreamsRefused      atomic.Int64 // streams refused by a limit or for lack of authorization
	MalformedRequests   atomic.Int64 // streams ended by an invalid request
	AckTimeouts         atomic.Int64 // streams ended by a missing request or answer
	Responses           atomic.Int64
	Heartbeats          atomic.Int64 // responses that were heartbeats
	ResourceBytes       atomic.Int64 // encoded resources in responses
	Nacks               atomic.Int64
	LoadReports         atomic.Int64
	LoadReportsRejected atomic.Int64
	EncodeErrors        atomic.Int64
}

// Server is an xDS server for one listener.
type Server struct {
	cfg       Config
	grpc      *grpc.Server
	health    *health.Server
	startedAt time.Time
	conns     connRegistry

	mu             sync.Mutex
	access         Access
	state          *steer.State
	snapshots      map[snapshotKey]*Snapshot // of the current state, encoded on first use
	streams        map[*stream]bool
	streamsByProxy map[steer.ProxyID]int // number of open discovery streams
	loadStreams    map[steer.ProxyID]int // number of open load reporting streams
	nextStart      time.Duration         // earliest start of the next new stream

	Counters Counters
}

// snapshotKey selects a snapshot of the current state.
type snapshotKey struct {
	Kind
	services string // names of the visible services, separated by newlines
}

// New creates a server. It sends nothing until Publish is called.
func New(cfg Config) *Server {
	setDefault := func(value *int, defaultValue int) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&cfg.MaxDiscoveryStreams, 4096)
	setDefault(&cfg.MaxStreamsPerProxy, 4)
	setDefault(&cfg.MaxMessageBytes, 1<<20)
	if cfg.AckTimeout == 0 {
		cfg.AckTimeout = 5 * time.Second
	}
	if cfg.NewStreamRate == 0 {
		cfg.NewStreamRate = 1000
	}
	if cfg.LoadReportInterval == 0 {
		cfg.LoadReportInterval = 500 * time.Millisecond
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{cfg: cfg, access: cfg.Access, startedAt: time.Now(), health: health.NewServer(),
		snapshots: map[snapshotKey]*Snapshot{}, streams: map[*stream]bool{}, streamsByProxy: map[steer.ProxyID]int{}, loadStreams: map[steer.ProxyID]int{}}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(cfg.MaxMessageBytes),
		grpc.MaxConcurrentStreams(16), // per connection
		grpc.ConnectionTimeout(5 * time.Second),
		// Detects a dead connection within 15 s.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	}
	if cfg.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(cfg.TLS.TLSConfig())))
	}
	s.grpc = grpc.NewServer(options...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.grpc, discoveryService{s})
	lrsv3.RegisterLoadReportingServiceServer(s.grpc, loadReportingService{s})
	statusv3.RegisterClientStatusDiscoveryServiceServer(s.grpc, clientStatusService{s})
	healthv1.RegisterHealthServer(s.grpc, s.health)
	reflection.Register(s.grpc)
	s.health.SetServingStatus("", healthv1.HealthCheckResponse_NOT_SERVING)
	return s
}

// Serve serves a listener until Stop is called.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(s.conns.track(listener)) }

// Stop ends all streams immediately.
func (s *Server) Stop() {
	s.health.Shutdown()
	s.grpc.Stop()
}

// now returns the time since the server was created.
func (s *Server) now() time.Duration { return time.Since(s.startedAt) }

// Publish sets the state to serve. A proxy with an unanswered response gets the
// update after it has answered, the others get it immediately.
func (s *Server) Publish(state *steer.State) {
	s.mu.Lock()
	s.state = state
	clear(s.snapshots)
	s.mu.Unlock()
	s.health.SetServingStatus("", healthv1.HealthCheckResponse_SERVING)
	s.notifyAll()
}

// SetAccess replaces the services and permissions. Streams of proxies that may
// not see any service any more are ended.
func (s *Server) SetAccess(access Access) {
	s.mu.Lock()
	s.access = access
	clear(s.snapshots)
	s.mu.Unlock()
	s.notifyAll()
}

func (s *Server) notifyAll() {
	for _, x := range s.openStreams() {
		x.notify()
	}
}

func (s *Server) openStreams() []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*stream, 0, len(s.streams))
	for x := range s.streams {
		all = append(all, x)
	}
	return all
}

// groupOf returns the subset group of a proxy in the current state.
func (s *Server) groupOf(p steer.ProxyID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !s.state.Subsetted {
		return subset.AllServers
	}
	return s.state.GroupOf(p)
}

// snapshot returns the current snapshot for a key. It is nil before the first
// call of Publish. For proxies without TTL support it is also nil until the server list is
// confirmed, because they would keep outdated endpoints indefinitely.
func (s *Server) snapshot(key snapshotKey) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !s.state.Confirmed && !key.SupportsTTL {
		return nil
	}
	if s.state.Views[key.Zone] == nil {
		key.Zone = "" // unknown zones share one snapshot, so that proxies cannot create unlimited ones
	}
	if snapshot := s.snapshots[key]; snapshot != nil {
		return snapshot
	}
	var services []*Service
	for _, name := range strings.Split(key.services, "\n") {
		if i := slices.IndexFunc(s.access.Services, func(x *Service) bool { return x.Name == name }); i >= 0 {
			services = append(services, s.access.Services[i])
		}
	}
	snapshot, err := Encode(s.state, services, key.Kind)
	if err != nil {
		s.Counters.EncodeErrors.Add(1)
		s.cfg.Log.Error("state could not be encoded", "err", err)
	}
	s.snapshots[key] = snapshot
	return snapshot
}

// visibleServices lists the services that an identity may see, separated by newlines.
func (s *Server) visibleServices(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, service := range s.access.Services {
		if s.cfg.TLS == nil || matchesAny(s.access.AllowedIdentities[service.Name], id) {
			names = append(names, service.Name)
		}
	}
	return strings.Join(names, "\n")
}

// The services, as the log names them.
const (
	discoveryName    = "discovery"
	loadReportsName  = "load reports"
	clientStatusName = "client status"
)

var errTooManyStreams = errors.New("too many streams")

// admit registers a stream and returns the delay of its first response, which
// limits the rate of new streams so that updates to other streams are not delayed.
func (s *Server) admit(newStream *stream) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.cfg.MaxDiscoveryStreams {
		return 0, errTooManyStreams
	}
	if s.streamsByProxy[newStream.proxy] >= s.cfg.MaxStreamsPerProxy {
		return 0, fmt.Errorf("%w of one proxy", errTooManyStreams)
	}
	s.streams[newStream] = true
	s.streamsByProxy[newStream.proxy]++
	now := s.now()
	s.nextStart = max(s.nextStart, now-50*time.Millisecond) + time.Duration(float64(time.Second)/s.cfg.NewStreamRate)
	return max(0, s.nextStart-now), nil
}

// release removes a stream and reports whether it was the last one of its proxy.
func (s *Server) release(ended *stream) (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, ended)
	if s.streamsByProxy[ended.proxy]--; s.streamsByProxy[ended.proxy] <= 0 {
		delete(s.streamsByProxy, ended.proxy)
		return true
	}
	return false
}

// isOperator reports whether an identity may request client status.
func (s *Server) isOperator(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.TLS == nil || matchesAny(s.access.Operators, id)
}

// rejectStream logs why a stream is ended and returns its gRPC status.
func (s *Server) rejectStream(ctx context.Context, service, id string, err error) error {
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	st, ok := status.FromError(err)
	if !ok {
		st = status.New(codes.InvalidArgument, err.Error())
	}
	s.cfg.Log.Warn("stream ended", "service", service, "proxy", id, "code", st.Code(), "why", st.Message())
	return st.Err()
}

// UnackedStreams returns the number of streams with an unanswered response.
func (s *Server) UnackedStreams() int {
	n := 0
	for _, x := range s.openStreams() {
		if x.hasUnacked() {
			n++
		}
	}
	return n
}
