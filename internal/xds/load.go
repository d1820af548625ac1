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

// maxReportEntries limits the localities and endpoints of one load report.
const maxReportEntries = 16384

// loadReportingService implements the load reporting service (LRS).
type loadReportingService struct{ s *Server }

// StreamLoadStats receives the load reports of one proxy, which is identified
// by the same identity and node ID as on its discovery stream.
func (l loadReportingService) StreamLoadStats(g lrsv3.LoadReportingService_StreamLoadStatsServer) error {
	s := l.s
	id, err := identity(g.Context(), s.cfg.TLS == nil)
	if err == nil && s.visibleServices(id) == "" {
		err = status.Error(codes.PermissionDenied, "this identity may see no service")
	}
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.rejectStream(g.Context(), "load reports", id, err)
	}
	m, err := g.Recv()
	if err != nil {
		return s.streamError(g.Context(), id, err)
	}
	if m.GetNode().GetId() == "" {
		s.Counters.MalformedRequests.Add(1)
		return s.rejectStream(g.Context(), "load reports", id, badRequest("the first request must name its node"))
	}
	proxy := proxyID(id, m.GetNode())
	if !s.admitLoadStream(proxy) {
		s.Counters.StreamsRefused.Add(1)
		return s.rejectStream(g.Context(), "load reports", id, status.Error(codes.ResourceExhausted, "too many load streams"))
	}
	defer s.releaseLoadStream(proxy)
	if err := g.Send(&lrsv3.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(s.cfg.LoadReportInterval)}); err != nil {
		return s.streamError(g.Context(), id, err)
	}
	minInterval := s.cfg.LoadReportInterval / 4
	last := time.Time{}
	for {
		m, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return s.streamError(g.Context(), id, err)
		}
		if now := time.Now(); now.Sub(last) < minInterval {
			s.Counters.LoadReportsRejected.Add(1) // limits the rate of reports
			continue
		} else {
			last = now
		}
		report, ok := ParseLoadReport(proxy, m.GetClusterStats(), s.cfg.LoadReportInterval)
		if !ok {
			s.Counters.LoadReportsRejected.Add(1)
			continue
		}
		s.Counters.LoadReports.Add(1)
		if s.cfg.OnLoadReport != nil {
			s.cfg.OnLoadReport(report)
		}
	}
}

func (s *Server) admitLoadStream(proxy steer.ProxyID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.loadStreams) >= s.cfg.MaxDiscoveryStreams && s.loadStreams[proxy] == 0 || s.loadStreams[proxy] >= s.cfg.MaxStreamsPerProxy {
		return false
	}
	s.loadStreams[proxy]++
	return true
}

func (s *Server) releaseLoadStream(proxy steer.ProxyID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadStreams[proxy]--; s.loadStreams[proxy] <= 0 {
		delete(s.loadStreams, proxy)
	}
}

// requestCounts are the counters that localities and endpoints of a load report have in common.
type requestCounts interface {
	GetTotalIssuedRequests() uint64
	GetTotalSuccessfulRequests() uint64
	GetTotalErrorRequests() uint64
	GetTotalRequestsInProgress() uint64
}

// ParseLoadReport converts a load report and sums it up by server over all
// clusters. A server is identified by its address or, in a report by locality,
// by the sub-zone. defaultInterval is used for a report without an interval. It
// returns false if the report is too large.
func ParseLoadReport(proxy steer.ProxyID, stats []*endpointv3.ClusterStats, defaultInterval time.Duration) (steer.LoadReported, bool) {
	report := steer.LoadReported{Proxy: proxy, Interval: defaultInterval}
	index := map[steer.Load]int{} // into e.Loads, by the server's ID or address
	entries := 0
	add := func(key steer.Load, x requestCounts) (issued uint64, utilisation *float64) {
		// Some proxies leave out the issued requests and count the completed ones only.
		issued = max(x.GetTotalIssuedRequests(), x.GetTotalSuccessfulRequests()+x.GetTotalErrorRequests())
		if key.Server == "" && key.Addr == "" {
			return issued, nil
		}
		i, ok := index[key]
		if !ok {
			i = len(report.Loads)
			index[key] = i
			report.Loads = append(report.Loads, key)
		}
		l := &report.Loads[i]
		l.Issued += issued
		l.OK += x.GetTotalSuccessfulRequests()
		l.Errors += x.GetTotalErrorRequests()
		l.InFlight += x.GetTotalRequestsInProgress()
		return issued, &l.Utilisation
	}
	for _, c := range stats {
		if d := c.GetLoadReportInterval(); d != nil {
			if v := d.AsDuration(); v > 0 && v < time.Minute {
				report.Interval = v
			}
		}
		arrived := c.GetTotalDroppedRequests()
		for _, l := range c.GetUpstreamLocalityStats() {
			if entries += 1 + len(l.GetUpstreamEndpointStats()); entries > maxReportEntries {
				return report, false
			}
			if endpoints := l.GetUpstreamEndpointStats(); len(endpoints) > 0 {
				for _, x := range endpoints {
					s := x.GetAddress().GetSocketAddress()
					issued, _ := add(steer.Load{Addr: net.JoinHostPort(s.GetAddress(), strconv.Itoa(int(s.GetPortValue())))}, x)
					arrived += issued
				}
				continue
			}
			issued, utilisation := add(steer.Load{Server: steer.ServerID(l.GetLocality().GetSubZone())}, l)
			arrived += issued
			for _, u := range []*endpointv3.UnnamedEndpointLoadMetricStats{l.GetApplicationUtilization(), l.GetCpuUtilization()} {
				if finished := u.GetNumRequestsFinishedWithMetric(); finished > 0 && utilisation != nil {
					*utilisation = max(*utilisation, u.GetTotalMetricValue()/float64(finished))
				}
			}
		}
		if isPriority(c.GetClusterName()) {
			report.PriorityArrivals += arrived
		} else {
			report.OtherArrivals += arrived
		}
	}
	return report, true
}

// isPriority reports whether a cluster's name is one for priority requests.
func isPriority(cluster string) bool {
	cluster = strings.TrimSuffix(strings.TrimSuffix(cluster, leasedSuffix), fallbackSuffix)
	return strings.HasSuffix(cluster, "/"+rankSuffix(true))
}
