package xdsproxy

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/anypb"
)

const (
	clusterURL  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	endpointURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
	routeURL    = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"

	retryInterval = 50 * time.Millisecond // between streams
	checkInterval = 100 * time.Millisecond
	checkTimeout  = 100 * time.Millisecond
)

// Config configures a proxy.
type Config struct {
	ControlServices []string // in order of preference; the next one is tried after each failure
	Delta           bool     // incremental xDS
	NodeID          string
	Zone            string
	Service         string // name of the route configuration
	Clock           func() time.Duration
	HealthCheckPath string // of the servers
}

// Proxy is a running stand-in proxy.
type Proxy struct {
	cfg         Config
	mu          sync.Mutex
	table       *table
	rng         *rand.Rand
	versions    map[string]map[string]string // of the resources received, by type URL and name
	paused      chan struct{}                // closed when reading may continue; nil: not paused
	streamCount int                          // number of streams opened
	client      *http.Client
}

// New makes a proxy without any resources.
func New(cfg Config) *Proxy {
	return &Proxy{cfg: cfg, table: newTable(), versions: map[string]map[string]string{clusterURL: {}, routeURL: {}, endpointURL: {}}, rng: rand.New(rand.NewPCG(1, uint64(len(cfg.NodeID)))),
		client: &http.Client{Timeout: checkTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Pick chooses a server for a request of a class. ok is false if no server is available. dropped is
// true if the request must be refused.
func (p *Proxy) Pick(class string) (s Server, dropped, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.pick(p.cfg.Clock(), class, p.rng)
}

// Streams returns the number of discovery streams opened.
func (p *Proxy) Streams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streamCount
}

// SetReadPaused stops or continues reading the discovery stream; requests continue meanwhile.
func (p *Proxy) SetReadPaused(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && p.paused == nil {
		p.paused = make(chan struct{})
	}
	if !on && p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

// Run runs the proxy until the context ends.
func (p *Proxy) Run(ctx context.Context) {
	go p.healthCheck(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		p.runStream(ctx, p.cfg.ControlServices[n%len(p.cfg.ControlServices)])
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// healthCheck regularly checks the servers for which the proxy has no lease, until the context ends.
func (p *Proxy) healthCheck(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		addrs := p.table.serversToCheck(p.cfg.Clock())
		p.mu.Unlock()
		for _, addr := range addrs {
			go func() {
				at := p.cfg.Clock() // the result counts from the start of the check
				r, err := p.client.Get("http://" + addr + p.cfg.HealthCheckPath)
				if err != nil {
					return
				}
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					p.mu.Lock()
					p.table.lastHealthy[addr] = at
					p.mu.Unlock()
				}
			}()
		}
	}
}

// resource is a resource of either variant; without a body it is a heartbeat.
type resource struct {
	name, version string
	ttl           time.Duration
	body          *anypb.Any
}

// discoveryStream is a stream of either variant.
type discoveryStream interface {
	request(typeURL, nonce, version string, names []string, nack string) error
	recv() (typeURL, nonce, version string, resources []resource, removed []string, err error)
}

// runStream opens a stream to a control service and handles its responses until it ends.
func (p *Proxy) runStream(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 500 * time.Millisecond,
			Backoff: backoff.Config{BaseDelay: retryInterval, Multiplier: 1, MaxDelay: retryInterval}}))
	if err != nil {
		return
	}
	defer conn.Close()
	node := &corev3.Node{Id: p.cfg.NodeID, Locality: &corev3.Locality{Zone: p.cfg.Zone},
		ClientFeatures: []string{"xds.config.supports-resource-ttl"}}
	api := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	var stream discoveryStream
	if p.cfg.Delta {
		grpcStream, err := api.DeltaAggregatedResources(ctx)
		if err != nil {
			return
		}
		stream = &deltaStream{grpcStream: grpcStream, node: node, subscribed: map[string][]string{}, held: p.heldVersions()}
	} else {
		grpcStream, err := api.StreamAggregatedResources(ctx)
		if err != nil {
			return
		}
		stream = &sotwStream{grpcStream: grpcStream, node: node}
	}
	p.mu.Lock()
	p.streamCount++
	p.mu.Unlock()
	if stream.request(clusterURL, "", "", nil, "") != nil || stream.request(routeURL, "", "", []string{p.cfg.Service}, "") != nil {
		return
	}
	wanted := map[string][]string{routeURL: {p.cfg.Service}}
	if clusters := p.endpointClusters(); p.cfg.Delta && len(clusters) > 0 { // from an earlier stream
		wanted[endpointURL] = clusters
		if stream.request(endpointURL, "", "", clusters, "") != nil {
			return
		}
	}
	for {
		p.mu.Lock()
		resume := p.paused
		p.mu.Unlock()
		if resume != nil {
			select {
			case <-resume:
			case <-ctx.Done():
				return
			}
			continue
		}
		typeURL, nonce, version, resources, removed, err := stream.recv()
		if err != nil {
			return
		}
		nack := ""
		if err := p.apply(typeURL, resources, removed, !p.cfg.Delta); err != nil {
			nack = err.Error()
		}
		if stream.request(typeURL, nonce, version, wanted[typeURL], nack) != nil {
			return
		}
		if typeURL != clusterURL {
			continue
		}
		clusters := p.endpointClusters()
		if first := wanted[endpointURL] == nil; first || !slices.Equal(clusters, wanted[endpointURL]) {
			wanted[endpointURL] = clusters
			if stream.request(endpointURL, "", "", clusters, "") != nil {
				return
			}
		}
	}
}

