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

// Access is what is served and who may see it. It can be changed while the
// server runs.
type Access struct {
	Services          []*Service
	AllowedIdentities map[string][]string // who may see a service, by its name: patterns of Matches
	Operators         []string            // who may ask for client status
}

// TLSConfig is what a server is told at its start. Zero bounds take the default
// named with each.
type Config struct {
	Access Access
	TLS    *Certificates // nil: plain text
	Log    *slog.Logger

	MaxDiscoveryStreams int           // discovery streams at once; default 4,096
	MaxStreamsPerProxy  int           // discovery or load streams of one proxy at once; default 4
	MaxMessageBytes     int           // bytes of a request; default 1 MiB
	AckTimeout          time.Duration // a response without an answer for so long ends its stream; default 5 s
	NewStreamRate       float64       // first responses to new streams a second; default 1,000
	LoadReportInterval  time.Duration // load reports; default 500 ms

	// IsCurrent tells whether what was published is current; while it is not,
	// nothing is sent. nil: always.
	IsCurrent func() bool

	// Joined, Left and Loaded tell of proxies; they are called from the
	// streams' goroutines and must not block for long.
	OnJoined     func(proxy steer.ProxyID, zone string)
	OnLeft       func(proxy steer.ProxyID)
	OnLoadReport func(steer.LoadReported)
	// OnSent says that a version has gone to a proxy, for a time after which it runs
	// out there (0: it does not), Answered that it has taken
	// it, or why not. Holds says that what a proxy has is all that a version has
	// for it, whether or not anything of that had to be sent.
	OnSent      func(proxy steer.ProxyID, number uint64, lease time.Duration)
	OnAckOrNack func(proxy steer.ProxyID, number uint64, why string)
	OnInSync    func(proxy steer.ProxyID, number uint64)
}

// Counters are what a server has done since its start.
type Counters struct {
	OpenStreams         atomic.Int64 // open now
	StreamsOpened       atomic.Int64
	StreamsRefused      atomic.Int64 // streams turned away at a bound or for want of a right
	MalformedRequests   atomic.Int64 // streams ended for what their proxy sent
	AckTimeouts         atomic.Int64 // streams ended as their proxy did not answer
	Responses           atomic.Int64
	Heartbeats          atomic.Int64 // of these: heartbeats
	ResourceBytes       atomic.Int64 // of the responses' resources
	Nacks               atomic.Int64
	LoadReports         atomic.Int64 // load reports
	LoadReportsRejected atomic.Int64
	EncodeErrors        atomic.Int64
}

// Server serves one listener.
type Server struct {
	cfg    Config
	grpc   *grpc.Server
	health *health.Server
	start  time.Time
	conns  conns

	mu      sync.Mutex
	access  Access
	state   *steer.State
	views   map[viewKey]*Snapshot // of the state, made when first asked for
	streams map[*stream]bool
	proxies map[steer.ProxyID]int // open discovery streams
	loads   map[steer.ProxyID]int // open load streams
	next    time.Duration         // when the next new stream may start

	Counters Counters
}

// viewKey distinguishes the snapshots of one state.
type viewKey struct {
	Kind
	services string // names that the proxy may see
}

// New makes a server without a state: it answers once Publish was called.
func New(cfg Config) *Server {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&cfg.MaxDiscoveryStreams, 4096)
	def(&cfg.MaxStreamsPerProxy, 4)
	def(&cfg.MaxMessageBytes, 1<<20)
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
	s := &Server{cfg: cfg, access: cfg.Access, start: time.Now(), health: health.NewServer(),
		views: map[viewKey]*Snapshot{}, streams: map[*stream]bool{}, proxies: map[steer.ProxyID]int{}, loads: map[steer.ProxyID]int{}}
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(cfg.MaxMessageBytes),
		grpc.MaxConcurrentStreams(16), // of one connection
		grpc.ConnectionTimeout(5 * time.Second),
		// A proxy that is gone without a word is found in 15 s.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
	}
	if cfg.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(cfg.TLS.TLSConfig())))
	}
	s.grpc = grpc.NewServer(options...)
	discoveryv3.RegisterAggregatedDiscoveryServiceServer(s.grpc, ads{s})
	lrsv3.RegisterLoadReportingServiceServer(s.grpc, reports{s})
	statusv3.RegisterClientStatusDiscoveryServiceServer(s.grpc, statuses{s})
	healthv1.RegisterHealthServer(s.grpc, s.health)
	reflection.Register(s.grpc)
	s.health.SetServingStatus("", healthv1.HealthCheckResponse_NOT_SERVING)
	return s
}

