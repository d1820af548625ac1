package xds

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"ivylock/fleet/subset"
	"ivylock/steer"
)

// ttlFeature is the word by which a proxy tells that it knows TTLs (xDS
// protocol, "Time to live").
const ttlFeature = "xds.config.supports-resource-ttl"

// lookAgain is when a stream looks whether what was published is current again.
const lookAgain = 10 * time.Millisecond

// ads is the aggregated discovery service in both variants.
type ads struct{ s *Server }

// variant is one stream of either variant: what is different between them.
type variant struct {
	ctx  context.Context
	recv func() (Request, *corev3.Node, error)
	send func(*Response) error
}

// StreamAggregatedResources is the state-of-the-world variant.
func (a ads) StreamAggregatedResources(g discoveryv3.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	return a.s.serve(false, variant{ctx: g.Context(),
		recv: func() (Request, *corev3.Node, error) {
			m, err := g.Recv()
			if err != nil {
				return Request{}, nil, err
			}
			r, err := wholeRequest(m)
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

// DeltaAggregatedResources is the incremental variant.
func (a ads) DeltaAggregatedResources(g discoveryv3.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	return a.s.serve(true, variant{ctx: g.Context(),
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

func wholeRequest(m *discoveryv3.DiscoveryRequest) (Request, error) {
	t, ok := typeOf(m.GetTypeUrl())
	if !ok {
		return Request{}, badRequest("resource type %q is not served", clip(m.GetTypeUrl()))
	}
	return Request{Type: t, Nonce: m.GetResponseNonce(), RejectReason: complaint(m.GetErrorDetail()), Names: m.GetResourceNames()}, nil
}

func deltaRequest(m *discoveryv3.DeltaDiscoveryRequest) (Request, error) {
	t, ok := typeOf(m.GetTypeUrl())
	if !ok {
		return Request{}, badRequest("resource type %q is not served", clip(m.GetTypeUrl()))
	}
	return Request{Type: t, Nonce: m.GetResponseNonce(), RejectReason: complaint(m.GetErrorDetail()),
		Subscribe: m.GetResourceNamesSubscribe(), Unsubscribe: m.GetResourceNamesUnsubscribe(), InitialVersions: m.GetInitialResourceVersions()}, nil
}

// wrap puts a resource in its frame; a heartbeat has no body.
func (r *Resource) wrap(beat bool) *discoveryv3.Resource {
	w := &discoveryv3.Resource{Name: r.Name, Version: r.Version}
	if r.TTL > 0 {
		w.Ttl = durationpb.New(r.TTL)
	}
	if !beat {
		w.Resource = r.Body
	}
	return w
}

func clip(s string) string { return s[:min(len(s), 200)] }

func badRequest(format string, args ...any) error {
	return status.Errorf(codes.InvalidArgument, format, args...)
}

// complaint is a proxy's reason to reject a response, never empty when there
// is one.
func complaint(st interface {
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
	proxy  steer.ProxyID
	node   *corev3.Node
	key    viewKey
	delta  bool
	notify chan struct{} // of one: there is a new state

	mu      sync.Mutex // guards what follows
	session *Session
	snap    *Snapshot
	nacks   uint64
	sent    [types]uint64 // number of the state that the response without an answer is of
	holds   uint64        // number of the newest state of which it was seen to have all
}

func (x *stream) wake() {
	select {
	case x.notify <- struct{}{}:
	default:
	}
}

func (x *stream) waiting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.session.AckDeadline(0)
	return ok
}

// serve runs one discovery stream. The goroutine of the call holds the
// session; one goroutine receives and one sends, so that a proxy that does not
// read holds up nobody and its own stream still ends in time. Both end with
// the call.
func (s *Server) serve(delta bool, w variant) error {
	id, err := identity(w.ctx, s.cfg.TLS == nil)
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.refuse(w.ctx, "discovery", "", err)
	}
	visible := s.visible(id)
	if visible == "" {
		s.Counters.StreamsRefused.Add(1)
		return s.refuse(w.ctx, "discovery", id, status.Error(codes.PermissionDenied, "this identity may see no service"))
	}
	type got struct {
		r    Request
		node *corev3.Node
		err  error
	}
	in, ended := make(chan got), make(chan struct{})
	defer close(ended)
	go func() {
		for {
			var g got
			g.r, g.node, g.err = w.recv()
			select {
			case in <- g:
			case <-ended:
				return
			}
			if g.err != nil {
				return
			}
		}
	}()
	first := time.NewTimer(s.cfg.AckTimeout)
	defer first.Stop()
	var g got
	select {
	case g = <-in:
	case <-first.C:
		s.Counters.AckTimeouts.Add(1)
		return s.refuse(w.ctx, "discovery", id, status.Error(codes.DeadlineExceeded, "no first request"))
	}
	if g.err != nil {
		return s.broken(w.ctx, id, g.err)
	}
	if g.node.GetId() == "" || len(g.node.GetId()) > maxNameLen {
		s.Counters.MalformedRequests.Add(1)
		return s.refuse(w.ctx, "discovery", id, badRequest("the first request must name its node, in 1 to %d bytes", maxNameLen))
	}
	x := &stream{
		proxy: proxyID(id, g.node), node: g.node, delta: delta, notify: make(chan struct{}, 1),
		key: viewKey{Kind{Zone: g.node.GetLocality().GetZone(), SupportsTTL: slices.Contains(g.node.GetClientFeatures(), ttlFeature), Group: subset.AllServers}, visible},
	}
	x.session = NewSession(delta, x.key.SupportsTTL)
	wait, err := s.admit(x)
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.refuse(w.ctx, "discovery", id, status.Error(codes.ResourceExhausted, err.Error()))
	}
	s.Counters.OpenStreams.Add(1)
	s.Counters.StreamsOpened.Add(1)
	if s.cfg.OnJoined != nil {
		s.cfg.OnJoined(x.proxy, x.key.Zone)
	}
	defer func() {
		s.Counters.OpenStreams.Add(-1)
		if s.release(x) && s.cfg.OnLeft != nil {
			s.cfg.OnLeft(x.proxy)
		}
	}()

	out, sent := make(chan *Response), make(chan error, 1)
	go func() {
		for {
			select {
			case r := <-out:
				err := w.send(r)
				select {
				case sent <- err:
				case <-ended:
					return
				}
				if err != nil {
					return
				}
			case <-ended:
				return
			}
		}
	}()

	begun := s.now() + wait
	busy := false // a response is being sent
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := s.take(x, g.r); err != nil {
		s.Counters.MalformedRequests.Add(1)
		return s.refuse(w.ctx, "discovery", id, err)
	}
	for {
		now := s.now()
		if x.key.services = s.visible(id); x.key.services == "" {
			s.Counters.StreamsRefused.Add(1)
			return s.refuse(w.ctx, "discovery", id, status.Error(codes.PermissionDenied, "this identity may see no service any more"))
		}
		x.key.Group = s.groupOf(x.proxy)
		x.mu.Lock()
		if snap := s.snapshot(x.key); snap != nil && snap != x.snap {
			x.snap = snap
			x.session.SetSnapshot(now, snap)
		}
		var r *Response
		alive := s.cfg.IsCurrent == nil || s.cfg.IsCurrent()
		if !busy && now >= begun && alive {
			if r = x.session.NextResponse(now); r != nil && !r.Heartbeat {
				x.sent[r.Type] = x.snap.StateVersion
				if s.cfg.OnSent != nil {
					s.cfg.OnSent(x.proxy, x.snap.StateVersion, r.lease())
				}
			}
		}
		if s.cfg.OnInSync != nil && r == nil && x.snap != nil && x.holds != x.snap.StateVersion && x.session.InSync() {
			x.holds = x.snap.StateVersion
			s.cfg.OnInSync(x.proxy, x.holds)
		}
		overdue, waits := x.session.AckDeadline(s.cfg.AckTimeout)
		at := x.session.NextWakeup(now)
		if now < begun {
			at = begun
		}
		if !alive {
			at = min(at, now+lookAgain)
		}
		x.mu.Unlock()
		if r != nil {
			s.count(r)
			busy = true
			out <- r // the sender is free, so it takes it
		}
		if waits {
			if at = min(at, overdue); now >= overdue {
				s.Counters.AckTimeouts.Add(1)
				s.conns.abort(w.ctx) // what it has not read must not come later
				return s.refuse(w.ctx, "discovery", id, status.Error(codes.DeadlineExceeded, "no answer to a response in time"))
			}
		}
		timer.Reset(max(0, min(at-now, time.Minute)))
		select {
		case <-x.notify:
		case <-timer.C:
		case err := <-sent:
			if busy = false; err != nil {
				return s.broken(w.ctx, id, err)
			}
		case g := <-in:
			if g.err != nil {
				return s.broken(w.ctx, id, g.err)
			}
			if err := s.take(x, g.r); err != nil {
				s.Counters.MalformedRequests.Add(1)
				return s.refuse(w.ctx, "discovery", id, err)
			}
		case <-w.ctx.Done():
			return status.FromContextError(w.ctx.Err()).Err()
		}
	}
}

// proxyID tells proxies apart: many may share a certificate.
func proxyID(id string, node *corev3.Node) steer.ProxyID {
	return steer.ProxyID(id + " " + node.GetId())
}

// take hands a request to the session and tells operators of a rejection.
func (s *Server) take(x *stream, r Request) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	a := &x.session.asks[r.Type]
	waits, nacks := a.out != nil && !a.out.Heartbeat, a.nacks
	err := x.session.HandleRequest(s.now(), r)
	if waits && a.out == nil && s.cfg.OnAckOrNack != nil {
		why := ""
		if a.nacks > nacks {
			why = a.nack
		}
		s.cfg.OnAckOrNack(x.proxy, x.sent[r.Type], why)
	}
	n, why := uint64(0), ""
	for t := range types {
		n += x.session.asks[t].nacks
		if t == r.Type {
			why = x.session.asks[t].nack
		}
	}
	if n > x.nacks {
		x.nacks = n
		s.Counters.Nacks.Add(1)
		s.cfg.Log.Warn("a proxy rejects an update", "proxy", string(x.proxy), "type", r.Type.String(), "why", why)
	}
	return err
}

// lease is the longest time after which a resource of a response runs out; 0: none
// does.
func (r *Response) lease() (longest time.Duration) {
	for _, x := range r.Resources {
		longest = max(longest, x.TTL)
	}
	return longest
}

func (s *Server) count(r *Response) {
	s.Counters.Responses.Add(1)
	if r.Heartbeat {
		s.Counters.Heartbeats.Add(1)
		return
	}
	n := 0
	for _, x := range r.Resources {
		n += len(x.Body.GetValue())
	}
	s.Counters.ResourceBytes.Add(int64(n))
}

// broken ends a stream that can't be read or written. What a proxy does by
// itself, to close or to go away, is no line in the log.
func (s *Server) broken(ctx context.Context, id string, err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	switch c := status.Code(err); {
	case c == codes.ResourceExhausted: // a message over the bound; the library has ended the stream with it
		s.Counters.MalformedRequests.Add(1)
		s.cfg.Log.Warn("stream ended", "service", "discovery", "proxy", id, "code", c, "why", err.Error())
		return err
	case c == codes.Canceled || c == codes.Unavailable || ctx.Err() != nil:
		return status.Error(codes.Canceled, "the proxy is gone")
	}
	s.Counters.MalformedRequests.Add(1)
	return s.refuse(ctx, "discovery", id, err)
}
