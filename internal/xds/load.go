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
func (l loadReportingService) StreamLoadStats(stream lrsv3.LoadReportingService_StreamLoadStatsServer) error {
	s := l.s
	id, err := identity(stream.Context(), s.cfg.TLS == nil)
	if err == nil && s.visibleServices(id) == "" {
		err = status.Error(codes.PermissionDenied, "this identity may see no service")
	}
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.rejectStream(stream.Context(), loadReportsName, id, err)
	}
	m, err := stream.Recv()
	if err != nil {
		return s.streamError(stream.Context(), loadReportsName, id, err)
	}
	if m.GetNode().GetId() == "" {
		s.Counters.MalformedRequests.Add(1)
		return s.rejectStream(stream.Context(), loadReportsName, id, badRequest("the first request must name its node"))
	}
	proxy := proxyID(id, m.GetNode())
	if !s.admitLoadStream(proxy) {
		s.Counters.StreamsRefused.Add(1)
		return s.rejectStream(stream.Context(), loadReportsName, id, status.Error(codes.ResourceExhausted, "too many load streams"))
	}
	defer s.releaseLoadStream(proxy)
	if err := stream.Send(&lrsv3.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(s.cfg.LoadReportInterval)}); err != nil {
		return s.streamError(stream.Context(), loadReportsName, id, err)
	}
	minInterval := s.cfg.LoadReportInterval / 4
	last := time.Time{}
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return s.streamError(stream.Context(), loadReportsName, id, err)
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
	index := map[steer.Load]int{} // into report.Loads, by the server's ID or address
	entries := 0
	add := func(key steer.Load, counts requestCounts) (issued uint64, utilisation *float64) {
		// Some proxies leave out the issued requests and count the completed ones only.
		issued = max(counts.GetTotalIssuedRequests(), counts.GetTotalSuccessfulRequests()+counts.GetTotalErrorRequests())
		if key.Server == "" && key.Addr == "" {
			return issued, nil
		}
		i, ok := index[key]
		if !ok {
			i = len(report.Loads)
			index[key] = i
			report.Loads = append(report.Loads, key)
		}
		load := &report.Loads[i]
		load.Issued += issued
		load.OK += counts.GetTotalSuccessfulRequests()
		load.Errors += counts.GetTotalErrorRequests()
		load.InFlight += counts.GetTotalRequestsInProgress()
		return issued, &load.Utilisation
	}
	for _, cluster := range stats {
		if d := cluster.GetLoadReportInterval(); d != nil {
			if v := d.AsDuration(); v > 0 && v < time.Minute {
				report.Interval = v
			}
		}
		arrived := cluster.GetTotalDroppedRequests()
		for _, locality := range cluster.GetUpstreamLocalityStats() {
			if entries += 1 + len(locality.GetUpstreamEndpointStats()); entries > maxReportEntries {
				return report, false
			}
			if endpoints := locality.GetUpstreamEndpointStats(); len(endpoints) > 0 {
				for _, endpoint := range endpoints {
					socket := endpoint.GetAddress().GetSocketAddress()
					issued, _ := add(steer.Load{Addr: net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(socket.GetPortValue())))}, endpoint)
					arrived += issued
				}
				continue
			}
			issued, utilisation := add(steer.Load{Server: steer.ServerID(locality.GetLocality().GetSubZone())}, locality)
			arrived += issued
			for _, metric := range []*endpointv3.UnnamedEndpointLoadMetricStats{locality.GetApplicationUtilization(), locality.GetCpuUtilization()} {
				if finished := metric.GetNumRequestsFinishedWithMetric(); finished > 0 && utilisation != nil {
					*utilisation = max(*utilisation, metric.GetTotalMetricValue()/float64(finished))
				}
			}
		}
		if isPriority(cluster.GetClusterName()) {
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
