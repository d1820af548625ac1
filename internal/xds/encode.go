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

// ClassHeader is the HTTP header, or gRPC metadata key, that carries the request's class.
const ClassHeader = "request-class"

// Class is a request class that gets a route of its own. Its retry policy
// comes from steer.RetryRuleFor.
type Class struct {
	balance.Class
	Priority bool // priority requests are dropped last under overload
}

// Service is one service that proxies reach by name.
type Service struct {
	Name            string // listener name: xds:///NAME for gRPC clients
	Classes         []Class
	EndpointTTL     time.Duration // TTL of the endpoints, for proxies that support resource TTLs
	FallbackTTL     time.Duration // TTL of the fallback endpoints, the last known good servers
	HealthCheckPath string        // HTTP health check that fails while a server drains; empty: no fallback endpoints
	ConnectTimeout  time.Duration // for connections to servers
}

// Kind is the set of proxy properties that select a snapshot of a state.
type Kind struct {
	Zone        string
	SupportsTTL bool // the proxy supports resource TTLs
	Group       int  // proxies of a group get the same server subset: subset.AllServers, or 0 and up
}

// cluster returns the name of a service's cluster. For proxies that support
// TTLs it is an aggregate of a leased cluster, whose endpoints expire unless they
// are refreshed, and a fallback cluster with the last known good servers.
func (s *Service) cluster(priority bool) string { return s.Name + "/" + rankSuffix(priority) }

func (s *Service) podCluster(podID int, priority bool) string {
	return s.Name + "/pod-" + strconv.Itoa(podID) + "/" + rankSuffix(priority)
}

func rankSuffix(priority bool) string {
	if priority {
		return "priority"
	}
	return "other"
}

const (
	notStarted     = "not-started" // response header: "1" means that the server did not start the request
	leasedSuffix   = "/leased"
	fallbackSuffix = "/held"
)

// Encode builds the snapshot of all services for one kind of proxy.
func Encode(state *steer.State, services []*Service, kind Kind) (*Snapshot, error) {
	e := encoder{snap: &Snapshot{StateVersion: state.Version}, kind: kind, confirmed: state.Confirmed, view: state.View(kind.Zone).ForGroup(kind.Group)}
	for t := range numTypes {
		e.snap.resources[t] = map[string]*Resource{}
	}
	if e.view == nil {
		e.view = &steer.View{}
	}
	for _, service := range services {
		e.addService(service)
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
	e.snap.resources[t][name] = r
	return r
}

func (e *encoder) any(m proto.Message) *anypb.Any {
	a, err := anypb.New(m)
	if err != nil && e.err == nil {
		e.err = err
	}
	return a
}

var adsSource = &corev3.ConfigSource{
	ResourceApiVersion:    corev3.ApiVersion_V3,
	ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
}

// selfSource refers to the server that sent the resource.
var selfSource = &corev3.ConfigSource{
	ResourceApiVersion:    corev3.ApiVersion_V3,
	ConfigSourceSpecifier: &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}},
}

func (e *encoder) addService(service *Service) {
	var clusterRefs []string
	for _, priority := range []bool{true, false} {
		dropPPM := e.view.DropOtherPPM
		if priority {
			dropPPM = e.view.DropPriorityPPM
		}
		clusterRefs = append(clusterRefs, e.addCluster(service, service.cluster(priority), dropPPM, nil)...)
		if !slices.ContainsFunc(service.Classes, func(c Class) bool { return steer.RetryRuleFor(c.Class).SamePod && c.Priority == priority }) {
			continue
		}
		for _, pod := range e.pods() {
			clusterRefs = append(clusterRefs, e.addCluster(service, service.podCluster(pod.id, priority), dropPPM, &pod.id)...)
		}
	}
	e.addRoutes(service, clusterRefs)
	hcm := &hcmv3.HttpConnectionManager{
		StatPrefix: service.Name,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{
			ConfigSource: adsSource, RouteConfigName: service.Name}},
		HttpFilters: []*hcmv3.HttpFilter{{Name: "envoy.filters.http.router",
			ConfigType: &hcmv3.HttpFilter_TypedConfig{TypedConfig: e.any(&routerv3.Router{})}}},
	}
	e.add(Listener, service.Name, &listenerv3.Listener{Name: service.Name,
		ApiListener: &listenerv3.ApiListener{ApiListener: e.any(hcm)}}, 0)
}

