package xdsproxy

import (
	"context"
	"fmt"
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

	retryEvery = 50 * time.Millisecond // between streams
	checkEvery = 100 * time.Millisecond
	checkTime  = 100 * time.Millisecond
)

// Config is what a proxy is told at its start.
type Config struct {
	ControlServices []string // control services, in order: the first that answers is used
	Delta           bool     // the incremental variant
	NodeID          string
	Zone            string
	Service         string // name of its routes
	Clock           func() time.Duration
	HealthCheckPath string // path of the servers' health check
}

// Proxy is a running stand-in.
type Proxy struct {
	cfg    Config
	mu     sync.Mutex
	table  *table
	rnd    *rand.Rand
	paused chan struct{} // closed when reading may go on; nil: it may
	stream int           // how many streams it has had
	client *http.Client
}

// New makes a proxy that knows nothing.
func New(cfg Config) *Proxy {
	return &Proxy{cfg: cfg, table: newTable(), rnd: rand.New(rand.NewPCG(1, uint64(len(cfg.NodeID)))),
		client: &http.Client{Timeout: checkTime, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Pick chooses a server for a request of a class.
func (p *Proxy) Pick(class string) (s Server, dropped, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.pick(p.cfg.Clock(), class, p.rnd)
}

// Streams is how many discovery streams it has begun.
func (p *Proxy) Streams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stream
}

// SetReadPaused has it stop reading its stream, or go on; requests go on meanwhile.
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

// Run works until the context ends.
func (p *Proxy) Run(ctx context.Context) {
	go p.check(ctx)
	for n := 0; ctx.Err() == nil; n++ {
		p.follow(ctx, p.cfg.ControlServices[n%len(p.cfg.ControlServices)])
		select {
		case <-ctx.Done():
		case <-time.After(retryEvery):
		}
	}
}

// check asks servers, while there is no lease, whether they are well.
func (p *Proxy) check(ctx context.Context) {
	t := time.NewTicker(checkEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		ask := p.table.unchecked(p.cfg.Clock())
		p.mu.Unlock()
		for _, addr := range ask {
			go func() {
				at := p.cfg.Clock() // what it says holds from before it was asked
				r, err := p.client.Get("http://" + addr + p.cfg.HealthCheckPath)
				if err != nil {
					return
				}
				r.Body.Close()
				if r.StatusCode == http.StatusOK {
					p.mu.Lock()
					p.table.checks[addr] = at
					p.mu.Unlock()
				}
			}()
		}
	}
}

// resource is one that came, of either variant; without a body it is a
// heartbeat.
type resource struct {
	name, version string
	ttl           time.Duration
	body          *anypb.Any
}

// link is a stream of either variant.
type link interface {
	ask(url, nonce, version string, names []string, complaint string) error
	recv() (url, nonce, version string, rs []resource, removed []string, err error)
}

// follow holds one stream until it breaks.
func (p *Proxy) follow(ctx context.Context, addr string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 500 * time.Millisecond,
			Backoff: backoff.Config{BaseDelay: retryEvery, Multiplier: 1, MaxDelay: retryEvery}}))
	if err != nil {
		return
	}
	defer conn.Close()
	node := &corev3.Node{Id: p.cfg.NodeID, Locality: &corev3.Locality{Zone: p.cfg.Zone},
		ClientFeatures: []string{"xds.config.supports-resource-ttl"}}
	api := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	var l link
	if p.cfg.Delta {
		g, err := api.DeltaAggregatedResources(ctx)
		if err != nil {
			return
		}
		l = &deltaLink{g: g, node: node, asked: map[string][]string{}}
	} else {
		g, err := api.StreamAggregatedResources(ctx)
		if err != nil {
			return
		}
		l = &wholeLink{g: g, node: node}
	}
	p.mu.Lock()
	p.stream++
	p.mu.Unlock()
	if l.ask(clusterURL, "", "", nil, "") != nil || l.ask(routeURL, "", "", []string{p.cfg.Service}, "") != nil {
		return
	}
	wanted := map[string][]string{routeURL: {p.cfg.Service}}
	for {
		p.mu.Lock()
		hold := p.paused
		p.mu.Unlock()
		if hold != nil {
			select {
			case <-hold:
			case <-ctx.Done():
				return
			}
			continue
		}
		url, nonce, version, rs, removed, err := l.recv()
		if err != nil {
			return
		}
		complaint := ""
		if err := p.take(url, rs, removed, !p.cfg.Delta); err != nil {
			complaint = err.Error()
		}
		if l.ask(url, nonce, version, wanted[url], complaint) != nil {
			return
		}
		if url != clusterURL {
			continue
		}
		ends := p.ends()
		if first := wanted[endpointURL] == nil; first || !slices.Equal(ends, wanted[endpointURL]) {
			wanted[endpointURL] = ends
			if l.ask(endpointURL, "", "", ends, "") != nil {
				return
			}
		}
	}
}

