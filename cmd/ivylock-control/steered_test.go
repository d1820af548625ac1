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

// runProxy subscribes to clusters and routes. answer is the reply to responses once armed is
// closed: "" accepts them, "-" sends nothing, anything else rejects them with that message.
func runProxy(ctx context.Context, conn *grpc.ClientConn, name string, armed <-chan struct{}, answer string) error {
	stream, err := discoveryv3.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	const clusters, routes = "type.googleapis.com/envoy.config.cluster.v3.Cluster",
		"type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
	node := &corev3.Node{Id: name, Locality: &corev3.Locality{Zone: "hall-nord"}}
	for _, request := range []*discoveryv3.DiscoveryRequest{
		{Node: node, TypeUrl: clusters}, {TypeUrl: routes, ResourceNames: []string{"clips"}}} {
		if err := stream.Send(request); err != nil {
			return err
		}
	}
	for {
		response, err := stream.Recv()
		if err != nil {
			return err
		}
		request := &discoveryv3.DiscoveryRequest{TypeUrl: response.TypeUrl, ResponseNonce: response.Nonce,
			VersionInfo: response.VersionInfo}
		if response.TypeUrl == routes {
			request.ResourceNames = []string{"clips"}
		}
		select {
		case <-armed:
			if answer == "-" {
				<-ctx.Done()
				return ctx.Err()
			}
			if answer != "" {
				request.ErrorDetail = &rpc.Status{Code: 3, Message: answer}
			}
		default:
		}
		if err := stream.Send(request); err != nil {
			return err
		}
	}
}

// sendLoadReports reports requests to all given servers until the context ends.
func sendLoadReports(ctx context.Context, conn *grpc.ClientConn, name string, servers []string) error {
	stream, err := lrsv3.NewLoadReportingServiceClient(conn).StreamLoadStats(ctx)
	if err != nil {
		return err
	}
	if err := stream.Send(&lrsv3.LoadStatsRequest{
		Node: &corev3.Node{Id: name, Locality: &corev3.Locality{Zone: "hall-nord"}}}); err != nil {
		return err
	}
	for ticker := time.NewTicker(200 * time.Millisecond); ; {
		var stats []*endpointv3.UpstreamLocalityStats
		for _, server := range servers {
			stats = append(stats, &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{SubZone: server},
				TotalIssuedRequests: 4, TotalSuccessfulRequests: 4})
		}
		if err := stream.Send(&lrsv3.LoadStatsRequest{ClusterStats: []*endpointv3.ClusterStats{{ClusterName: "clips/other",
			LoadReportInterval: durationpb.New(200 * time.Millisecond), UpstreamLocalityStats: stats}}}); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Of the connected proxies, one accepts a drain but keeps sending, one rejects it and one does not
// answer. The service must log each with its reason, and no other proxy.
func TestProxiesThatDoNotApplyStateAreLogged(t *testing.T) {
	start := time.Now()
	discovery := hosts.NewService(10, func() time.Duration { return time.Since(start) }, func(history.Event) {},
		func(_, server string) string { return "127.0.0.1:1" + server[2:] })
	defer discovery.Close()
	entry := func(i int, lifecycle string) hosts.Entry {
		return hosts.Entry{InstanceID: fmt.Sprintf("s-00%d", i), Zone: "hall-nord", MachineType: "std-6",
			Lifecycle: lifecycle, Weight: 6}
	}
	for i := range 4 {
		discovery.SetNow(entry(i, hosts.Up))
	}
	discoveryAddr, err := discovery.Listen("control")
	if err != nil {
		t.Fatal(err)
	}
	config := strings.Replace(minimalConfig, "127.0.0.1:1\"", discoveryAddr+"\"\nack_within = \"2s\"\nprobe = \"tcp\"", 1)
	control := startControl(t, config)
	conn, err := grpc.NewClient("passthrough:///"+control.addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*waitTimeout)
	defer cancel()
	armed := make(chan struct{})
	servers := []string{"s-000", "s-001", "s-002", "s-003"}
	for name, answer := range map[string]string{"follows": "", "goes-on": "", "refuses": "no such field", "frozen": "-"} {
		go runProxy(ctx, conn, name, armed, answer)
		targets := servers
		if name != "goes-on" {
			targets = servers[1:]
		}
		go func() {
			// Fails until the proxy's discovery stream is open.
			for ctx.Err() == nil && sendLoadReports(ctx, conn, name, targets) != nil {
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	close(armed)
	discovery.SetNow(entry(0, hosts.Draining))
	want := map[string]string{
		"goes-on": "accepts and does not act", "refuses": "no such field", "frozen": "without an answer"}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(50 * time.Millisecond) {
		logged := map[string]bool{}
		for _, line := range strings.Split(control.logText(), "\n") {
			if !strings.Contains(line, "does not follow") {
				continue
			}
			if strings.Contains(line, "follows\"") {
				t.Errorf("a proxy that applies the state is logged: %s", line)
			}
			for name, reason := range want {
				if strings.Contains(line, " "+name) && strings.Contains(line, reason) {
					logged[name] = true
				}
			}
		}
		if len(logged) == len(want) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("logged proxies: %v; log: %s", logged, control.logText())
		}
	}
}
