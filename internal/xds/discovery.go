package xds

import (
	"slices"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ivylock/fleet/subset"
)

const (
	// currencyCheckInterval is how often a stream checks Config.IsCurrent while it is false.
	currencyCheckInterval = 10 * time.Millisecond
	maxWakeupInterval     = time.Minute
)

// received is a request, or the error that ended receiving.
type received struct {
	Request
	node *corev3.Node
	err  error
}

// receiveAll passes on requests until receiving fails or done is closed.
func (t transport) receiveAll(requests chan<- received, done <-chan struct{}) {
	for {
		var msg received
		msg.Request, msg.node, msg.err = t.recv()
		select {
		case requests <- msg:
		case <-done:
			return
		}
		if msg.err != nil {
			return
		}
	}
}

// sendAll sends responses, and reports the result of each, until sending fails or done is closed.
func (t transport) sendAll(responses <-chan *Response, results chan<- error, done <-chan struct{}) {
	for {
		select {
		case response := <-responses:
			err := t.send(response)
			select {
			case results <- err:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		case <-done:
			return
		}
	}
}

// discoveryLoop owns the session of one discovery stream. One goroutine receives and one sends, so
// that a proxy that does not read blocks neither other streams nor the timeout of its own.
type discoveryLoop struct {
	server    *Server
	transport transport
	identity  string
	stream    *stream
	requests  chan received
	responses chan *Response
	results   chan error    // of sending
	startAt   time.Duration // nothing is sent before
	sending   bool
}

// serveDiscovery runs one discovery stream. Its goroutines end with the call.
func (s *Server) serveDiscovery(delta bool, conn transport) error {
	id, err := identity(conn.ctx, s.cfg.TLS == nil)
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return s.rejectStream(conn.ctx, discoveryName, "", err)
	}
	loop := &discoveryLoop{server: s, transport: conn, identity: id, requests: make(chan received), responses: make(chan *Response), results: make(chan error, 1)}
	visible := s.visibleServices(id)
	if visible == "" {
		s.Counters.StreamsRefused.Add(1)
		return loop.reject(status.Error(codes.PermissionDenied, "this identity may see no service"))
	}
	done := make(chan struct{})
	defer close(done)
	go conn.receiveAll(loop.requests, done)
	first, err := loop.awaitFirst()
	if err != nil {
		return err
	}
	loop.stream = newStream(id, first.node, delta, visible)
	delay, err := s.admit(loop.stream)
	if err != nil {
		s.Counters.StreamsRefused.Add(1)
		return loop.reject(status.Error(codes.ResourceExhausted, err.Error()))
	}
	defer s.countStream(loop.stream)()
	go conn.sendAll(loop.responses, loop.results, done)
	loop.startAt = s.now() + delay
	return loop.run(first.Request)
}

// newStream returns the state of the stream of a proxy that may see the given services.
func newStream(identity string, node *corev3.Node, delta bool, visible string) *stream {
	kind := Kind{Zone: node.GetLocality().GetZone(), SupportsTTL: slices.Contains(node.GetClientFeatures(), ttlClientFeature), Group: subset.AllServers}
	return &stream{proxy: proxyID(identity, node), node: node, delta: delta, changed: make(chan struct{}, 1),
		key: snapshotKey{kind, visible}, session: NewSession(delta, kind.SupportsTTL)}
}

// countStream counts and announces an admitted stream until the returned function is called.
func (s *Server) countStream(stream *stream) (end func()) {
	s.Counters.OpenStreams.Add(1)
	s.Counters.StreamsOpened.Add(1)
	if s.cfg.OnJoined != nil {
		s.cfg.OnJoined(stream.proxy, stream.key.Zone)
	}
	return func() {
		s.Counters.OpenStreams.Add(-1)
		if s.release(stream) && s.cfg.OnLeft != nil {
			s.cfg.OnLeft(stream.proxy)
		}
	}
}

// awaitFirst waits for the stream's first request, which must name its node.
func (l *discoveryLoop) awaitFirst() (first received, err error) {
	timer := time.NewTimer(l.server.cfg.AckTimeout)
	defer timer.Stop()
	select {
	case first = <-l.requests:
	case <-timer.C:
		l.server.Counters.AckTimeouts.Add(1)
		return first, l.reject(status.Error(codes.DeadlineExceeded, "no first request"))
	}
	if first.err != nil {
		return first, l.failed(first.err)
	}
	if first.node.GetId() == "" || len(first.node.GetId()) > maxNameLen {
		return first, l.malformed(badRequest("the first request must name its node, in 1 to %d bytes", maxNameLen))
	}
	return first, nil
}

