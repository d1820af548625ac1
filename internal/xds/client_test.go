package xds

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/xds"

	"ivylock/steer"
)

// These tests run the xDS client of grpc-go against the server.

// countingBackend is a gRPC server that counts its calls.
type countingBackend struct {
	healthv1.UnimplementedHealthServer
	addr  string
	calls atomic.Int64
}

func (x *countingBackend) Check(context.Context, *healthv1.HealthCheckRequest) (*healthv1.HealthCheckResponse, error) {
	x.calls.Add(1)
	return &healthv1.HealthCheckResponse{}, nil
}

func startBackends(t *testing.T, n int) []*countingBackend {
	t.Helper()
	out := make([]*countingBackend, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		out[i] = &countingBackend{addr: l.Addr().String()}
		g := grpc.NewServer()
		healthv1.RegisterHealthServer(g, out[i])
		go g.Serve(l)
		t.Cleanup(g.Stop)
	}
	return out
}

// stateOf returns a state that lists the given backends.
func stateOf(version uint64, backends []*countingBackend, weights []uint32, healths ...steer.Health) *steer.State {
	l := steer.Locality{Zone: "a", Weight: 1}
	for i, x := range backends {
		l.Endpoints = append(l.Endpoints, steer.Endpoint{ID: steer.ServerID("s" + strconv.Itoa(i)), Addr: x.addr, Cell: i,
			Weight: weights[i], Health: healths[i]})
	}
	v := &steer.View{Localities: []steer.Locality{l}, MaxRequests: 1024}
	return &steer.State{Version: version, Confirmed: true, Views: map[string]*steer.View{"": v}}
}

func bootstrap(addr string) []byte {
	return fmt.Appendf(nil, `{"xds_servers":[{"server_uri":%q,"channel_creds":[{"type":"insecure"}],"server_features":["xds_v3"]}],
		"node":{"id":"grpc-go","locality":{"zone":"a"}}}`, addr)
}

// xdsClient returns a client that resolves the service by xDS.
func xdsClient(t *testing.T, addr string) healthv1.HealthClient {
	t.Helper()
	r, err := xds.NewXDSResolverWithConfigForTesting(bootstrap(addr))
	if err != nil {
		t.Fatal(err)
	}
	c, err := grpc.NewClient("xds:///clips", grpc.WithResolvers(r), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return healthv1.NewHealthClient(c)
}

func call(client healthv1.HealthClient, class string) error {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := client.Check(metadata.AppendToOutgoingContext(ctx, ClassHeader, class), &healthv1.HealthCheckRequest{}, grpc.WaitForReady(true))
	return err
}

// callUntil makes calls until a condition holds; every call must succeed.
func callUntil(t *testing.T, client healthv1.HealthClient, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); {
		if time.Since(start) > testTimeout {
			t.Fatalf("timed out waiting until %s", what)
		}
		if err := call(client, "fetch"); err != nil {
			t.Fatalf("call while waiting until %s: %v", what, err)
		}
	}
}

func resetCalls(backends []*countingBackend) {
	for _, x := range backends {
		x.calls.Store(0)
	}
}

const (
	healthy  = steer.Healthy
	draining = steer.Draining
)