// Serve serves a listener until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(s.conns.watch(l)) }

// Stop ends all streams at once.
func (s *Server) Stop() {
	s.health.Shutdown()
	s.grpc.Stop()
}

// now is the server's clock.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// Publish gives all streams a new state. Those that have answered what they
// were sent are sent it at once, the others when they have.
func (s *Server) Publish(st *steer.State) {
	s.mu.Lock()
	s.state = st
	clear(s.views)
	s.mu.Unlock()
	s.health.SetServingStatus("", healthv1.HealthCheckResponse_SERVING)
	s.wakeAll()
}

// SetAccess changes what is served and who may see it. Streams that may see
// nothing any more end.
func (s *Server) SetAccess(a Access) {
	s.mu.Lock()
	s.access = a
	clear(s.views)
	s.mu.Unlock()
	s.wakeAll()
}

func (s *Server) wakeAll() {
	for _, x := range s.all() {
		x.wake()
	}
}

func (s *Server) all() []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*stream, 0, len(s.streams))
	for x := range s.streams {
		all = append(all, x)
	}
	return all
}

// groupOf gives the group of a proxy as the state has it.
func (s *Server) groupOf(p steer.ProxyID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !s.state.Subsetted {
		return subset.AllServers
	}
	return s.state.GroupOf(p)
}

// snapshot gives what a kind of proxy is told now; nil before the first state,
// and for proxies without leases before a list was confirmed: what they are
// told stays with them.
func (s *Server) snapshot(k viewKey) *Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil || !s.state.Confirmed && !k.SupportsTTL {
		return nil
	}
	if s.state.Views[k.Zone] == nil {
		k.Zone = "" // guards against one view for each zone that somebody invents
	}
	if v := s.views[k]; v != nil {
		return v
	}
	var services []*Service
	for _, n := range strings.Split(k.services, "\n") {
		if i := slices.IndexFunc(s.access.Services, func(x *Service) bool { return x.Name == n }); i >= 0 {
			services = append(services, s.access.Services[i])
		}
	}
	v, err := Encode(s.state, services, k.Kind)
	if err != nil {
		s.Counters.EncodeErrors.Add(1)
		s.cfg.Log.Error("a state could not be encoded", "err", err)
	}
	s.views[k] = v
	return v
}

// visible lists the services that an identity may see.
func (s *Server) visible(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, x := range s.access.Services {
		if s.cfg.TLS == nil || allowed(s.access.AllowedIdentities[x.Name], id) {
			out = append(out, x.Name)
		}
	}
	return strings.Join(out, "\n")
}

var errFull = errors.New("too many streams")

// admit takes a stream in, and says how long its first response must wait: new
// streams start one after the other, what is published goes on meanwhile.
func (s *Server) admit(x *stream) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.cfg.MaxDiscoveryStreams {
		return 0, errFull
	}
	if s.proxies[x.proxy] >= s.cfg.MaxStreamsPerProxy {
		return 0, fmt.Errorf("%w of one proxy", errFull)
	}
	s.streams[x] = true
	s.proxies[x.proxy]++
	now := s.now()
	s.next = max(s.next, now-50*time.Millisecond) + time.Duration(float64(time.Second)/s.cfg.NewStreamRate)
	return max(0, s.next-now), nil
}

// release forgets a stream; last says that its proxy has no other.
func (s *Server) release(x *stream) (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, x)
	if s.proxies[x.proxy]--; s.proxies[x.proxy] <= 0 {
		delete(s.proxies, x.proxy)
		return true
	}
	return false
}

// operator says whether an identity may ask for client status.
func (s *Server) operator(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.TLS == nil || allowed(s.access.Operators, id)
}

// refuse ends a stream with one log line.
func (s *Server) refuse(ctx context.Context, what string, id string, err error) error {
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	st, ok := status.FromError(err)
	if !ok {
		st = status.New(codes.InvalidArgument, err.Error())
	}
	s.cfg.Log.Warn("stream ended", "service", what, "proxy", id, "code", st.Code(), "why", st.Message())
	return st.Err()
}

// UnackedStreams says how many streams were sent something that they have not
// answered.
func (s *Server) UnackedStreams() int {
	n := 0
	for _, x := range s.all() {
		if x.waiting() {
			n++
		}
	}
	return n
}
