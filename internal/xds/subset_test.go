package xds

import (
	"fmt"
	"slices"
	"testing"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"ivylock/fleet/subset"
	"ivylock/steer"
)

// Each proxy must get exactly the servers of its group, and a proxy with a full
// view all servers.
func TestProxyGetsServersOfItsGroup(t *testing.T) {
	ids := map[string]steer.ProxyID{}
	joined := make(chan steer.ProxyID, 10)
	s, addr := startServer(t, Config{OnJoined: func(p steer.ProxyID, _ string) { joined <- p }})
	subsetState := func(version uint64, draining int, fullView ...steer.ProxyID) *steer.State {
		health := make([]steer.Health, 64)
		for i := range health {
			if i == draining {
				health[i] = steer.Draining
			}
		}
		st := testState(version, health...)
		st.Subsetted, st.FullViewProxies = true, fullView
		endpoints := st.Views[""].Localities[0].Endpoints
		for i := range endpoints {
			order := subset.RankGroups(fmt.Sprint("pod-", i/2))
			endpoints[i].Groups = order.First(8)
		}
		return st
	}
	addresses := func(g sotwClient) (out []string) {
		t.Helper()
		m := recv(t, g)
		for _, raw := range m.Resources {
			var a endpointv3.ClusterLoadAssignment
			if err := raw.UnmarshalTo(&a); err != nil {
				t.Fatal(err)
			}
			for _, l := range a.Endpoints {
				for _, e := range l.LbEndpoints {
					port := e.GetEndpoint().Address.GetSocketAddress().GetPortValue()
					out = append(out, fmt.Sprint("127.0.0.1:", port))
				}
			}
		}
		slices.Sort(out)
		return slices.Compact(out)
	}
	expected := func(st *steer.State, group int) (out []string) {
		for _, l := range st.View("a").ForGroup(group).Localities {
			for _, e := range l.Endpoints {
				if e.Health == steer.Healthy {
					out = append(out, e.Addr)
				}
			}
		}
		slices.Sort(out)
		return out
	}
	first := subsetState(1, -1)
	s.Publish(first)
	seen := map[string]bool{}
	streams := map[string]sotwClient{}
	for i := range 6 {
		name := fmt.Sprint("proxy-", i)
		g := openStream(t, dial(t, addr))
		send(t, g, &discoveryv3.DiscoveryRequest{Node: node(name), TypeUrl: Endpoint.URL(), ResourceNames: []string{"clips/other"}})
		got := addresses(g)
		ids[name] = <-joined
		if want := expected(first, first.GroupOf(ids[name])); !slices.Equal(got, want) || len(got) == 0 || len(got) > 32 {
			t.Errorf("%s of group %d got %d servers, want %d", name, first.GroupOf(ids[name]), len(got), len(want))
		}
		for _, a := range got {
			seen[a] = true
		}
		streams[name] = g
	}
	if len(seen) < 30 {
		t.Errorf("six proxies together got %d of 64 servers", len(seen))
	}
	// One proxy gets a full view, and a server drains.
	fullView := ids["proxy-0"]
	s.Publish(subsetState(2, 5, fullView))
	send(t, streams["proxy-0"], &discoveryv3.DiscoveryRequest{TypeUrl: Endpoint.URL(), ResourceNames: []string{"clips/other"}, ResponseNonce: "1"})
	if got := addresses(streams["proxy-0"]); len(got) < 63 {
		t.Errorf("proxy with a full view got %d servers", len(got))
	}
}