func TestGRPCGoClientAppliesWeightsAndDrains(t *testing.T) {
	var mu sync.Mutex
	var issued, inFlight uint64
	s, addr := startServer(t, Config{LoadReportInterval: 100 * time.Millisecond, OnLoadReport: func(l steer.LoadReported) {
		mu.Lock()
		defer mu.Unlock()
		for _, x := range l.Loads {
			issued, inFlight = issued+x.Issued, inFlight+x.InFlight
		}
	}})
	backends := startBackends(t, 3)
	s.Publish(stateOf(1, backends, []uint32{100, 200, 700}, healthy, healthy, healthy))
	client := xdsClient(t, addr)
	callUntil(t, client, "all three servers are in use", func() bool {
		return backends[0].calls.Load() > 0 && backends[1].calls.Load() > 0 && backends[2].calls.Load() > 0
	})
	resetCalls(backends)
	for range 1000 {
		if err := call(client, "fetch"); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []int64{100, 200, 700} {
		if n := backends[i].calls.Load(); n < want-80 || n > want+80 { // at least 5 sigma
			t.Errorf("server %d got %d of 1000 calls, want about %d", i, n, want)
		}
	}

	s.Publish(stateOf(2, backends, []uint32{100, 200, 700}, healthy, healthy, draining))
	callsToOthers := int64(0)
	callUntil(t, client, "the draining server gets no calls", func() bool {
		if n := backends[2].calls.Swap(0); n > 0 {
			callsToOthers = 0
		} else {
			callsToOthers++
		}
		return callsToOthers > 300
	})
	s.Publish(stateOf(3, backends, []uint32{100, 200, 700}, healthy, healthy, healthy))
	callUntil(t, client, "the server is in use again", func() bool { return backends[2].calls.Load() > 0 })
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		n := issued
		mu.Unlock()
		if n >= 1000 {
			break
		}
		if time.Since(start) > testTimeout {
			t.Fatalf("load reports counted %d requests, want 1000", n)
		}
	}
	if n := s.Counters.Nacks.Load(); n != 0 {
		t.Errorf("client rejected %d updates", n)
	}
}

func TestGRPCGoClientAppliesDropRates(t *testing.T) {
	s, addr := startServer(t, Config{})
	backends := startBackends(t, 2)
	st := stateOf(1, backends, []uint32{1000, 1000}, healthy, healthy)
	st.Views[""].DropOtherPPM, st.Views[""].DropPriorityPPM = 400_000, 100_000
	s.Publish(st)
	client := xdsClient(t, addr)
	for _, c := range []struct {
		class       string
		wantDropped int
	}{{"fetch", 400}, {"order", 100}, {"", 400}} {
		dropped := 0
		for range 1000 {
			switch err := call(client, c.class); status.Code(err) {
			case codes.OK:
			case codes.Unavailable:
				dropped++
			default:
				t.Fatal(err)
			}
		}
		if dropped < c.wantDropped-90 || dropped > c.wantDropped+90 {
			t.Errorf("class %q: %d of 1000 calls dropped, want about %d", c.class, dropped, c.wantDropped)
		}
	}
}

// A control service restarts at the same address with unrelated versions and a
// drain: no call may fail, and the new state must be applied.
func TestGRPCGoClientSurvivesControlServiceRestart(t *testing.T) {
	s, addr := startServer(t, Config{})
	backends := startBackends(t, 3)
	s.Publish(stateOf(77, backends, []uint32{1000, 1000, 1000}, healthy, healthy, healthy))
	client := xdsClient(t, addr)
	var failed, done atomic.Int64
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for range 4 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := call(client, "order"); err != nil {
					failed.Add(1)
					t.Errorf("call %d: %v", done.Load(), err)
					return
				}
				done.Add(1)
			}
		}()
	}
	waitFor := func(what string, condition func() bool) {
		t.Helper()
		for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
			if time.Since(start) > testTimeout {
				t.Fatalf("timed out waiting until %s", what)
			}
		}
	}
	waitFor("calls are answered", func() bool { return done.Load() > 100 })
	s.Stop()
	n := done.Load()
	waitFor("calls are answered without a control service", func() bool { return done.Load() > n+100 })
	// The address may be in use for a moment.
	var l net.Listener
	waitFor("the address is free", func() bool {
		var err error
		l, err = net.Listen("tcp", addr)
		return err == nil
	})
	restarted := New(Config{Access: Access{Services: []*Service{testService()}}})
	go restarted.Serve(l)
	defer restarted.Stop()
	unconfirmed := stateOf(1, backends[:1], []uint32{1000}, healthy)
	unconfirmed.Confirmed = false
	restarted.Publish(unconfirmed) // outdated list: must not be sent to proxies
	restarted.Publish(stateOf(2, backends, []uint32{1000, 1000, 1000}, healthy, draining, healthy))
	waitFor("the draining server gets no calls", func() bool {
		backends[1].calls.Store(0)
		n := done.Load()
		waitFor("100 more calls are done", func() bool { return done.Load() > n+100 || failed.Load() > 0 })
		return backends[1].calls.Load() == 0
	})
	close(stop)
	workers.Wait()
}