// pod is a pod with its total weight at priority 0.
type pod struct {
	id     int
	weight float64
}

// pods lists the pods with at least one healthy server, sorted by ID.
func (e *encoder) pods() []pod {
	weights, podIDs := map[int]float64{}, []int{}
	for _, locality := range e.view.Localities {
		totalWeight := healthyWeight(locality.Endpoints)
		for _, endpoint := range locality.Endpoints {
			if endpoint.Health != steer.Healthy {
				continue
			}
			if _, ok := weights[endpoint.Cell]; !ok {
				podIDs = append(podIDs, endpoint.Cell)
				weights[endpoint.Cell] = 0
			}
			if locality.Priority == 0 {
				weights[endpoint.Cell] += float64(locality.Weight) * float64(endpoint.Weight) / totalWeight
			}
		}
	}
	slices.Sort(podIDs)
	pods := make([]pod, 0, len(podIDs))
	for _, id := range podIDs {
		pods = append(pods, pod{id, weights[id]})
	}
	return pods
}

func healthyWeight(endpoints []steer.Endpoint) float64 {
	total := 0.0
	for _, x := range endpoints {
		if x.Health == steer.Healthy {
			total += float64(x.Weight)
		}
	}
	return math.Max(total, 1)
}

// addCluster adds a cluster of one pod, or of all servers if podID is nil, and
// returns the names of all clusters that a route to it depends on.
func (e *encoder) addCluster(service *Service, name string, dropPPM uint32, podID *int) []string {
	if !e.kind.SupportsTTL {
		e.addEDSCluster(service, name, false)
		e.addAssignment(name, dropPPM, podID, 0)
		return []string{name}
	}
	leased, fallback := name+leasedSuffix, name+fallbackSuffix
	e.addEDSCluster(service, leased, false)
	e.addEDSCluster(service, fallback, true)
	e.addAssignment(leased, dropPPM, podID, service.EndpointTTL)
	e.addFallbackAssignment(fallback, service.HealthCheckPath != "", podID, service.FallbackTTL)
	aggregate := &clusterv3.Cluster{
		Name:           name,
		ConnectTimeout: durationpb.New(service.ConnectTimeout),
		LbPolicy:       clusterv3.Cluster_CLUSTER_PROVIDED,
		ClusterDiscoveryType: &clusterv3.Cluster_ClusterType{ClusterType: &clusterv3.Cluster_CustomClusterType{
			Name: "envoy.clusters.aggregate", TypedConfig: e.any(&aggregatev3.ClusterConfig{Clusters: []string{leased, fallback}})}},
	}
	e.add(Cluster, name, aggregate, 0).clusterRefs = []string{leased, fallback}
	return []string{name, leased, fallback}
}

