package xds

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	aggregatev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/clusters/aggregate/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	previoushostsv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/retry/host/previous_hosts/v3"
	previousprioritiesv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/retry/priority/previous_priorities/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"ivylock/balance"
	"ivylock/steer"
)

// ClassHeader names the request's class, in HTTP and in gRPC metadata.
const ClassHeader = "request-class"

// Class is a class of requests as a service's routes tell it. Its retries are
// those of steer.RetryRuleFor.
type Class struct {
	balance.Class
	Priority bool // priority requests are refused last
}

// Service is what proxies reach by one name.
type Service struct {
	Name            string // of the listener: xds:///NAME for gRPC
	Classes         []Class
	EndpointTTL     time.Duration // of the endpoints, for proxies that know TTLs
	FallbackTTL     time.Duration // last known good: servers that were not draining stay in reserve so long
	HealthCheckPath string        // of the servers' health check, which fails while one drains; empty: nothing is held
	ConnectTimeout  time.Duration // time for a connection to a server
}

// Kind is what distinguishes the snapshots of one state.
type Kind struct {
	Zone        string
	SupportsTTL bool // the proxy knows TTLs
	Group       int  // of proxies that are told of the same servers: subset.AllServers, or from 0 on
}

// Names of a service's clusters. Each is made of a leased one and a held one
// for proxies that know TTLs.
func (s *Service) cluster(priority bool) string { return s.Name + "/" + rankName(priority) }

func (s *Service) podCluster(cell int, priority bool) string {
	return s.Name + "/pod-" + strconv.Itoa(cell) + "/" + rankName(priority)
}

func rankName(priority bool) string {
	if priority {
		return "priority"
	}
	return "other"
}

const (
	notStarted   = "not-started" // with "1": the server has not begun it (the platform's protocol)
	leasedSuffix = "/leased"
	heldSuffix   = "/held"
)

// Encode makes the resources of services for one kind of proxy.
func Encode(st *steer.State, services []*Service, kind Kind) (*Snapshot, error) {
	e := encoder{snap: &Snapshot{StateVersion: st.Version}, kind: kind, confirmed: st.Confirmed, view: st.View(kind.Zone).ForGroup(kind.Group)}
	for t := range types {
		e.snap.sets[t] = map[string]*Resource{}
	}
	if e.view == nil {
		e.view = &steer.View{}
	}
	for _, s := range services {
		e.service(s)
	}
	return e.snap, e.err
}

type encoder struct {
	snap      *Snapshot
	kind      Kind
	confirmed bool
	view      *steer.View
	err       error
}

func (e *encoder) add(t Type, name string, m proto.Message, ttl time.Duration) *Resource {
	r, err := newResource(name, m, ttl)
	if err != nil {
		if e.err == nil {
			e.err = fmt.Errorf("%v %s: %w", t, name, err)
		}
		return &Resource{Name: name}
	}
	e.snap.sets[t][name] = r
	return r
}

func (e *encoder) any(m proto.Message) *anypb.Any {
	a, err := anypb.New(m)
	if err != nil && e.err == nil {
		e.err = err
	}
	return a
}

var byADS = &corev3.ConfigSource{
	ResourceApiVersion:    corev3.ApiVersion_V3,
	ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
}

// itself is the server that the resource came from.
var itself = &corev3.ConfigSource{
	ResourceApiVersion:    corev3.ApiVersion_V3,
	ConfigSourceSpecifier: &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}},
}

func (e *encoder) service(s *Service) {
	var refs []string
	for _, priority := range []bool{true, false} {
		drop := e.view.DropOtherPPM
		if priority {
			drop = e.view.DropPriorityPPM
		}
		refs = append(refs, e.cluster(s, s.cluster(priority), drop, nil)...)
		if !slices.ContainsFunc(s.Classes, func(c Class) bool { return steer.RetryRuleFor(c.Class).SamePod && c.Priority == priority }) {
			continue
		}
		for _, pod := range e.pods() {
			refs = append(refs, e.cluster(s, s.podCluster(pod.cell, priority), drop, &pod.cell)...)
		}
	}
	e.routes(s, refs)
	hcm := &hcmv3.HttpConnectionManager{
		StatPrefix: s.Name,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{
			ConfigSource: byADS, RouteConfigName: s.Name}},
		HttpFilters: []*hcmv3.HttpFilter{{Name: "envoy.filters.http.router",
			ConfigType: &hcmv3.HttpFilter_TypedConfig{TypedConfig: e.any(&routerv3.Router{})}}},
	}
	e.add(Listener, s.Name, &listenerv3.Listener{Name: s.Name,
		ApiListener: &listenerv3.ApiListener{ApiListener: e.any(hcm)}}, 0)
}

