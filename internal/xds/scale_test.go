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

// The scale of the measurement: not part of the checks. Run it with
//
//	go test ./internal/xds -run xxx -bench Scale -benchtime 20x
const (
	scaleStreams = 1000
	scaleServers = 500
	scaleConns   = 100
)

// thinCodec reads of a response only what its answer needs, so that the
// clients of the measurement cost little.
type thinCodec struct{}

type thin struct {
	nonce string
	size  int
}

func (thinCodec) Name() string { return "proto" }

func (thinCodec) Marshal(v any) ([]byte, error) { return proto.Marshal(v.(proto.Message)) }

func (thinCodec) Unmarshal(raw []byte, v any) error {
	x := v.(*thin)
	x.size = len(raw)
	for len(raw) > 0 {
		num, typ, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return protowire.ParseError(n)
		}
		raw = raw[n:]
		if num == 5 && typ == protowire.BytesType { // nonce, in both variants
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

// crowd is many streams that answer each response at once.
type crowd struct {
	mu    sync.Mutex
	at    []time.Time // of each stream's last response
	bytes int64
	count int
	more  chan struct{}
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

// join opens the streams, each for the endpoints of one cluster.
func (c *crowd) join(b *testing.B, addr string, delta bool, cluster string, features ...string) {
	b.Helper()
	c.at = make([]time.Time, scaleStreams)
	c.more = make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var conns []*grpc.ClientConn
	for range scaleConns {
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.ForceCodec(thinCodec{})))
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
		ask := func(nonce string) error {
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
		if err := ask(""); err != nil {
			b.Fatal(err)
		}
		go func() {
			for {
				m := &thin{}
				if g.RecvMsg(m) != nil {
					return
				}
				now := time.Now()
				c.mu.Lock()
				c.bytes += int64(m.size)
				if m.size < 1000 { // a heartbeat
					c.mu.Unlock()
					if ask(m.nonce) != nil {
						return
					}
					continue
				}
				c.at[i] = now
				c.count++
				whole := c.count%scaleStreams == 0
				c.mu.Unlock()
				if whole {
					select {
					case c.more <- struct{}{}:
					default:
					}
				}
				if ask(m.nonce) != nil {
					return
				}
			}
		}()
	}
}

func (c *crowd) wait(b *testing.B) {
	b.Helper()
	select {
	case <-c.more:
	case <-time.After(60 * time.Second):
		b.Fatalf("only %d responses", c.count)
	}
}

func cpu() time.Duration {
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// measure changes the state b.N times.
func (c *crowd) measure(b *testing.B, heap uint64, change func(version uint64)) {
	b.Helper()
	c.wait(b)
	time.Sleep(200 * time.Millisecond)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	var all []time.Duration
	var last []time.Duration
	c.mu.Lock()
	c.bytes = 0
	c.mu.Unlock()
	used := cpu()
	version := uint64(1)
	b.ResetTimer()
	for range b.N {
		version++
		from := time.Now()
		change(version)
		c.wait(b)
		b.StopTimer()
		c.mu.Lock()
		worst := time.Duration(0)
		for _, at := range c.at {
			all = append(all, at.Sub(from))
			worst = max(worst, at.Sub(from))
		}
		c.mu.Unlock()
		last = append(last, worst)
		time.Sleep(100 * time.Millisecond) // the answers
		b.StartTimer()
	}
	b.StopTimer()
	slices.Sort(all)
	slices.Sort(last)
	b.ReportMetric(float64(all[len(all)/2])/1e6, "p50-ms")
	b.ReportMetric(float64(all[len(all)*99/100])/1e6, "p99-ms")
	b.ReportMetric(float64(last[len(last)/2])/1e6, "last-stream-ms")
	b.ReportMetric(float64(c.bytes)/float64(b.N)/scaleStreams, "B/stream")
	b.ReportMetric(float64(m.HeapAlloc-heap)/scaleStreams/1024, "kB-heap/stream")
	b.ReportMetric(float64(cpu()-used)/1e6/float64(b.N), "cpu-ms/change")
}

func heapNow() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkScale(b *testing.B) {
	for _, delta := range []bool{false, true} {
		variant := map[bool]string{false: "sotw", true: "delta"}[delta]
		b.Run("ivylock/"+variant, func(b *testing.B) {
			heap := heapNow()
			s := New(Config{Access: Access{Services: []*Service{clips()}}, NewStreamRate: 1e6})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go s.Serve(l)
			defer s.Stop()
			s.Publish(scaleState(1))
			c := &crowd{}
			c.join(b, l.Addr().String(), delta, "clips/other")
			c.measure(b, heap, func(v uint64) { s.Publish(scaleState(v)) })
		})
		b.Run("leases/"+variant, func(b *testing.B) {
			heap := heapNow()
			s := New(Config{Access: Access{Services: []*Service{clips()}}, NewStreamRate: 1e6})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go s.Serve(l)
			defer s.Stop()
			s.Publish(scaleState(1))
			c := &crowd{}
			c.join(b, l.Addr().String(), delta, "clips/other/leased", ttlFeature)
			c.measure(b, heap, func(v uint64) { s.Publish(scaleState(v)) })
			used, beats := cpu(), s.Counters.Heartbeats.Load()
			time.Sleep(3 * time.Second)
			b.ReportMetric(float64(cpu()-used)/1e6/3, "idle-cpu-ms/s")
			b.ReportMetric(float64(s.Counters.Heartbeats.Load()-beats)/3/scaleStreams, "beats/stream/s")
			b.ReportMetric(float64(s.Counters.AckTimeouts.Load()), "resets")
		})
		b.Run("go-control-plane/"+variant, func(b *testing.B) {
			heap := heapNow()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			cache := cachev3.NewSnapshotCache(false, oneKey{}, nil)
			put := func(v uint64) {
				snap, err := Encode(scaleState(v), []*Service{clips()}, Kind{})
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
			put(1)
			g := grpc.NewServer()
			discoveryv3.RegisterAggregatedDiscoveryServiceServer(g, serverv3.NewServer(ctx, cache, nil))
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			go g.Serve(l)
			defer g.Stop()
			c := &crowd{}
			c.join(b, l.Addr().String(), delta, "clips/other")
			c.measure(b, heap, put)
		})
	}
}

// oneKey has all proxies share a snapshot, as those of one hall do here.
type oneKey struct{}

func (oneKey) ID(*corev3.Node) string { return "all" }