// addEDSCluster adds a cluster whose endpoints are served by EDS. For a fallback
// cluster the proxy runs active health checks.
func (e *encoder) addEDSCluster(service *Service, name string, fallback bool) {
	limit := wrapperspb.UInt32(max(e.view.MaxRequests, 1))
	cluster := &clusterv3.Cluster{
		Name:                 name,
		ConnectTimeout:       durationpb.New(service.ConnectTimeout),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: adsSource},
		LbPolicy:             clusterv3.Cluster_ROUND_ROBIN,
		CommonLbConfig: &clusterv3.Cluster_CommonLbConfig{
			LocalityConfigSpecifier: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig_{
				LocalityWeightedLbConfig: &clusterv3.Cluster_CommonLbConfig_LocalityWeightedLbConfig{}},
			// Disables panic mode, which would send requests to excluded servers.
			HealthyPanicThreshold: &typev3.Percent{Value: 0},
		},
		CircuitBreakers: &clusterv3.CircuitBreakers{Thresholds: []*clusterv3.CircuitBreakers_Thresholds{{
			MaxRequests: limit, MaxPendingRequests: limit, MaxConnections: limit,
			RetryBudget: &clusterv3.CircuitBreakers_Thresholds_RetryBudget{
				BudgetPercent: &typev3.Percent{Value: steer.RetryBudgetPercent}, MinRetryConcurrency: wrapperspb.UInt32(steer.MinRetryConcurrency)}}}},
		LrsServer:                selfSource,
		LrsReportEndpointMetrics: []string{"cpu_utilization", "application_utilization"},
	}
	if e.kind.SupportsTTL {
		cluster.LbPolicy = clusterv3.Cluster_LEAST_REQUEST
	}
	if fallback && service.HealthCheckPath != "" {
		cluster.HealthChecks = []*corev3.HealthCheck{{
			Timeout:            durationpb.New(100 * time.Millisecond),
			Interval:           durationpb.New(100 * time.Millisecond),
			NoTrafficInterval:  durationpb.New(5 * time.Second), // rarely used, so checked rarely
			UnhealthyThreshold: wrapperspb.UInt32(1),
			HealthyThreshold:   wrapperspb.UInt32(1),
			HealthChecker: &corev3.HealthCheck_HttpHealthCheck_{
				HttpHealthCheck: &corev3.HealthCheck_HttpHealthCheck{Path: service.HealthCheckPath}},
		}}
	}
	e.add(Cluster, name, cluster, 0)
}

// addAssignment adds the endpoints of a cluster. Proxies that support TTLs also
// support endpoint weights and load reports by endpoint, so each zone is one
// locality. Other proxies weight and report by locality only, so each server is
// a locality of its own, with the server's ID as sub-zone.
func (e *encoder) addAssignment(name string, dropPPM uint32, podID *int, ttl time.Duration) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: name, Policy: &endpointv3.ClusterLoadAssignment_Policy{}}
	if dropPPM > 0 {
		assignment.Policy.DropOverloads = []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{{Category: "overload",
			DropPercentage: &typev3.FractionalPercent{Numerator: dropPPM, Denominator: typev3.FractionalPercent_MILLION}}}
	}
	var active []string
	if e.confirmed || ttl == 0 {
		active = e.fillEndpoints(assignment, podID)
	}
	e.add(Endpoint, name, assignment, ttl).activeAddrs = active
}

func (e *encoder) fillEndpoints(assignment *endpointv3.ClusterLoadAssignment, podID *int) (active []string) {
	priority, statePriority := -1, uint32(math.MaxUint32)
	for _, stateLocality := range e.view.Localities {
		totalWeight, ownWeight := healthyWeight(stateLocality.Endpoints), 0.0
		var locality *endpointv3.LocalityLbEndpoints
		for _, server := range stateLocality.Endpoints {
			if podID != nil && server.Cell != *podID {
				continue
			}
			ep, err := endpoint(server.Addr)
			if err != nil {
				if e.err == nil {
					e.err = err
				}
				continue
			}
			if stateLocality.Priority != statePriority { // EDS priorities must be contiguous
				priority, statePriority = priority+1, stateLocality.Priority
			}
			endpointWeight := 0.0
			if server.Health == steer.Healthy {
				endpointWeight = float64(server.Weight)
				active = append(active, server.Addr)
			}
			ownWeight += endpointWeight
			ep.HealthStatus = healthStatuses[server.Health]
			if e.kind.SupportsTTL {
				if locality == nil {
					locality = &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: stateLocality.Zone}, Priority: uint32(priority)}
					assignment.Endpoints = append(assignment.Endpoints, locality)
				}
				ep.LoadBalancingWeight = wrapperspb.UInt32(max(server.Weight, 1))
				locality.LbEndpoints = append(locality.LbEndpoints, ep)
				locality.LoadBalancingWeight = weight(stateLocality, ownWeight/totalWeight)
				continue
			}
			assignment.Endpoints = append(assignment.Endpoints, &endpointv3.LocalityLbEndpoints{
				Locality:            &corev3.Locality{Zone: stateLocality.Zone, SubZone: string(server.ID)},
				Priority:            uint32(priority),
				LoadBalancingWeight: weight(stateLocality, endpointWeight/totalWeight),
				LbEndpoints:         []*endpointv3.LbEndpoint{ep},
			})
		}
	}
	slices.Sort(active)
	return active
}

