package xds

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	cachetypes "github.com/envoyproxy/go-control-plane/pkg/cache/types"
	cachev3 "github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	resourcev3 "github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	serverv3 "github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"ivylock/steer"
)

// Size of the benchmark. Run it with
//
//	go test ./internal/xds -run xxx -bench Scale -benchtime 20x
const (
	scaleStreams = 1000
	scaleServers = 500
	scaleConns   = 100
)

// nonceCodec decodes only the nonce of a response, to keep the cost of the
// benchmark's clients low.
type nonceCodec struct{}

type nonceMessage struct {
	nonce string
	size  int
}

func (nonceCodec) Name() string { return "proto" }

func (nonceCodec) Marshal(v any) ([]byte, error) { return proto.Marshal(v.(proto.Message)) }

func (nonceCodec) Unmarshal(raw []byte, v any) error {
	x := v.(*nonceMessage)
	x.size = len(raw)
	for len(raw) > 0 {
		num, typ, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
		if num == 5 && typ == protowire.BytesType { // field number of the nonce in both variants
			s, n := protowire.ConsumeString(raw)
			if n < 0 {
				return protowire.ParseError(n)
			}
			x.nonce = s
		}
		n = protowire.ConsumeFieldValue(num, typ, raw)
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
	}
	return nil
}

// streamGroup is a set of streams that answer each response immediately.
type streamGroup struct {
	mu        sync.Mutex
	lastAt    []time.Time // time of the last response, by stream
	bytes     int64
	responses int
	round     chan struct{} // signals that all streams got a response
}

func scaleState(version uint64) *steer.State {
	l := steer.Locality{Zone: "a", Weight: 1}
	for i := range scaleServers {
		h := steer.Healthy
		if i == int(version)%scaleServers {
			h = steer.Draining
		}
		l.Endpoints = append(l.Endpoints, steer.Endpoint{ID: steer.ServerID("server-" + strconv.Itoa(i)),
			Addr: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250+1), Health: h, Weight: 1000})
	}
	return &steer.State{Version: version, Confirmed: true,
		Views: map[string]*steer.View{"": {Localities: []steer.Locality{l}, MaxRequests: 64}}}
}

// openStreams opens the streams, each subscribed to the endpoints of one cluster.
func (c *streamGroup) openStreams(b *testing.B, addr string, delta bool, cluster string, features ...string) {
	b.Helper()
	c.lastAt = make([]time.Time, scaleStreams)
	c.round = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var conns []*grpc.ClientConn
	for range scaleConns {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.ForceCodec(nonceCodec{})))
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
	method := "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
	if delta {
		method = "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources"
	}
	names := []string{cluster}
	for i := range scaleStreams {
		g, err := conns[i%scaleConns].NewStream(ctx, &grpc.StreamDesc{ServerStreams: true, ClientStreams: true}, method)
		if err != nil {
			b.Fatal(err)
		}
		request := func(nonce string) error {
			n := &corev3.Node{Id: "p" + strconv.Itoa(i), ClientFeatures: features}
			if !delta {
				return g.SendMsg(&discoveryv3.DiscoveryRequest{Node: n, TypeUrl: Endpoint.URL(), ResourceNames: names, ResponseNonce: nonce, VersionInfo: nonce})
			}
			m := &discoveryv3.DeltaDiscoveryRequest{Node: n, TypeUrl: Endpoint.URL(), ResponseNonce: nonce}
			if nonce == "" {
				m.ResourceNamesSubscribe = names
			}
			return g.SendMsg(m)
		}
		if err := request(""); err != nil {
			b.Fatal(err)
		}
		go func() {
			for {
				m := &nonceMessage{}
				if g.RecvMsg(m) != nil {
					return
				}
				now := time.Now()
				c.mu.Lock()
				c.bytes += int64(m.size)
				if m.size < 1000 { // a heartbeat
					c.mu.Unlock()
					if request(m.nonce) != nil {
						return
					}
					continue
				}
				c.lastAt[i] = now
				c.responses++
				complete := c.responses%scaleStreams == 0
				c.mu.Unlock()
				if complete {
					select {
					case c.round <- struct{}{}:
					default:
					}
				}
				if request(m.nonce) != nil {
					return
				}
			}
		}()
	}
}

