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

// These tests use a client that nobody here wrote: the xDS client of grpc-go.

// target is a stand-in server: it counts its calls.
type target struct {
	healthv1.UnimplementedHealthServer
	addr  string
	calls atomic.Int64
}

func (x *target) Check(context.Context, *healthv1.HealthCheckRequest) (*healthv1.HealthCheckResponse, error) {
	x.calls.Add(1)
	return &healthv1.HealthCheckResponse{}, nil
}

func targets(t *testing.T, n int) []*target {
	t.Helper()
	out := make([]*target, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		out[i] = &target{addr: l.Addr().String()}
		g := grpc.NewServer()
		healthv1.RegisterHealthServer(g, out[i])
		go g.Serve(l)
		t.Cleanup(g.Stop)
	}
	return out
}

// stateOf makes a state of stand-in servers.
func stateOf(version uint64, all []*target, weights []uint32, healths ...steer.Health) *steer.State {
	l := steer.Locality{Zone: "a", Weight: 1}
	for i, x := range all {
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

// caller calls the service by its xDS name.
func caller(t *testing.T, addr string) healthv1.HealthClient {
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

func call(h healthv1.HealthClient, class string) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := h.Check(metadata.AppendToOutgoingContext(ctx, ClassHeader, class), &healthv1.HealthCheckRequest{}, grpc.WaitForReady(true))
	return err
}

// until calls until a condition holds; every call must succeed.
func until(t *testing.T, h healthv1.HealthClient, what string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); {
		if time.Since(began) > patience {
			t.Fatalf("never: %s", what)
		}
		if err := call(h, "fetch"); err != nil {
			t.Fatalf("until %s: %v", what, err)
		}
	}
}

func reset(all []*target) {
	for _, x := range all {
		x.calls.Store(0)
	}
}

const (
	ok    = steer.Healthy
	drain = steer.Draining
)

func TestGrpcGoTakesWeightsADrainAndAReturn(t *testing.T) {
	var mu sync.Mutex
	var issued, inFlight uint64
	s, addr := up(t, Config{LoadReportInterval: 100 * time.Millisecond, OnLoadReport: func(l steer.LoadReported) {
		mu.Lock()
		defer mu.Unlock()
		for _, x := range l.Loads {
			issued, inFlight = issued+x.Issued, inFlight+x.InFlight
		}
	}})
	all := targets(t, 3)
	s.Publish(stateOf(1, all, []uint32{100, 200, 700}, ok, ok, ok))
	h := caller(t, addr)
	until(t, h, "all three are connected", func() bool {
		return all[0].calls.Load() > 0 && all[1].calls.Load() > 0 && all[2].calls.Load() > 0
	})
	reset(all)
	for range 1000 {
		if err := call(h, "fetch"); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []int64{100, 200, 700} {
		if n := all[i].calls.Load(); n < want-80 || n > want+80 { // 5 sigma at least
			t.Errorf("server %d got %d of 1000, its weight is %d", i, n, want)
		}
	}

	s.Publish(stateOf(2, all, []uint32{100, 200, 700}, ok, ok, drain))
	quiet := int64(0)
	until(t, h, "the drained server is left alone", func() bool {
		if n := all[2].calls.Swap(0); n > 0 {
			quiet = 0
		} else {
			quiet++
		}
		return quiet > 300
	})
	s.Publish(stateOf(3, all, []uint32{100, 200, 700}, ok, ok, ok))
	until(t, h, "it is back", func() bool { return all[2].calls.Load() > 0 })
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		n := issued
		mu.Unlock()
		if n >= 1000 {
			break
		}
		if time.Since(began) > patience {
			t.Fatalf("load reports tell of %d requests", n)
		}
	}
	if n := s.Counters.Nacks.Load(); n != 0 {
		t.Errorf("it rejected %d updates", n)
	}
}

func TestGrpcGoDropsWhatItIsTold(t *testing.T) {
	s, addr := up(t, Config{})
	all := targets(t, 2)
	st := stateOf(1, all, []uint32{1000, 1000}, ok, ok)
	st.Views[""].DropOtherPPM, st.Views[""].DropPriorityPPM = 400_000, 100_000
	s.Publish(st)
	h := caller(t, addr)
	for _, c := range []struct {
		class string
		part  int
	}{{"fetch", 400}, {"order", 100}, {"", 400}} {
		dropped := 0
		for range 1000 {
			switch err := call(h, c.class); status.Code(err) {
			case codes.OK:
			case codes.Unavailable:
				dropped++
			default:
				t.Fatal(err)
			}
		}
		if dropped < c.part-90 || dropped > c.part+90 {
			t.Errorf("class %q: %d of 1000 dropped, %d stated", c.class, dropped, c.part)
		}
	}
}

// The control service goes away, comes back at its place with a version that
// means nothing to the proxy, and with a drain: no call fails, and the state is
// the new one.
func TestGrpcGoSurvivesARestart(t *testing.T) {
	s, addr := up(t, Config{})
	all := targets(t, 3)
	s.Publish(stateOf(77, all, []uint32{1000, 1000, 1000}, ok, ok, ok))
	h := caller(t, addr)
	var failed, done atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := call(h, "order"); err != nil {
					failed.Add(1)
					t.Errorf("call %d: %v", done.Load(), err)
					return
				}
				done.Add(1)
			}
		}()
	}
	wait := func(what string, holds func() bool) {
		t.Helper()
		for began := time.Now(); !holds(); time.Sleep(5 * time.Millisecond) {
			if time.Since(began) > patience {
				t.Fatalf("never: %s", what)
			}
		}
	}
	wait("calls are answered", func() bool { return done.Load() > 100 })
	s.Stop()
	n := done.Load()
	wait("calls are answered without a control service", func() bool { return done.Load() > n+100 })
	// Its place may still be taken for a moment.
	var l net.Listener
	wait("its place is free", func() bool {
		var err error
		l, err = net.Listen("tcp", addr)
		return err == nil
	})
	again := New(Config{Access: Access{Services: []*Service{clips()}}})
	go again.Serve(l)
	defer again.Stop()
	unconfirmed := stateOf(1, all[:1], []uint32{1000}, ok)
	unconfirmed.Confirmed = false
	again.Publish(unconfirmed) // an old list: nobody is told
	again.Publish(stateOf(2, all, []uint32{1000, 1000, 1000}, ok, drain, ok))
	wait("the drain is kept", func() bool {
		all[1].calls.Store(0)
		n := done.Load()
		wait("more calls", func() bool { return done.Load() > n+100 || failed.Load() > 0 })
		return all[1].calls.Load() == 0
	})
	close(stop)
	callers.Wait()
}