// pod is a pod with the weight that it has in the first priority.
type pod struct {
	cell   int
	weight float64
}

// pods lists the pods that have a server in use.
func (e *encoder) pods() []pod {
	weights, cells := map[int]float64{}, []int{}
	for _, l := range e.view.Localities {
		parts := sumOf(l.Endpoints)
		for _, x := range l.Endpoints {
			if x.Health != steer.Healthy {
				continue
			}
			if _, ok := weights[x.Cell]; !ok {
				cells = append(cells, x.Cell)
				weights[x.Cell] = 0
			}
			if l.Priority == 0 {
				weights[x.Cell] += float64(l.Weight) * float64(x.Weight) / parts
			}
		}
	}
	slices.Sort(cells)
	out := make([]pod, 0, len(cells))
	for _, c := range cells {
		out = append(out, pod{c, weights[c]})
	}
	return out
}

func sumOf(endpoints []steer.Endpoint) float64 {
	sum := 0.0
	for _, x := range endpoints {
		if x.Health == steer.Healthy {
			sum += float64(x.Weight)
		}
	}
	return math.Max(sum, 1)
}

// cluster adds a cluster, of one pod or of all, and gives the names that
// routes refer to with it.
func (e *encoder) cluster(s *Service, name string, drop uint32, cell *int) []string {
	if !e.kind.SupportsTTL {
		e.eds(s, name, false)
		e.assignment(name, drop, cell, 0)
		return []string{name}
	}
	leased, held := name+leasedSuffix, name+heldSuffix
	e.eds(s, leased, false)
	e.eds(s, held, true)
	e.assignment(leased, drop, cell, s.EndpointTTL)
	e.reserve(held, s.HealthCheckPath != "", cell, s.FallbackTTL)
	c := &clusterv3.Cluster{
		Name:           name,
		ConnectTimeout: durationpb.New(s.ConnectTimeout),
		LbPolicy:       clusterv3.Cluster_CLUSTER_PROVIDED,
		ClusterDiscoveryType: &clusterv3.Cluster_ClusterType{ClusterType: &clusterv3.Cluster_CustomClusterType{
			Name: "envoy.clusters.aggregate", TypedConfig: e.any(&aggregatev3.ClusterConfig{Clusters: []string{leased, held}})}},
	}
	e.add(Cluster, name, c, 0).refs = []string{leased, held}
	return []string{name, leased, held}
}

// eds adds a cluster whose endpoints come by EDS. A held one has the proxy ask
// its servers itself.
func (e *encoder) eds(s *Service, name string, held bool) {
	limit := wrapperspb.UInt32(max(e.view.MaxRequests, 1))
	c := &clusterv3.Cluster{
		Name:                 name,
		ConnectTimeout:       durationpb.New(s.ConnectTimeout),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: byADS},
		LbPolicy:             clusterv3.Cluster_ROUND_ROBIN,
		CommonLbConfig: &clusterv3.Cluster_CommonLbConfig{
			LocalityConfigSpecifier: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig_{
				LocalityWeightedLbConfig: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig{}},
			// Guards against a proxy that uses excluded servers as soon as half are.
			HealthyPanicThreshold: &typev3.Percent{Value: 0},
		},
		CircuitBreakers: &clusterv3.CircuitBreakers{Thresholds: []*clusterv3.CircuitBreakers_Thresholds{{
			MaxRequests: limit, MaxPendingRequests: limit, MaxConnections: limit,
			RetryBudget: &clusterv3.CircuitBreakers_Thresholds_RetryBudget{
				BudgetPercent: &typev3.Percent{Value: steer.RetryBudgetPercent}, MinRetryConcurrency: wrapperspb.UInt32(steer.MinRetryConcurrency)}}}},
		LrsServer:                itself,
		LrsReportEndpointMetrics: []string{"cpu_utilization", "application_utilization"},
	}
	if e.kind.SupportsTTL {
		c.LbPolicy = clusterv3.Cluster_LEAST_REQUEST
	}
	if held && s.HealthCheckPath != "" {
		c.HealthChecks = []*corev3.HealthCheck{{
			Timeout:            durationpb.New(100 * time.Millisecond),
			Interval:           durationpb.New(100 * time.Millisecond),
			NoTrafficInterval:  durationpb.New(5 * time.Second), // it is seldom needed: probes cost work
			UnhealthyThreshold: wrapperspb.UInt32(1),
			HealthyThreshold:   wrapperspb.UInt32(1),
			HealthChecker: &corev3.HealthCheck_HttpHealthCheck_{
				HttpHealthCheck: &corev3.HealthCheck_HttpHealthCheck{Path: s.HealthCheckPath}},
		}}
	}
	e.add(Cluster, name, c, 0)
}