// weight returns the weight of a fraction of a locality. It rounds down, so that
// rounding does not raise the load of a server that is warming up.
func weight(locality steer.Locality, fraction float64) *wrapperspb.UInt32Value {
	return wrapperspb.UInt32(uint32(math.Max(1, float64(locality.Weight)*fraction*1000)))
}

var healthStatuses = map[steer.Health]corev3.HealthStatus{
	steer.Healthy: corev3.HealthStatus_HEALTHY, steer.Draining: corev3.HealthStatus_DRAINING,
	steer.Excluded: corev3.HealthStatus_UNHEALTHY,
}

// addFallbackAssignment adds the endpoints of a fallback cluster: all healthy
// servers with equal weights, so that the resource seldom changes. Without a
// health check that detects drains it stays empty, because a proxy could
// otherwise keep sending requests to a draining server.
func (e *encoder) addFallbackAssignment(name string, hasHealthCheck bool, podID *int, ttl time.Duration) {
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	var active []string
	for _, locality := range e.view.Localities {
		for _, server := range locality.Endpoints {
			if !hasHealthCheck || server.Health != steer.Healthy || podID != nil && server.Cell != *podID {
				continue
			}
			ep, err := endpoint(server.Addr)
			if err != nil {
				continue // fillEndpoints has reported it
			}
			active = append(active, server.Addr)
			assignment.Endpoints = append(assignment.Endpoints, &endpointv3.LocalityLbEndpoints{
				Locality:            &corev3.Locality{Zone: locality.Zone, SubZone: string(server.ID)},
				LoadBalancingWeight: wrapperspb.UInt32(1),
				LbEndpoints:         []*endpointv3.LbEndpoint{ep},
			})
		}
	}
	slices.SortFunc(assignment.Endpoints, func(a, b *endpointv3.LocalityLbEndpoints) int {
		return slices.Compare([]string{a.Locality.Zone, a.Locality.SubZone}, []string{b.Locality.Zone, b.Locality.SubZone})
	})
	slices.Sort(active)
	e.add(Endpoint, name, assignment, ttl).activeAddrs = active
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

// addRoutes adds one route for each class, then one for requests without a
// known class, which are treated as unsafe and not as priority requests.
func (e *encoder) addRoutes(service *Service, clusterRefs []string) {
	host := &routev3.VirtualHost{Name: service.Name, Domains: []string{"*"}}
	classes := append(slices.Clone(service.Classes), Class{})
	for _, class := range classes {
		match := &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: ""}}
		if class.Name != "" {
			match.Headers = []*routev3.HeaderMatcher{{Name: ClassHeader,
				HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{StringMatch: &matcherv3.StringMatcher{
					MatchPattern: &matcherv3.StringMatcher_Exact{Exact: class.Name}}}}}
		}
		retry := steer.RetryRuleFor(class.Class)
		action := &routev3.RouteAction{RetryPolicy: e.retryPolicy(retry)}
		if retry.TotalTimeout > 0 {
			action.Timeout = durationpb.New(retry.TotalTimeout)
			action.MaxStreamDuration = &routev3.RouteAction_MaxStreamDuration{MaxStreamDuration: durationpb.New(retry.TotalTimeout)}
		}
		e.setTarget(service, class, action)
		host.Routes = append(host.Routes, &routev3.Route{Name: class.Name, Match: match,
			Action: &routev3.Route_Route{Route: action}})
	}
	routes := &routev3.RouteConfiguration{Name: service.Name, VirtualHosts: []*routev3.VirtualHost{host}}
	slices.Sort(clusterRefs)
	e.add(Route, service.Name, routes, 0).clusterRefs = clusterRefs
}

