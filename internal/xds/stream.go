package xds

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"ivylock/steer"
)

// ttlClientFeature is the client feature of proxies that support resource TTLs
// (xDS protocol, "Time to live").
const ttlClientFeature = "xds.config.supports-resource-ttl"

// discoveryService implements the aggregated discovery service (ADS) in both variants.
type discoveryService struct{ s *Server }

// transport hides the differences between streams of the two variants.
type transport struct {
	ctx  context.Context
	recv func() (Request, *corev3.Node, error)
	send func(*Response) error
}

// StreamAggregatedResources serves a stream of the state-of-the-world variant.
func (a discoveryService) StreamAggregatedResources(g discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return a.s.serveDiscovery(false, transport{ctx: g.Context(),
		recv: func() (Request, *corev3.Node, error) {
			m, err := g.Recv()
			if err != nil {
				return Request{}, nil, err
			}
			r, err := sotwRequest(m)
			return r, m.GetNode(), err
		},
		send: func(r *Response) error {
			m := &discoveryv3.DiscoveryResponse{VersionInfo: r.Version, Nonce: r.Nonce, TypeUrl: r.Type.URL()}
			for _, x := range r.Resources {
				if x.TTL == 0 {
					m.Resources = append(m.Resources, x.Body)
					continue
				}
				wrapped, err := anypb.New(x.wrap(r.Heartbeat))
				if err != nil {
					return err
				}
				m.Resources = append(m.Resources, wrapped)
			}
			return g.Send(m)
		}})
}

// DeltaAggregatedResources serves a stream of the incremental variant.
func (a discoveryService) DeltaAggregatedResources(g discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return a.s.serveDiscovery(true, transport{ctx: g.Context(),
		recv: func() (Request, *corev3.Node, error) {
			m, err := g.Recv()
			if err != nil {
				return Request{}, nil, err
			}
			r, err := deltaRequest(m)
			return r, m.GetNode(), err
		},
		send: func(r *Response) error {
			m := &discoveryv3.DeltaDiscoveryResponse{SystemVersionInfo: r.Version, Nonce: r.Nonce, TypeUrl: r.Type.URL(),
				RemovedResources: r.Removed}
			for _, x := range r.Resources {
				m.Resources = append(m.Resources, x.wrap(r.Heartbeat))
			}
			return g.Send(m)
		}})
}

func sotwRequest(m *discoveryv3.DiscoveryRequest) (Request, error) {
	t, ok := typeFromURL(m.GetTypeUrl())
	if !ok {
		return Request{}, badRequest("resource type %q is not served", truncate(m.GetTypeUrl()))
	}
	return Request{Type: t, Nonce: m.GetResponseNonce(), RejectReason: rejectReason(m.GetErrorDetail()), Names: m.GetResourceNames()}, nil
}

func deltaRequest(m *discoveryv3.DeltaDiscoveryRequest) (Request, error) {
	t, ok := typeFromURL(m.GetTypeUrl())
	if !ok {
		return Request{}, badRequest("resource type %q is not served", truncate(m.GetTypeUrl()))
	}
	return Request{Type: t, Nonce: m.GetResponseNonce(), RejectReason: rejectReason(m.GetErrorDetail()),
		Subscribe: m.GetResourceNamesSubscribe(), Unsubscribe: m.GetResourceNamesUnsubscribe(), InitialVersions: m.GetInitialResourceVersions()}, nil
}

// wrap returns the message that wraps a resource; for a heartbeat it has no body.
func (r *Resource) wrap(heartbeat bool) *discoveryv3.Resource {
	w := &discoveryv3.Resource{Name: r.Name, Version: r.Version}
	if r.TTL > 0 {
		w.Ttl = durationpb.New(r.TTL)
	}
	if !heartbeat {
		w.Resource = r.Body
	}
	return w
}

func truncate(s string) string { return s[:min(len(s), 200)] }