// run handles requests and sends responses until the stream ends.
func (l *discoveryLoop) run(first Request) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	if err := l.server.handleRequest(l.stream, first); err != nil {
		return l.malformed(err)
	}
	for {
		now := l.server.now()
		if l.stream.key.services = l.server.visibleServices(l.identity); l.stream.key.services == "" {
			l.server.Counters.StreamsRefused.Add(1)
			return l.reject(status.Error(codes.PermissionDenied, "this identity may see no service any more"))
		}
		wakeAt, overdue := l.respond(now)
		if overdue {
			l.server.Counters.AckTimeouts.Add(1)
			l.server.conns.abort(l.transport.ctx) // discards unread responses, which must not arrive later
			return l.reject(status.Error(codes.DeadlineExceeded, "no answer to a response in time"))
		}
		timer.Reset(max(0, min(wakeAt-now, maxWakeupInterval)))
		if ended, err := l.await(timer); ended {
			return err
		}
	}
}

// respond sends what is due. It returns when it is to be called again even if nothing happens before,
// and whether the proxy has not answered in time.
func (l *discoveryLoop) respond(now time.Duration) (wakeAt time.Duration, overdue bool) {
	s, stream := l.server, l.stream
	stream.key.Group = s.groupOf(stream.proxy)
	stream.mu.Lock()
	if snapshot := s.snapshot(stream.key); snapshot != nil && snapshot != stream.snapshot {
		stream.snapshot = snapshot
		stream.session.SetSnapshot(now, snapshot)
	}
	var response *Response
	current := s.cfg.IsCurrent == nil || s.cfg.IsCurrent()
	if !l.sending && now >= l.startAt && current {
		response = s.nextResponse(stream, now)
	}
	if response == nil {
		s.announceInSync(stream)
	}
	deadline, unacked := stream.session.AckDeadline(s.cfg.AckTimeout)
	wakeAt = stream.session.NextWakeup(now)
	stream.mu.Unlock()
	if now < l.startAt {
		wakeAt = l.startAt
	}
	if !current {
		wakeAt = min(wakeAt, now+currencyCheckInterval)
	}
	if response != nil {
		s.countResponse(response)
		l.sending = true
		l.responses <- response // does not block, as the sender is idle
	}
	if unacked {
		wakeAt = min(wakeAt, deadline)
	}
	return wakeAt, unacked && now >= deadline
}

// nextResponse returns the response to send now, or nil. The caller holds the stream's lock.
func (s *Server) nextResponse(stream *stream, now time.Duration) *Response {
	response := stream.session.NextResponse(now)
	if response == nil || response.Heartbeat {
		return response
	}
	stream.sentVersions[response.Type] = stream.snapshot.StateVersion
	if s.cfg.OnSent != nil {
		s.cfg.OnSent(stream.proxy, stream.snapshot.StateVersion, response.longestTTL())
	}
	return response
}

// announceInSync announces once for each state that the proxy has acknowledged all of it. The caller
// holds the stream's lock.
func (s *Server) announceInSync(stream *stream) {
	if s.cfg.OnInSync == nil || stream.snapshot == nil || stream.inSyncVersion == stream.snapshot.StateVersion || !stream.session.InSync() {
		return
	}
	stream.inSyncVersion = stream.snapshot.StateVersion
	s.cfg.OnInSync(stream.proxy, stream.inSyncVersion)
}

// await waits for the next event and handles it. It reports whether the stream has ended, and how.
func (l *discoveryLoop) await(timer *time.Timer) (ended bool, err error) {
	select {
	case <-l.stream.changed:
	case <-timer.C:
	case err := <-l.results:
		if l.sending = false; err != nil {
			return true, l.failed(err)
		}
	case msg := <-l.requests:
		if msg.err != nil {
			return true, l.failed(msg.err)
		}
		if err := l.server.handleRequest(l.stream, msg.Request); err != nil {
			return true, l.malformed(err)
		}
	case <-l.transport.ctx.Done():
		return true, status.FromContextError(l.transport.ctx.Err()).Err()
	}
	return false, nil
}

// reject ends the stream with an error, which is logged.
func (l *discoveryLoop) reject(err error) error {
	return l.server.rejectStream(l.transport.ctx, discoveryName, l.identity, err)
}

// malformed ends the stream because of an invalid request.
func (l *discoveryLoop) malformed(err error) error {
	l.server.Counters.MalformedRequests.Add(1)
	return l.reject(err)
}

// failed ends the stream because receiving or sending failed.
func (l *discoveryLoop) failed(err error) error {
	return l.server.streamError(l.transport.ctx, discoveryName, l.identity, err)
}
