package xds

import (
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	lrsv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"ivylock/steer"
)

// maxLoads is how many entries of one load report are read.
const maxLoads = 16384

// reports is the load reporting service.
type reports struct{ s *Server }

// StreamLoadStats takes one proxy's load reports. The proxy is that of the
// discovery stream with the same identity and node; who has none is not heard.
func (l reports) StreamLoadStats(g lrsv3.LoadReportingService_StreamLoadStatsServer) error {
	s := l.s
	id, err := identity(g.Context(), s.cfg.TLS == nil)
	if err == nil && s.visible(id) == "" {
		err = status.Error(codes.PermissionDenied, "this identity may see no service")
	}
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.refuse(g.Context(), "load reports", id, err)
	}
	m, err := g.Recv()
	if err != nil {
		return s.broken(g.Context(), id, err)
	}
	if m.GetNode().GetId() == "" {
		s.Counters.MalformedRequests.Add(1)
		return s.refuse(g.Context(), "load reports", id, badRequest("the first request must name its node"))
	}
	proxy := proxyID(id, m.GetNode())
	if !s.begin(proxy) {
		s.Counters.StreamsRefused.Add(1)
		return s.refuse(g.Context(), "load reports", id, status.Error(codes.ResourceExhausted, "too many load streams"))
	}
	defer s.finish(proxy)
	if err := g.Send(&lrsv3.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(s.cfg.LoadReportInterval)}); err != nil {
		return s.broken(g.Context(), id, err)
	}
	least := s.cfg.LoadReportInterval / 4
	last := time.Time{}
	for {
		m, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return s.broken(g.Context(), id, err)
		}
		if now := time.Now(); now.Sub(last) < least {
			s.Counters.LoadReportsRejected.Add(1) // guards against a flood
			continue
		} else {
			last = now
		}
		e, ok := ParseLoadReport(proxy, m.GetClusterStats(), s.cfg.LoadReportInterval)
		if !ok {
			s.Counters.LoadReportsRejected.Add(1)
			continue
		}
		s.Counters.LoadReports.Add(1)
		if s.cfg.OnLoadReport != nil {
			s.cfg.OnLoadReport(e)
		}
	}
}

func (s *Server) begin(proxy steer.ProxyID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loads) >= s.cfg.MaxDiscoveryStreams && s.loads[proxy] == 0 || s.loads[proxy] >= s.cfg.MaxStreamsPerProxy {
		return false
	}
	s.loads[proxy]++
	return true
}

func (s *Server) finish(proxy steer.ProxyID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loads[proxy]--; s.loads[proxy] <= 0 {
		delete(s.loads, proxy)
	}
}

// counts is what a report says of a locality or of an endpoint.
type counts interface {
	GetTotalIssuedRequests() uint64
	GetTotalSuccessfulRequests() uint64
	GetTotalErrorRequests() uint64
	GetTotalRequestsInProgress() uint64
}

// ParseLoadReport reads a load report. Servers are told apart by their address, or by the
// sub-zone that they were given; the same server may occur in several clusters. Without an
// interval of its own the report counts for the one that was asked for.
func ParseLoadReport(proxy steer.ProxyID, stats []*endpointv3.ClusterStats, every time.Duration) (steer.LoadReported, bool) {
	e := steer.LoadReported{Proxy: proxy, Interval: every}
	at := map[steer.Load]int{} // by what names a server
	n := 0
	add := func(who steer.Load, x counts) (issued uint64, use *float64) {
		// A proxy that does not count what it issues counts what ended.
		issued = max(x.GetTotalIssuedRequests(), x.GetTotalSuccessfulRequests()+x.GetTotalErrorRequests())
		if who.Server == "" && who.Addr == "" {
			return issued, nil
		}
		i, ok := at[who]
		if !ok {
			i = len(e.Loads)
			at[who] = i
			e.Loads = append(e.Loads, who)
		}
		l := &e.Loads[i]
		l.Issued += issued
		l.OK += x.GetTotalSuccessfulRequests()
		l.Errors += x.GetTotalErrorRequests()
		l.InFlight += x.GetTotalRequestsInProgress()
		return issued, &l.Utilisation
	}
	for _, c := range stats {
		if d := c.GetLoadReportInterval(); d != nil {
			if v := d.AsDuration(); v > 0 && v < time.Minute {
				e.Interval = v
			}
		}
		arrived := c.GetTotalDroppedRequests()
		for _, l := range c.GetUpstreamLocalityStats() {
			if n += 1 + len(l.GetUpstreamEndpointStats()); n > maxLoads {
				return e, false
			}
			if all := l.GetUpstreamEndpointStats(); len(all) > 0 {
				for _, x := range all {
					s := x.GetAddress().GetSocketAddress()
					issued, _ := add(steer.Load{Addr: net.JoinHostPort(s.GetAddress(), strconv.Itoa(int(s.GetPortValue())))}, x)
					arrived += issued
				}
				continue
			}
			issued, use := add(steer.Load{Server: steer.ServerID(l.GetLocality().GetSubZone())}, l)
			arrived += issued
			for _, u := range []*endpointv3.UnnamedEndpointLoadMetricStats{l.GetApplicationUtilization(), l.GetCpuUtilization()} {
				if k := u.GetNumRequestsFinishedWithMetric(); k > 0 && use != nil {
					*use = max(*use, u.GetTotalMetricValue()/float64(k))
				}
			}
		}
		if isPriority(c.GetClusterName()) {
			e.PriorityArrivals += arrived
		} else {
			e.OtherArrivals += arrived
		}
	}
	return e, true
}

// isPriority tells a cluster's rank by its name.
func isPriority(cluster string) bool {
	cluster = strings.TrimSuffix(strings.TrimSuffix(cluster, leasedSuffix), heldSuffix)
	return strings.HasSuffix(cluster, "/"+rankName(true))
}