func badRequest(format string, args ...any) error {
	return status.Errorf(codes.InvalidArgument, format, args...)
}

// rejectReason returns the reason of a NACK, which is never empty, or "" for an
// ACK.
func rejectReason(st interface {
	GetMessage() string
	GetCode() int32
}) string {
	if st == nil || st.GetCode() == 0 && st.GetMessage() == "" {
		return ""
	}
	if st.GetMessage() == "" {
		return "rejected without a reason"
	}
	return st.GetMessage()
}

// stream is one proxy's discovery stream.
type stream struct {
	proxy   steer.ProxyID
	node    *corev3.Node
	key     snapshotKey
	delta   bool
	changed chan struct{} // of capacity 1: signals a new state or new permissions

	mu            sync.Mutex // guards the fields below
	session       *Session
	snapshot      *Snapshot
	nacks         uint64
	sentVersions  [numTypes]uint64 // state version of the last update sent, by type
	inSyncVersion uint64           // newest state version that the proxy was in sync with
}

func (x *stream) notify() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

func (x *stream) hasUnacked() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.session.AckDeadline(0)
	return ok
}

// proxyID combines identity and node ID, as several proxies may share a certificate.
func proxyID(id string, node *corev3.Node) steer.ProxyID {
	return steer.ProxyID(id + " " + node.GetId())
}

// handleRequest passes a request to the session, reports its answer and logs rejections.
func (s *Server) handleRequest(stream *stream, request Request) error {
	stream.mu.Lock()
	defer stream.mu.Unlock()
	sub := &stream.session.subscriptions[request.Type]
	unacked, nacksBefore := sub.unacked != nil && !sub.unacked.Heartbeat, sub.nackCount
	err := stream.session.HandleRequest(s.now(), request)
	if unacked && sub.unacked == nil && s.cfg.OnAckOrNack != nil {
		reason := ""
		if sub.nackCount > nacksBefore {
			reason = sub.nackReason
		}
		s.cfg.OnAckOrNack(stream.proxy, stream.sentVersions[request.Type], reason)
	}
	nacks, reason := uint64(0), ""
	for t := range numTypes {
		nacks += stream.session.subscriptions[t].nackCount
		if t == request.Type {
			reason = stream.session.subscriptions[t].nackReason
		}
	}
	if nacks > stream.nacks {
		stream.nacks = nacks
		s.Counters.Nacks.Add(1)
		s.cfg.Log.Warn("proxy rejected an update", "proxy", string(stream.proxy), "type", request.Type.String(), "why", reason)
	}
	return err
}

// longestTTL returns the longest TTL among the resources of a response; 0: none
// has one.
func (r *Response) longestTTL() (longest time.Duration) {
	for _, x := range r.Resources {
		longest = max(longest, x.TTL)
	}
	return longest
}

func (s *Server) countResponse(r *Response) {
	s.Counters.Responses.Add(1)
	if r.Heartbeat {
		s.Counters.Heartbeats.Add(1)
		return
	}
	bytes := 0
	for _, x := range r.Resources {
		bytes += len(x.Body.GetValue())
	}
	s.Counters.ResourceBytes.Add(int64(bytes))
}

// streamError returns the status of a stream that failed to receive or send.
// Streams closed or canceled by the proxy are not logged.
func (s *Server) streamError(ctx context.Context, service, id string, err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	switch c := status.Code(err); {
	case c == codes.ResourceExhausted: // message over the size limit; gRPC has already ended the stream
		s.Counters.MalformedRequests.Add(1)
		s.cfg.Log.Warn("stream ended", "service", service, "proxy", id, "code", c, "why", err.Error())
		return err
	case c == codes.Canceled || c == codes.Unavailable || ctx.Err() != nil:
		return status.Error(codes.Canceled, "the proxy is gone")
	}
	s.Counters.MalformedRequests.Add(1)
	return s.rejectStream(ctx, service, id, err)
}