// assignment adds the endpoints of a cluster. Proxies that know TTLs weigh
// endpoints, by the least requests among them, and report load by endpoint: a
// hall is a locality. For the others each server is one of its own, its
// sub-zone: so weights and load reports, which are by locality there, are those
// of single servers.
func (e *encoder) assignment(name string, drop uint32, cell *int, ttl time.Duration) {
	cla := &endpointv3.ClusterLoadAssignment{ClusterName: name, Policy: &endpointv3.ClusterLoadAssignment_Policy{}}
	if drop > 0 {
		cla.Policy.DropOverloads = []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{{Category: "overload",
			DropPercentage: &typev3.FractionalPercent{Numerator: drop, Denominator: typev3.FractionalPercent_MILLION}}}
	}
	var live []string
	if e.confirmed || ttl == 0 {
		live = e.fill(cla, cell)
	}
	e.add(Endpoint, name, cla, ttl).live = live
}

func (e *encoder) fill(cla *endpointv3.ClusterLoadAssignment, cell *int) (live []string) {
	level, from := -1, uint32(math.MaxUint32)
	for _, l := range e.view.Localities {
		parts, own := sumOf(l.Endpoints), 0.0
		var hall *endpointv3.LocalityLbEndpoints
		for _, x := range l.Endpoints {
			if cell != nil && x.Cell != *cell {
				continue
			}
			ep, err := endpoint(x.Addr)
			if err != nil {
				if e.err == nil {
					e.err = err
				}
				continue
			}
			if l.Priority != from { // priorities must have no gap
				level, from = level+1, l.Priority
			}
			part := 0.0
			if x.Health == steer.Healthy {
				part = float64(x.Weight)
				live = append(live, x.Addr)
			}
			own += part
			ep.HealthStatus = healths[x.Health]
			if e.kind.SupportsTTL {
				if hall == nil {
					hall = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: l.Zone}, Priority: uint32(level)}
					cla.Endpoints = append(cla.Endpoints, hall)
				}
				ep.LoadBalancingWeight = wrapperspb.UInt32(max(x.Weight, 1))
				hall.LbEndpoints = append(hall.LbEndpoints, ep)
				hall.LoadBalancingWeight = weight(l, own/parts)
				continue
			}
			cla.Endpoints = append(cla.Endpoints, &endpointv3.LocalityLbEndpoints{
				Locality:            &corev3.Locality{Zone: l.Zone, SubZone: string(x.ID)},
				Priority:            uint32(level),
				LoadBalancingWeight: weight(l, part/parts),
				LbEndpoints:         []*endpointv3.LbEndpoint{ep},
			})
		}
	}
	slices.Sort(live)
	return live
}

// weight is that of a part of a locality. Rounded down: a cold server's part
// must not grow by it.
func weight(l steer.Locality, part float64) *wrapperspb.UInt32Value {
	return wrapperspb.UInt32(uint32(math.Max(1, float64(l.Weight)*part*1000)))
}

var healths = map[steer.Health]corev3.HealthStatus{
	steer.Healthy: corev3.HealthStatus_HEALTHY, steer.Draining: corev3.HealthStatus_DRAINING,
	steer.Excluded: corev3.HealthStatus_UNHEALTHY,
}

// reserve adds the endpoints of a held cluster: who was neither draining nor
// excluded, all alike, so that it seldom changes. Without a health check that
// tells of a drain nobody may be held: drains are kept before all else.
func (e *encoder) reserve(name string, checked bool, cell *int, ttl time.Duration) {
	cla := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	var live []string
	for _, l := range e.view.Localities {
		for _, x := range l.Endpoints {
			if !checked || x.Health != steer.Healthy || cell != nil && x.Cell != *cell {
				continue
			}
			ep, err := endpoint(x.Addr)
			if err != nil {
				continue // fill has told it
			}
			live = append(live, x.Addr)
			cla.Endpoints = append(cla.Endpoints, &endpointv3.LocalityLbEndpoints{
				Locality:            &corev3.Locality{Zone: l.Zone, SubZone: string(x.ID)},
				LoadBalancingWeight: wrapperspb.UInt32(1),
				LbEndpoints:         []*endpointv3.LbEndpoint{ep},
			})
		}
	}
	slices.SortFunc(cla.Endpoints, func(a, b *endpointv3.LocalityLbEndpoints) int {
		return slices.Compare([]string{a.Locality.Zone, a.Locality.SubZone}, []string{b.Locality.Zone, b.Locality.SubZone})
	})
	slices.Sort(live)
	e.add(Endpoint, name, cla, ttl).live = live
}

func endpoint(addr string) (*endpointv3.LbEndpoint, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("server address %q: %w", addr, err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("server address %q: %w", addr, err)
	}
	return &endpointv3.LbEndpoint{
		LoadBalancingWeight: wrapperspb.UInt32(1),
		HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
			Address: &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
				Address: host, PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(n)}}}}}},
	}, nil
}