// setTarget sets the cluster of a class's route. A keyed request goes to one
// pod, chosen by weight, and its retries stay within that pod.
func (e *encoder) setTarget(service *Service, class Class, action *routev3.RouteAction) {
	pods := e.pods()
	if !steer.RetryRuleFor(class.Class).SamePod || len(pods) == 0 {
		action.ClusterSpecifier = &routev3.RouteAction_Cluster{Cluster: service.cluster(class.Priority)}
		return
	}
	totalWeight := 0.0
	for _, p := range pods {
		totalWeight += p.weight
	}
	weighted := &routev3.WeightedCluster{}
	for _, p := range pods {
		percent := uint32(1)
		if totalWeight > 0 {
			percent = uint32(math.Round(p.weight / totalWeight * 100)) // whole percents, so that routes seldom change
		}
		if percent == 0 && p.weight > 0 {
			percent = 1
		}
		weighted.Clusters = append(weighted.Clusters, &routev3.WeightedCluster_ClusterWeight{
			Name: service.podCluster(p.id, class.Priority), Weight: wrapperspb.UInt32(percent)})
	}
	action.ClusterSpecifier = &routev3.RouteAction_WeightedClusters{WeightedClusters: weighted}
}

// retryPolicy translates a retry rule into a route's retry policy.
func (e *encoder) retryPolicy(rule steer.RetryRule) *routev3.RetryPolicy {
	// Safe to retry because no server can have started the request: connection
	// failure, refused stream (RFC 9113, section 8.7), or the not-started header.
	policy := &routev3.RetryPolicy{RetryOn: "connect-failure,refused-stream,retriable-headers", NumRetries: wrapperspb.UInt32(steer.MaxAttempts - 1),
		RetriableHeaders: []*routev3.HeaderMatcher{{Name: notStarted, HeaderMatchSpecifier: &routev3.HeaderMatcher_StringMatch{
			StringMatch: &matcherv3.StringMatcher{MatchPattern: &matcherv3.StringMatcher_Exact{Exact: "1"}}}}}}
	if !rule.MayHaveRun {
		return policy
	}
	policy.RetryOn += ",reset,gateway-error,unavailable"
	if rule.AttemptTimeout > 0 {
		policy.PerTryTimeout = durationpb.New(rule.AttemptTimeout)
	}
	policy.RetryHostPredicate = []*routev3.RetryPolicy_RetryHostPredicate{{Name: "envoy.retry_host_predicates.previous_hosts",
		ConfigType: &routev3.RetryPolicy_RetryHostPredicate_TypedConfig{
			TypedConfig: e.any(&previoushostsv3.PreviousHostsPredicate{})}}}
	policy.HostSelectionRetryMaxAttempts = 3
	// Retries go to the next priority, so that the failure of a whole zone does
	// not fail the retry too.
	policy.RetryPriority = &routev3.RetryPolicy_RetryPriority{Name: "envoy.retry_priorities.previous_priorities",
		ConfigType: &routev3.RetryPolicy_RetryPriority_TypedConfig{
			TypedConfig: e.any(&previousprioritiesv3.PreviousPrioritiesConfig{UpdateFrequency: 1})}}
	policy.RetryBackOff = &routev3.RetryPolicy_RetryBackOff{
		BaseInterval: durationpb.New(25 * time.Millisecond), MaxInterval: durationpb.New(250 * time.Millisecond)}
	return policy
}