// ends gives the clusters whose endpoints are wanted.
func (p *Proxy) ends() []string {
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

// take keeps what came.
func (p *Proxy) take(url string, rs []resource, removed []string, whole bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	t := p.table
	t.expire(now)
	if url == clusterURL && whole {
		clear(t.clusters)
	}
	for _, r := range rs {
		if r.body == nil {
			if url == endpointURL {
				t.prolong(now, r.name, r.version, r.ttl)
			}
			continue
		}
		switch url {
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
			return fmt.Errorf("unknown type %s", url)
		}
	}
	for _, n := range removed {
		switch url {
		case clusterURL:
			delete(t.clusters, n)
		case endpointURL:
			delete(t.ends, n)
		}
	}
	return nil
}

type wholeLink struct {
	g    discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesClient
	node *corev3.Node
	last map[string]string // nonces: a change of names must carry the latest
}

func (l *wholeLink) ask(url, nonce, version string, names []string, complaint string) error {
	if nonce == "" {
		nonce = l.last[url]
	}
	m := &discoveryv3.DiscoveryRequest{Node: l.node, TypeUrl: url, ResponseNonce: nonce, VersionInfo: version, ResourceNames: names}
	if complaint != "" {
		m.ErrorDetail = &status.Status{Code: 3, Message: complaint}
	}
	return l.g.Send(m)
}

func (l *wholeLink) recv() (url, nonce, version string, rs []resource, removed []string, err error) {
	m, err := l.g.Recv()
	if err != nil {
		return
	}
	for _, a := range m.GetResources() {
		w := &discoveryv3.Resource{}
		if !a.MessageIs(w) {
			rs = append(rs, resource{body: a})
			continue
		}
		if err = a.UnmarshalTo(w); err != nil {
			return
		}
		rs = append(rs, resource{w.GetName(), w.GetVersion(), w.GetTtl().AsDuration(), w.GetResource()})
	}
	if l.last == nil {
		l.last = map[string]string{}
	}
	l.last[m.GetTypeUrl()] = m.GetNonce()
	return m.GetTypeUrl(), m.GetNonce(), m.GetVersionInfo(), rs, nil, nil
}

type deltaLink struct {
	g     discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesClient
	node  *corev3.Node
	asked map[string][]string
}

func (l *deltaLink) ask(url, nonce, _ string, names []string, complaint string) error {
	m := &discoveryv3.DeltaDiscoveryRequest{Node: l.node, TypeUrl: url, ResponseNonce: nonce}
	for _, n := range names {
		if !slices.Contains(l.asked[url], n) {
			m.ResourceNamesSubscribe = append(m.ResourceNamesSubscribe, n)
		}
	}
	for _, n := range l.asked[url] {
		if !slices.Contains(names, n) {
			m.ResourceNamesUnsubscribe = append(m.ResourceNamesUnsubscribe, n)
		}
	}
	l.asked[url] = names
	if complaint != "" {
		m.ErrorDetail = &status.Status{Code: 3, Message: complaint}
	}
	return l.g.Send(m)
}

func (l *deltaLink) recv() (url, nonce, version string, rs []resource, removed []string, err error) {
	m, err := l.g.Recv()
	if err != nil {
		return
	}
	for _, r := range m.GetResources() {
		rs = append(rs, resource{r.GetName(), r.GetVersion(), r.GetTtl().AsDuration(), r.GetResource()})
	}
	return m.GetTypeUrl(), m.GetNonce(), m.GetSystemVersionInfo(), rs, m.GetRemovedResources(), nil
}