// routes adds the routes: one for each class, then one for requests without a
// known class, which are taken as unsafe and not of priority.
func (e *encoder) routes(s *Service, refs []string) {
	host := &routev3.VirtualHost{Name: s.Name, Domains: []string{"*"}}
	classes := append(slices.Clone(s.Classes), Class{})
	for _, c := range classes {
		match := &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: ""}}
		if c.Name != "" {
			match.Headers = []*routev3.HeaderMatcher{{Name: ClassHeader,
				HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
					MatchPattern: &matcherv3.StringMatcher_Exact{Exact: c.Name}}}}}
		}
		retry := steer.RetryRuleFor(c.Class)
		action := &routev3.RouteAction{RetryPolicy: e.retries(retry)}
		if retry.TotalTimeout > 0 {
			action.Timeout = durationpb.New(retry.TotalTimeout)
			action.MaxStreamDuration = &routev3.RouteAction_MaxStreamDuration{MaxStreamDuration: durationpb.New(retry.TotalTimeout)}
		}
		e.target(s, c, action)
		host.Routes = append(host.Routes, &routev3.Route{Name: c.Name, Match: match,
			Action: &routev3.Route_Route{Route: action}})
	}
	rc := &routev3.RouteConfiguration{Name: s.Name, VirtualHosts: []*routev3.VirtualHost{host}}
	slices.Sort(refs)
	e.add(Route, s.Name, rc, 0).refs = refs
}

// target sets the cluster of a class. A keyed request goes to one pod, by the
// pods' weights, and stays within it when it is tried again.
func (e *encoder) target(s *Service, c Class, action *routev3.RouteAction) {
	pods := e.pods()
	if !steer.RetryRuleFor(c.Class).SamePod || len(pods) == 0 {
		action.ClusterSpecifier = &routev3.RouteAction_Cluster{Cluster: s.cluster(c.Priority)}
		return
	}
	total := 0.0
	for _, p := range pods {
		total += p.weight
	}
	w := &routev3.WeightedCluster{}
	for _, p := range pods {
		part := uint32(1)
		if total > 0 {
			part = uint32(math.Round(p.weight / total * 100)) // by hundredths, so that routes seldom change
		}
		if part == 0 && p.weight > 0 {
			part = 1
		}
		w.Clusters = append(w.Clusters, &routev3.WeightedCluster_ClusterWeight{
			Name: s.podCluster(p.cell, c.Priority), Weight: wrapperspb.UInt32(part)})
	}
	action.ClusterSpecifier = &routev3.RouteAction_WeightedClusters{WeightedClusters: w}
}

// retries puts a class's rule into the proxies' words.
func (e *encoder) retries(r steer.RetryRule) *routev3.RetryPolicy {
	// What no server can have begun: no connection, a refused stream (RFC 9113,
	// section 8.7), or the platform's word.
	p := &routev3.RetryPolicy{RetryOn: "connect-failure,refused-stream,retriable-headers", NumRetries: wrapperspb.UInt32(steer.MaxAttempts - 1),
		RetriableHeaders: []*routev3.HeaderMatcher{{Name: notStarted, HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{
			StringMatch: &matcherv3.StringMatcher{MatchPattern: &matcherv3.StringMatcher_Exact{Exact: "1"}}}}}}
	if !r.MayHaveRun {
		return p
	}
	p.RetryOn += ",reset,gateway-error,unavailable"
	if r.AttemptTimeout > 0 {
		p.PerTryTimeout = durationpb.New(r.AttemptTimeout)
	}
	p.RetryHostPredicate = []*routev3.RetryPolicy_RetryHostPredicate{{Name: "envoy.retry_host_predicates.previous_hosts",
		ConfigType: &routev3.RetryPolicy_RetryHostPredicate_TypedConfig{
			TypedConfig: e.any(&previoushostsv3.PreviousHostsPredicate{})}}}
	p.HostSelectionRetryMaxAttempts = 3
	// The next attempt goes to the halls that stand in: a hall that is lost does
	// not answer the second one either.
	p.RetryPriority = &routev3.RetryPolicy_RetryPriority{Name: "envoy.retry_priorities.previous_priorities",
		ConfigType: &routev3.RetryPolicy_RetryPriority_TypedConfig{
			TypedConfig: e.any(&previousprioritiesv3.PreviousPrioritiesConfig{UpdateFrequency: 1})}}
	p.RetryBackOff = &routev3.RetryPolicy_RetryBackOff{
		BaseInterval: durationpb.New(25 * time.Millisecond), MaxInterval: durationpb.New(250 * time.Millisecond)}
	return p
}
