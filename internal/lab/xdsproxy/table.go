// Package xdsproxy is a stand-in for a proxy that is controlled over xDS: a client of both xDS
// variants with support for TTLs (client.go), and the choice of a server by the received resources
// (this file, which does no I/O).
//
// It follows the protocol and Envoy's documentation: a resource with a TTL is dropped when it was
// not renewed within the TTL; an aggregate cluster uses its first member that has a healthy
// endpoint; an endpoint of a cluster with a health check is used only after a recent successful
// check.
package xdsproxy

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	aggregatev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/clusters/aggregate/v3"
)

// Server is one endpoint of a cluster.
type Server struct {
	Addr     string
	priority uint32  // 0 is the highest
	weight   float64 // the locality's weight times the fraction that the endpoint has of it
}

// cluster holds the properties of a cluster that matter for picks.
type cluster struct {
	members       []string // of an aggregate cluster
	healthChecked bool
}

// assignment holds the endpoints of a cluster.
type assignment struct {
	version   string
	expiresAt time.Duration // end of its TTL; 0: none
	servers   []Server
	dropRatio float64 // fraction of the requests to refuse, 0 to 1
}

// table holds the resources that a proxy has received and that have not expired.
type table struct {
	clusters    map[string]cluster
	endpoints   map[string]*assignment
	routes      *routev3.RouteConfiguration
	lastHealthy map[string]time.Duration // by address, the time of the last successful health check
}

// checkValidity is how long a successful health check counts.
const checkValidity = 150 * time.Millisecond

func newTable() *table {
	return &table{clusters: map[string]cluster{}, endpoints: map[string]*assignment{}, lastHealthy: map[string]time.Duration{}}
}

func (t *table) setCluster(c *clusterv3.Cluster) error {
	x := cluster{healthChecked: len(c.GetHealthChecks()) > 0}
	if custom := c.GetClusterType(); custom != nil {
		aggregate := &aggregatev3.ClusterConfig{}
		if err := custom.GetTypedConfig().UnmarshalTo(aggregate); err != nil {
			return err
		}
		x.members = aggregate.GetClusters()
	}
	t.clusters[c.GetName()] = x
	return nil
}

func (t *table) setEndpoints(now time.Duration, version string, ttl time.Duration, assigned *endpointv3.ClusterLoadAssignment) {
	a := &assignment{version: version}
	if ttl > 0 {
		a.expiresAt = now + ttl
	}
	for _, drop := range assigned.GetPolicy().GetDropOverloads() {
		a.dropRatio += float64(drop.GetDropPercentage().GetNumerator()) / 1e6
	}
	for _, locality := range assigned.GetEndpoints() {
		sum := 0.0
		for _, endpoint := range locality.GetLbEndpoints() {
			if health := endpoint.GetHealthStatus(); health == corev3.HealthStatus_HEALTHY || health == corev3.HealthStatus_UNKNOWN {
				sum += float64(endpoint.GetLoadBalancingWeight().GetValue())
			}
		}
		for _, endpoint := range locality.GetLbEndpoints() {
			if health := endpoint.GetHealthStatus(); health != corev3.HealthStatus_HEALTHY && health != corev3.HealthStatus_UNKNOWN {
				continue
			}
			address := endpoint.GetEndpoint().GetAddress().GetSocketAddress()
			fraction := 1.0
			if sum > 0 {
				fraction = float64(endpoint.GetLoadBalancingWeight().GetValue()) / sum
			}
			a.servers = append(a.servers, Server{Addr: net.JoinHostPort(address.GetAddress(), strconv.Itoa(int(address.GetPortValue()))),
				priority: locality.GetPriority(), weight: float64(locality.GetLoadBalancingWeight().GetValue()) * fraction})
		}
	}
	t.endpoints[assigned.GetClusterName()] = a
}

// renew applies a heartbeat, which extends the TTL of an assignment of the same version that has not
// expired.
func (t *table) renew(now time.Duration, name, version string, ttl time.Duration) {
	if a := t.endpoints[name]; a != nil && a.version == version && a.expiresAt > now {
		a.expiresAt = now + ttl
	}
}

// expire drops expired assignments.
func (t *table) expire(now time.Duration) {
	for n, a := range t.endpoints {
		if a.expiresAt > 0 && now >= a.expiresAt {
			delete(t.endpoints, n)
		}
	}
}

// pick chooses a server for a request of a class. ok is false if no server is available. dropped is
// true if the request must be refused because of the cluster's drop ratio.
func (t *table) pick(now time.Duration, class string, rng *rand.Rand) (s Server, dropped, ok bool) {
	t.expire(now)
	name := t.route(class, rng)
	members := []string{name}
	if c := t.clusters[name]; len(c.members) > 0 {
		members = c.members
	}
	for _, n := range members {
		a := t.endpoints[n]
		if a == nil {
			continue
		}
		var usable []Server
		total, best := 0.0, uint32(0)
		for _, x := range a.servers {
			if t.clusters[n].healthChecked {
				if checkedAt, ok := t.lastHealthy[x.Addr]; !ok || now-checkedAt > checkValidity {
					continue
				}
			}
			if len(usable) == 0 || x.priority < best {
				usable, total, best = usable[:0], 0, x.priority
			}
			if x.priority == best {
				usable, total = append(usable, x), total+x.weight
			}
		}
		if len(usable) == 0 {
			continue
		}
		if rng.Float64() < a.dropRatio {
			return Server{}, true, true
		}
		draw := rng.Float64() * total
		for _, x := range usable {
			if draw -= x.weight; draw < 0 {
				return x, false, true
			}
		}
		return usable[len(usable)-1], false, true
	}
	return Server{}, false, false
}

// route returns the cluster for a request of a class, drawn by weight if its route has several, or
// "" if no route matches.
func (t *table) route(class string, rng *rand.Rand) string {
	for _, host := range t.routes.GetVirtualHosts() {
		for _, route := range host.GetRoutes() {
			matches := true
			for _, header := range route.GetMatch().GetHeaders() {
				matches = matches && header.GetStringMatch().GetExact() == class
			}
			if !matches {
				continue
			}
			weighted := route.GetRoute().GetWeightedClusters().GetClusters()
			if len(weighted) == 0 {
				return route.GetRoute().GetCluster()
			}
			total := uint32(0)
			for _, x := range weighted {
				total += x.GetWeight().GetValue()
			}
			draw := rng.Uint32N(max(total, 1))
			for _, x := range weighted {
				if v := x.GetWeight().GetValue(); draw < v {
					return x.GetName()
				} else {
					draw -= v
				}
			}
		}
	}
	return ""
}

// serversToCheck returns the addresses to check for health: for each aggregate cluster, the endpoints
// of its health-checked members up to the first other member that has endpoints.
func (t *table) serversToCheck(now time.Duration) []string {
	t.expire(now)
	added := map[string]bool{}
	var addrs []string
	for _, c := range t.clusters {
		if len(c.members) == 0 {
			continue
		}
		leased := false
		for _, n := range c.members {
			a := t.endpoints[n]
			if a == nil || leased {
				continue
			}
			if !t.clusters[n].healthChecked {
				leased = len(a.servers) > 0
				continue
			}
			for _, s := range a.servers {
				if !added[s.Addr] {
					added[s.Addr] = true
					addrs = append(addrs, s.Addr)
				}
			}
		}
	}
	return addrs
}
