package xdsproxy

import (
	"math/rand/v2"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"

	"ivylock/balance"
	"ivylock/internal/xds"
	"ivylock/steer"
)

const ms = time.Millisecond

// receivedTable returns a table that has received every resource of a state.
func receivedTable(t *testing.T, health ...steer.Health) *table {
	t.Helper()
	l := steer.Locality{Zone: "a", Weight: 1}
	for i, h := range health {
		l.Endpoints = append(l.Endpoints, steer.Endpoint{ID: steer.ServerID(rune('a' + i)), Addr: "127.0.0.1:" + string(rune('1'+i)),
			Cell: i, Health: h, Weight: uint32(100 * (i + 1))})
	}
	st := &steer.State{Version: 1, Confirmed: true, Views: map[string]*steer.View{"": {Localities: []steer.Locality{l}, DropPriorityPPM: 250_000, MaxRequests: 8}}}
	s := &xds.Service{Name: "clips", EndpointTTL: 240 * ms, FallbackTTL: time.Minute, HealthCheckPath: "/healthz", ConnectTimeout: time.Second, Classes: []xds.Class{
		{Class: balance.Class{Name: "fetch", Effect: balance.Safe}}, {Class: balance.Class{Name: "broadcast", Effect: balance.Keyed, DedupWindow: time.Second}, Priority: true}}}
	snap, err := xds.Encode(st, []*xds.Service{s}, xds.Kind{SupportsTTL: true})
	if err != nil {
		t.Fatal(err)
	}
	p := New(Config{NodeID: "p", Clock: func() time.Duration { return 0 }})
	for _, ty := range []xds.Type{xds.Cluster, xds.Endpoint, xds.Route} {
		for _, n := range snap.Names(ty) {
			r := snap.Get(ty, n)
			if err := p.apply(ty.URL(), []resource{{n, r.Version, r.TTL, r.Body}}, nil, false); err != nil {
				t.Fatal(err)
			}
		}
	}
	return p.table
}

func TestWeightsAndDropsOfPicks(t *testing.T) {
	table := receivedTable(t, steer.Healthy, steer.Draining, steer.Healthy)
	rng := rand.New(rand.NewPCG(1, 1))
	got, refused := map[string]int{}, 0
	for range 4000 {
		s, dropped, ok := table.pick(0, "fetch", rng)
		if !ok || dropped {
			t.Fatal("no server, or dropped")
		}
		got[s.Addr]++
		if _, dropped, _ := table.pick(0, "broadcast", rng); dropped {
			refused++
		}
	}
	if got["127.0.0.1:2"] != 0 || got["127.0.0.1:3"] < 2*got["127.0.0.1:1"] || got["127.0.0.1:3"] > 4*got["127.0.0.1:1"] {
		t.Errorf("picks %v", got)
	}
	if refused < 850 || refused > 1150 {
		t.Errorf("%d of 4000 requests dropped, want about a quarter", refused)
	}
}

func TestLeaseExpiresWithoutATimelyHeartbeat(t *testing.T) {
	table := receivedTable(t, steer.Healthy)
	rng := rand.New(rand.NewPCG(1, 1))
	uses := func(now time.Duration) bool { _, _, ok := table.pick(now, "fetch", rng); return ok }
	version := table.endpoints["clips/other/leased"].version
	table.renew(200*ms, "clips/other/leased", "another", 240*ms)
	if !uses(239*ms) || table.endpoints["clips/other/leased"] == nil {
		t.Fatal("the lease expired early")
	}
	table.renew(239*ms, "clips/other/leased", version, 240*ms)
	if !uses(478 * ms) {
		t.Error("a timely heartbeat did not renew the lease")
	}
	if uses(479 * ms) {
		t.Error("the lease did not expire")
	}
	table.renew(480*ms, "clips/other/leased", version, 240*ms)
	if uses(480 * ms) {
		t.Error("a late heartbeat renewed an expired lease")
	}
	// Fallback endpoints need a recent health check of their own.
	if addrs := table.serversToCheck(480 * ms); len(addrs) != 1 || addrs[0] != "127.0.0.1:1" {
		t.Errorf("servers to check: %v", addrs)
	}
	table.lastHealthy["127.0.0.1:1"] = 480 * ms
	if !uses(480*ms+checkValidity) || uses(481*ms+checkValidity) {
		t.Error("the fallback is used without a valid health check, or not used with one")
	}
	table.lastHealthy["127.0.0.1:1"] = 2 * time.Minute
	if uses(2 * time.Minute) {
		t.Error("the fallback does not expire")
	}
}

func TestPickUsesTheBestPriorityWithHealthyServers(t *testing.T) {
	table := newTable()
	if err := table.setCluster(&clusterv3.Cluster{Name: ""}); err != nil {
		t.Fatal(err)
	}
	m := &endpointv3.ClusterLoadAssignment{}
	for i, h := range []corev3.HealthStatus{corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_HEALTHY} {
		m.Endpoints = append(m.Endpoints, &endpointv3.LocalityLbEndpoints{Priority: uint32(i),
			Locality: &corev3.Locality{SubZone: string(rune('a' + i))}, LbEndpoints: []*endpointv3.LbEndpoint{{HealthStatus: h,
				HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: &corev3.Address{
					Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{Address: string(rune('a' + i))}}}}}}}})
	}
	table.setEndpoints(0, "1", 0, m)
	if s, _, ok := table.pick(0, "x", rand.New(rand.NewPCG(1, 1))); !ok || s.Addr != "b:0" {
		t.Errorf("%+v, %v", s, ok)
	}
}
