package main

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	rpc "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/durationpb"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
)

// steeredProxy asks for clusters and endpoints; answer says how it answers what comes
// once on is closed: "" accepts, "-" is silent, else it refuses.
func steeredProxy(ctx context.Context, conn *grpc.ClientConn, name string, on <-chan struct{}, answer string) error {
	g, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	const clusters, routes = "type.googleapis.com/envoy.config.cluster.v3.Cluster", "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	node := &corev3.Node{Id: name, Locality: &corev3.Locality{Zone: "hall-nord"}}
	for _, r := range []*discoveryv3.DiscoveryRequest{{Node: node, TypeUrl: clusters}, {TypeUrl: routes, ResourceNames: []string{"clips"}}} {
		if err := g.Send(r); err != nil {
			return err
		}
	}
	for {
		m, err := g.Recv()
		if err != nil {
			return err
		}
		r := &discoveryv3.DiscoveryRequest{TypeUrl: m.TypeUrl, ResponseNonce: m.Nonce, VersionInfo: m.VersionInfo}
		if m.TypeUrl == routes {
			r.ResourceNames = []string{"clips"}
		}
		select {
		case <-on:
			if answer == "-" {
				<-ctx.Done()
				return ctx.Err()
			}
			if answer != "" {
				r.ErrorDetail = &rpc.Status{Code: 3, Message: answer}
			}
		default:
		}
		if err := g.Send(r); err != nil {
			return err
		}
	}
}

// report sends load reports that name the servers, all of them, for as long as it may.
func report(ctx context.Context, conn *grpc.ClientConn, name string, servers []string) error {
	g, err := lrsv3.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	if err := g.Send(&lrsv3.LoadStatsRequest{Node: &corev3.Node{Id: name, Locality: &corev3.Locality{Zone: "hall-nord"}}}); err != nil {
		return err
	}
	for t := time.NewTicker(200 * time.Millisecond); ; {
		var l []*endpointv3.UpstreamLocalityStats
		for _, s := range servers {
			l = append(l, &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{SubZone: s}, TotalIssuedRequests: 4, TotalSuccessfulRequests: 4})
		}
		if err := g.Send(&lrsv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{{ClusterName: "clips/other",
			LoadReportInterval: durationpb.New(200 * time.Millisecond), UpstreamLocalityStats: l}}}); err != nil {
			return err
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Proxies beside a control service as a process: one accepts a drain and goes on
// sending, by its load reports; one turns it down; one answers nothing. The service
// names each and why, and nobody else.
func TestProxiesThatDoNotFollowAreNamed(t *testing.T) {
	start := time.Now()
	d := hosts.NewService(10, func() time.Duration { return time.Since(start) }, func(history.Event) {},
		func(_, server string) string { return "127.0.0.1:1" + server[2:] })
	defer d.Close()
	entry := func(i int, lifecycle string) hosts.Entry {
		return hosts.Entry{InstanceID: fmt.Sprintf("s-00%d", i), Zone: "hall-nord", MachineType: "std-6", Lifecycle: lifecycle, Weight: 6}
	}
	for i := range 4 {
		d.SetNow(entry(i, hosts.Up))
	}
	at, err := d.Listen("control")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(good, "127.0.0.1:1\"", at+"\"\nack_within = \"2s\"\nprobe = \"tcp\"", 1)
	control := serve(t, text)
	conn, err := grpc.NewClient("passthrough:///"+control.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*patience)
	defer cancel()
	on := make(chan struct{})
	all := []string{"s-000", "s-001", "s-002", "s-003"}
	for name, answer := range map[string]string{"follows": "", "goes-on": "", "refuses": "no such field", "frozen": "-"} {
		go steeredProxy(ctx, conn, name, on, answer)
		sends := all
		if name != "goes-on" {
			sends = all[1:]
		}
		go func() {
			for ctx.Err() == nil && report(ctx, conn, name, sends) != nil { // it is heard once its discovery stream stands
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	close(on)
	d.SetNow(entry(0, hosts.Draining))
	want := map[string]string{"goes-on": "accepts and does not act", "refuses": "no such field", "frozen": "without an answer"}
	for end := time.Now().Add(patience); ; time.Sleep(50 * time.Millisecond) {
		named := map[string]bool{}
		for _, l := range strings.Split(control.said(), "\n") {
			if !strings.Contains(l, "does not follow") {
				continue
			}
			if strings.Contains(l, "follows\"") {
				t.Errorf("it names one that follows: %s", l)
			}
			for name, why := range want {
				if strings.Contains(l, " "+name) && strings.Contains(l, why) {
					named[name] = true
				}
			}
		}
		if len(named) == len(want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("named are %v; its log: %s", named, control.said())
		}
	}
}
