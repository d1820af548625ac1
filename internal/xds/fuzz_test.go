package xds

import (
	"context"
	"io"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"

	"ivylock/balance"
	"ivylock/steer"
)

// splitMessages splits bytes into messages, each preceded by its length in two bytes.
func splitMessages(data []byte) [][]byte {
	var out [][]byte
	for len(data) >= 2 {
		n := min(int(data[0])<<8|int(data[1]), len(data)-2)
		out = append(out, data[2:2+n])
		data = data[2+n:]
	}
	return out
}

func packMessages(f *testing.F, all ...proto.Message) []byte {
	var out []byte
	for _, m := range all {
		raw, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		out = append(append(out, byte(len(raw)>>8), byte(len(raw))), raw...)
	}
	return out
}

// Feeds arbitrary requests to a discovery stream: it must end with the last one
// and send only valid responses.
func FuzzDiscoveryStream(f *testing.F) {
	n := &corev3.Node{Id: "p", Locality: &corev3.Locality{Zone: "a"}, ClientFeatures: []string{ttlClientFeature}}
	f.Add(packMessages(f, &discoveryv3.DiscoveryRequest{Node: n, TypeUrl: Cluster.URL()},
		&discoveryv3.DiscoveryRequest{TypeUrl: Endpoint.URL(), ResourceNames: []string{"clips/other/leased"}, ResponseNonce: "1"},
		&discoveryv3.DiscoveryRequest{TypeUrl: Cluster.URL(), ResponseNonce: "1", ErrorDetail: &status.Status{Code: 3, Message: "no"}}), false)
	f.Add(packMessages(f, &discoveryv3.DeltaDiscoveryRequest{Node: n, TypeUrl: Endpoint.URL(), ResourceNamesSubscribe: []string{"*", "clips/other"},
		InitialResourceVersions: map[string]string{"clips/other": "1"}},
		&discoveryv3.DeltaDiscoveryRequest{TypeUrl: Endpoint.URL(), ResourceNamesUnsubscribe: []string{"*"}, ResponseNonce: "9"}), true)
	f.Add([]byte{0, 1, 255, 0, 0}, false)
	s := New(Config{Access: Access{Services: []*Service{testService()}}, AckTimeout: 50 * time.Millisecond, NewStreamRate: 1e6})
	s.Publish(testState(1, steer.Healthy, steer.Draining))
	f.Fuzz(func(t *testing.T, data []byte, delta bool) {
		queue := splitMessages(data)
		conn := transport{ctx: context.Background(),
			recv: func() (Request, *corev3.Node, error) {
				if len(queue) == 0 {
					return Request{}, nil, io.EOF
				}
				raw := queue[0]
				queue = queue[1:]
				if delta {
					m := &discoveryv3.DeltaDiscoveryRequest{}
					if err := proto.Unmarshal(raw, m); err != nil {
						return Request{}, nil, err
					}
					r, err := deltaRequest(m)
					return r, m.GetNode(), err
				}
				m := &discoveryv3.DiscoveryRequest{}
				if err := proto.Unmarshal(raw, m); err != nil {
					return Request{}, nil, err
				}
				r, err := sotwRequest(m)
				return r, m.GetNode(), err
			},
			send: func(r *Response) error {
				if r.Nonce == "" || r.Type >= numTypes {
					t.Errorf("sent %+v", r)
				}
				return nil
			}}
		s.serveDiscovery(delta, conn)
		if n := s.Counters.OpenStreams.Load(); n != 0 {
			t.Errorf("%d open streams left", n)
		}
		if len(s.openStreams()) != 0 || len(s.streamsByProxy) != 0 {
			t.Error("stream is still registered")
		}
	})
}

// Feeds arbitrary load reports to the decision module: weights and drop rates must stay in range.
func FuzzLoadReport(f *testing.F) {
	f.Add(packMessages(f, &lrsv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{{ClusterName: "clips/priority",
		UpstreamLocalityStats: []*endpointv3.UpstreamLocalityStats{{Locality: &corev3.Locality{SubZone: "s0"}, TotalIssuedRequests: 1 << 63,
			TotalSuccessfulRequests: 3, TotalRequestsInProgress: 1 << 62}}}}}))
	f.Add([]byte{0, 2, 8, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := steer.New(steer.Settings{Classes: []balance.Class{{TargetLatency: time.Second}}})
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		m.Handle(now, steer.ListReceived{Kind: steer.ListFull, Servers: []steer.Server{{ID: "s0", Addr: "h:1", Zone: "a"}, {ID: "s1", Addr: "h:2", Zone: "b"}}})
		m.Handle(now, steer.ProxyJoined{Proxy: "p", Zone: "a"})
		for _, raw := range splitMessages(data) {
			r := &lrsv3.LoadStatsRequest{}
			if proto.Unmarshal(raw, r) != nil {
				continue
			}
			if l, ok := ParseLoadReport("p", r.GetClusterStats(), time.Second); ok {
				m.Handle(now, l)
			}
			for range 15 {
				now += steer.TickInterval
				for _, a := range m.Handle(now, steer.Tick{}) {
					p, ok := a.(steer.Publish)
					if !ok {
						continue
					}
					for _, v := range p.State.Views {
						if v.DropOtherPPM > 1e6 || v.DropPriorityPPM > 1e6 || v.MaxRequests == 0 {
							t.Fatalf("%+v", v)
						}
						for _, l := range v.Localities {
							if l.Weight == 0 || l.Weight > steer.MaxWeight {
								t.Fatalf("%+v", l)
							}
							for _, e := range l.Endpoints {
								if e.Weight == 0 || e.Weight > steer.MaxWeight {
									t.Fatalf("%+v", e)
								}
							}
						}
					}
				}
			}
		}
	})
}