func (c *streamGroup) waitRound(b *testing.B) {
	b.Helper()
	select {
	case <-c.round:
	case <-time.After(60 * time.Second):
		b.Fatalf("only %d responses", c.responses)
	}
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// measure changes the state b.N times and reports latencies, memory and CPU time.
func (c *streamGroup) measure(b *testing.B, heap uint64, change func(version uint64)) {
	b.Helper()
	c.waitRound(b)
	time.Sleep(200 * time.Millisecond)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	var latencies []time.Duration
	var slowest []time.Duration
	c.mu.Lock()
	c.bytes = 0
	c.mu.Unlock()
	cpuBefore := cpuTime()
	version := uint64(1)
	b.ResetTimer()
	for range b.N {
		version++
		start := time.Now()
		change(version)
		c.waitRound(b)
		b.StopTimer()
		c.mu.Lock()
		worst := time.Duration(0)
		for _, at := range c.lastAt {
			latencies = append(latencies, at.Sub(start))
			worst = max(worst, at.Sub(start))
		}
		c.mu.Unlock()
		slowest = append(slowest, worst)
		time.Sleep(100 * time.Millisecond) // lets the answers arrive
		b.StartTimer()
	}
	b.StopTimer()
	slices.Sort(latencies)
	slices.Sort(slowest)
	b.ReportMetric(float64(latencies[len(latencies)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e6, "p99-ms")
	b.ReportMetric(float64(slowest[len(slowest)/2])/1e6, "last-stream-ms")
	b.ReportMetric(float64(c.bytes)/float64(b.N)/scaleStreams, "B/stream")
	b.ReportMetric(float64(m.HeapAlloc-heap)/scaleStreams/1024, "kB-heap/stream")
	b.ReportMetric(float64(cpuTime()-cpuBefore)/1e6/float64(b.N), "cpu-ms/change")
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkScale(b *testing.B) {
	for _, delta := range []bool{false, true} {
		variant := map[bool]string{false: "sotw", true: "delta"}[delta]
		b.Run("ivylock/"+variant, func(b *testing.B) {
			heap := heapBytes()
			s := New(Config{Access: Access{Services: []*Service{testService()}}, NewStreamRate: 1e6})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go s.Serve(l)
			defer s.Stop()
			s.Publish(scaleState(1))
			c := &streamGroup{}
			c.openStreams(b, l.Addr().String(), delta, "clips/other")
			c.measure(b, heap, func(v uint64) { s.Publish(scaleState(v)) })
		})
		b.Run("leases/"+variant, func(b *testing.B) {
			heap := heapBytes()
			s := New(Config{Access: Access{Services: []*Service{testService()}}, NewStreamRate: 1e6})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go s.Serve(l)
			defer s.Stop()
			s.Publish(scaleState(1))
			c := &streamGroup{}
			c.openStreams(b, l.Addr().String(), delta, "clips/other/leased", ttlClientFeature)
			c.measure(b, heap, func(v uint64) { s.Publish(scaleState(v)) })
			cpuBefore, heartbeats := cpuTime(), s.Counters.Heartbeats.Load()
			time.Sleep(3 * time.Second)
			b.ReportMetric(float64(cpuTime()-cpuBefore)/1e6/3, "idle-cpu-ms/s")
			b.ReportMetric(float64(s.Counters.Heartbeats.Load()-heartbeats)/3/scaleStreams, "beats/stream/s")
			b.ReportMetric(float64(s.Counters.AckTimeouts.Load()), "resets")
		})
		b.Run("go-control-plane/"+variant, func(b *testing.B) {
			heap := heapBytes()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			cache := cachev3.NewSnapshotCache(false, sharedKey{}, nil)
			setSnapshot := func(v uint64) {
				snap, err := Encode(scaleState(v), []*Service{testService()}, Kind{})
				if err != nil {
					b.Fatal(err)
				}
				e := &endpointv3.ClusterLoadAssignment{}
				if err := snap.Get(Endpoint, "clips/other").Body.UnmarshalTo(e); err != nil {
					b.Fatal(err)
				}
				x, err := cachev3.NewSnapshot(strconv.FormatUint(v, 10), map[resourcev3.Type][]cachetypes.Resource{resourcev3.EndpointType: {e}})
				if err != nil {
					b.Fatal(err)
				}
				if err := cache.SetSnapshot(ctx, "all", x); err != nil {
					b.Fatal(err)
				}
			}
			setSnapshot(1)
			g := grpc.NewServer()
			discoveryv3.RegisterAggregatedDiscoveryServiceServer(g, serverv3.NewServer(ctx, cache, nil))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go g.Serve(l)
			defer g.Stop()
			c := &streamGroup{}
			c.openStreams(b, l.Addr().String(), delta, "clips/other")
			c.measure(b, heap, setSnapshot)
		})
	}
}

// sharedKey makes all proxies share one snapshot, like proxies of one zone here.
type sharedKey struct{}

func (sharedKey) ID(*corev3.Node) string { return "all" }