// heldVersions returns the versions of the resources that the proxy holds, by type URL and name.
func (p *Proxy) heldVersions() map[string]map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.expire(p.cfg.Clock())
	held := map[string]map[string]string{}
	for typeURL, versions := range p.versions {
		held[typeURL] = maps.Clone(versions)
	}
	for name := range held[endpointURL] {
		if p.table.endpoints[name] == nil {
			delete(held[endpointURL], name)
		}
	}
	return held
}

// endpointClusters returns the clusters whose endpoints the proxy subscribes to, sorted by name.
func (p *Proxy) endpointClusters() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{}
	for n, c := range p.table.clusters {
		if len(c.members) == 0 {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

// apply stores the resources of a response.
func (p *Proxy) apply(typeURL string, resources []resource, removed []string, sotw bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	t := p.table
	t.expire(now)
	if typeURL == clusterURL && sotw {
		clear(t.clusters)
	}
	for _, r := range resources {
		if r.body == nil {
			if typeURL == endpointURL {
				t.renew(now, r.name, r.version, r.ttl)
			}
			continue
		}
		switch typeURL {
		case clusterURL:
			c := &clusterv3.Cluster{}
			if err := r.body.UnmarshalTo(c); err != nil {
				return err
			}
			if err := t.setCluster(c); err != nil {
				return err
			}
		case endpointURL:
			e := &endpointv3.ClusterLoadAssignment{}
			if err := r.body.UnmarshalTo(e); err != nil {
				return err
			}
			t.setEndpoints(now, r.version, r.ttl, e)
		case routeURL:
			rc := &routev3.RouteConfiguration{}
			if err := r.body.UnmarshalTo(rc); err != nil {
				return err
			}
			t.routes = rc
		default:
			return fmt.Errorf("unknown type %s", typeURL)
		}
		p.versions[typeURL][r.name] = r.version
	}
	for _, n := range removed {
		delete(p.versions[typeURL], n)
		switch typeURL {
		case clusterURL:
			delete(t.clusters, n)
		case endpointURL:
			delete(t.endpoints, n)
		}
	}
	return nil
}

type sotwStream struct {
	grpcStream discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	node       *corev3.Node
	nonces     map[string]string // nonces by type; a change of names must carry the latest
}

func (s *sotwStream) request(typeURL, nonce, version string, names []string, nack string) error {
	if nonce == "" {
		nonce = s.nonces[typeURL]
	}
	m := &discoveryv3.DiscoveryRequest{Node: s.node, TypeUrl: typeURL, ResponseNonce: nonce, VersionInfo: version, ResourceNames: names}
	if nack != "" {
		m.ErrorDetail = &status.Status{Code: 3, Message: nack}
	}
	return s.grpcStream.Send(m)
}

func (s *sotwStream) recv() (typeURL, nonce, version string, resources []resource, removed []string, err error) {
	m, err := s.grpcStream.Recv()
	if err != nil {
		return
	}
	for _, a := range m.GetResources() {
		w := &discoveryv3.Resource{}
		if !a.MessageIs(w) {
			resources = append(resources, resource{body: a})
			continue
		}
		if err = a.UnmarshalTo(w); err != nil {
			return
		}
		resources = append(resources, resource{w.GetName(), w.GetVersion(), w.GetTtl().AsDuration(), w.GetResource()})
	}
	if s.nonces == nil {
		s.nonces = map[string]string{}
	}
	s.nonces[m.GetTypeUrl()] = m.GetNonce()
	return m.GetTypeUrl(), m.GetNonce(), m.GetVersionInfo(), resources, nil, nil
}

type deltaStream struct {
	grpcStream discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	node       *corev3.Node
	subscribed map[string][]string
	held       map[string]map[string]string // from an earlier stream; told in the first request of a type
}

func (s *deltaStream) request(typeURL, nonce, _ string, names []string, nack string) error {
	m := &discoveryv3.DeltaDiscoveryRequest{Node: s.node, TypeUrl: typeURL, ResponseNonce: nonce, InitialResourceVersions: s.held[typeURL]}
	delete(s.held, typeURL)
	for _, n := range names {
		if !slices.Contains(s.subscribed[typeURL], n) {
			m.ResourceNamesSubscribe = append(m.ResourceNamesSubscribe, n)
		}
	}
	for _, n := range s.subscribed[typeURL] {
		if !slices.Contains(names, n) {
			m.ResourceNamesUnsubscribe = append(m.ResourceNamesUnsubscribe, n)
		}
	}
	s.subscribed[typeURL] = names
	if nack != "" {
		m.ErrorDetail = &status.Status{Code: 3, Message: nack}
	}
	return s.grpcStream.Send(m)
}

func (s *deltaStream) recv() (typeURL, nonce, version string, resources []resource, removed []string, err error) {
	m, err := s.grpcStream.Recv()
	if err != nil {
		return
	}
	for _, r := range m.GetResources() {
		resources = append(resources, resource{r.GetName(), r.GetVersion(), r.GetTtl().AsDuration(), r.GetResource()})
	}
	return m.GetTypeUrl(), m.GetNonce(), m.GetSystemVersionInfo(), resources, m.GetRemovedResources(), nil
}
