package xds

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

const (
	maxNames         = 4096            // per stream and resource type
	maxNameLen       = 512             // bytes of a resource name, or of a version that a proxy says it has
	routeHoldTimeout = 5 * time.Second // for how long an update of a route waits for its clusters to be acknowledged
	heartbeatsPerTTL = 3
	never            = time.Duration(math.MaxInt64)
	wildcardName     = "*"
	maxNackBytes     = 1024 // of the stored reject reason
)

// Request is a discovery request in either variant of the protocol.
type Request struct {
	Type            Type
	Nonce           string            // of the answered response; empty: none
	RejectReason    string            // why the response was rejected (NACK); empty: accepted (ACK)
	Names           []string          // state of the world: all subscribed names
	Subscribe       []string          // incremental: names to subscribe to
	Unsubscribe     []string          // incremental: names to unsubscribe from
	InitialVersions map[string]string // incremental, first request: versions that the proxy has, by name
}

// Response is a discovery response in either variant of the protocol.
type Response struct {
	Type      Type
	Nonce     string
	Version   string
	Resources []*Resource
	Removed   []string // incremental
	Heartbeat bool     // resources are sent without bodies, only to extend their TTLs
}

// Session is the protocol state of one stream: the resources that a proxy holds
// and subscribes to, and the response to send next. It does no I/O and reads no
// clock. Its memory is bounded by the number of subscribed names. At most one
// response per type is unanswered, except that an update is sent even if the
// last heartbeat has not been answered.
//
// A proxy drops a resource with a TTL when it has not received the body or a
// heartbeat for that long. A heartbeat is only sent when everything before it
// has been acknowledged. So a heartbeat sent before a drain keeps the server in
// use for less than two TTLs after it, however late it arrives: if it takes
// longer than one TTL, the proxy has already dropped the resource. For bodies,
// AckDeadline provides this bound.
type Session struct {
	delta         bool
	ttls          bool
	snapshot      *Snapshot
	snapshotAt    time.Duration // when the snapshot was set
	subscriptions [numTypes]subscription
	nonce         uint64

	// StaleRequests counts requests with the nonce of an older response.
	StaleRequests uint64
}

// NewSession creates a session of the incremental (delta) or state-of-the-world
// variant. Without ttls, which need the proxy's support, no heartbeats are sent.
func NewSession(delta, ttls bool) *Session {
	return &Session{delta: delta, ttls: ttls}
}

// SetSnapshot replaces the snapshot to be served.
func (s *Session) SetSnapshot(now time.Duration, snap *Snapshot) {
	s.snapshot, s.snapshotAt = snap, now
	for t := range numTypes {
		s.checkClaims(t, &s.subscriptions[t])
	}
}

// HandleRequest processes a request. An error ends the stream.
func (s *Session) HandleRequest(now time.Duration, request Request) error {
	sub := &s.subscriptions[request.Type]
	first := !sub.active
	if first {
		*sub = newSubscription()
	}
	if request.Nonce != "" && !first { // the first request may hold the nonce of an earlier stream
		switch {
		case sub.unacked != nil && sub.unacked.Nonce == request.Nonce:
			s.handleAnswer(now, sub, request)
		case sub.lastNonce == request.Nonce: // already answered: the request only changes the subscription
		default:
			s.StaleRequests++
			if !s.delta {
				return nil // the protocol requires stale requests to be ignored
			}
		}
	}
	if s.delta {
		if first && len(request.Subscribe) == 0 && request.Type.sentInFull() {
			sub.wildcard = true
		}
		if err := s.updateNames(sub, request, first); err != nil {
			return err
		}
	} else if err := s.replaceNames(sub, request, first); err != nil {
		return err
	}
	if len(sub.names) > maxNames {
		return fmt.Errorf("%v: more than %d resources asked for", request.Type, maxNames)
	}
	return nil
}

// handleAnswer processes the ACK or NACK of the unanswered response.
func (s *Session) handleAnswer(now time.Duration, sub *subscription, request Request) {
	response := sub.unacked
	sub.unacked = nil
	if request.RejectReason != "" {
		s.handleNack(sub, response, request.RejectReason)
		return
	}
	sub.ackedVersion, sub.nackReason, sub.rejectedSet = response.Version, "", ""
	for _, resource := range response.Resources {
		sub.accept(now, response, resource)
	}
	for _, name := range response.Removed {
		delete(sub.held, name)
		if sub.names[name] {
			sub.absent[name] = true
		}
	}
	if !s.delta && response.Type.sentInFull() && !response.Heartbeat {
		sub.keepOnly(response.Resources)
	}
}

// handleNack records what the proxy has rejected, so that it is not sent again unchanged.
func (s *Session) handleNack(sub *subscription, response *unackedResponse, reason string) {
	sub.nackCount++
	sub.nackReason = reason[:min(len(reason), maxNackBytes)]
	sub.rejectedSet = response.Version
	for name := range sub.rejected { // bounds the map when rejected resources are deleted later
		if s.snapshot.Get(response.Type, name) == nil {
			delete(sub.rejected, name)
		}
	}
	for _, resource := range response.Resources {
		sub.rejected[resource.Name] = resource.Version
	}
	for _, name := range response.Removed {
		sub.rejectedRemovals[name] = true
	}
}

func (s *Session) hasTTL(r *Resource) bool { return s.ttls && r.TTL > 0 }

// NextResponse returns the response to send now, or nil. The caller must send it
// before the next call.
func (s *Session) NextResponse(now time.Duration) *Response {
	if s.snapshot == nil {
		return nil
	}
	for t := range numTypes {
		sub := &s.subscriptions[t]
		if !sub.active || sub.unacked != nil && !sub.unacked.Heartbeat {
			continue
		}
		if r := s.nextUpdate(now, t, sub); r != nil {
			return s.markSent(now, sub, r)
		}
		if sub.unacked != nil || !s.ttls {
			continue
		}
		if r := s.dueHeartbeats(now, t, sub); r != nil {
			return s.markSent(now, sub, r)
		}
	}
	return nil
}

func (s *Session) markSent(now time.Duration, sub *subscription, response *Response) *Response {
	s.nonce++
	response.Nonce = strconv.FormatUint(s.nonce, 10)
	sub.unacked, sub.lastNonce = &unackedResponse{response, now}, response.Nonce
	if !response.Heartbeat {
		sub.sentVersion = response.Version
	}
	return response
}

// desired returns the resources of a type that the proxy should have.
func (s *Session) desired(now time.Duration, t Type, sub *subscription) []*Resource {
	var resources []*Resource
	names := s.snapshot.Names(t)
	if !sub.wildcard {
		names = names[:0]
		for name := range sub.names {
			names = append(names, name)
		}
	}
	seen := map[string]bool{}
	for _, name := range names {
		resource := s.snapshot.Get(t, name)
		if resource != nil && t == Route && !s.clustersAcked(now, resource) {
			resource = sub.held[name].Resource // keep the old route until its clusters are acknowledged
		}
		if resource != nil {
			resources = append(resources, resource)
			seen[name] = true
		}
	}
	if t == Cluster && sub.wildcard {
		for name := range s.clustersInUse(now) {
			if resource, ok := sub.held[name]; ok && !seen[name] {
				resources = append(resources, resource.Resource)
			}
		}
	}
	sortByName(resources)
	return resources
}

// clustersAcked reports whether a proxy has acknowledged the clusters of a route
// and their endpoints. It is always true for proxies that don't subscribe to all
// clusters, and after routeHoldTimeout.
func (s *Session) clustersAcked(now time.Duration, route *Resource) bool {
	clusters, endpoints := &s.subscriptions[Cluster], &s.subscriptions[Endpoint]
	if !clusters.active || !clusters.wildcard || now-s.snapshotAt >= routeHoldTimeout {
		return true
	}
	for _, name := range route.clusterRefs {
		if _, ok := clusters.held[name]; !ok {
			return false
		}
		if s.snapshot.Get(Endpoint, name) == nil {
			continue
		}
		if _, ok := endpoints.held[name]; !ok {
			return false
		}
	}
	return true
}

// clustersInUse returns the clusters that the proxy's routes may still refer to.
func (s *Session) clustersInUse(now time.Duration) map[string]bool {
	used := map[string]bool{}
	if now-s.snapshotAt >= routeHoldTimeout {
		return used
	}
	for _, route := range s.subscriptions[Route].held {
		for _, cluster := range route.clusterRefs {
			used[cluster] = true
		}
	}
	// Until it has answered, a proxy may use the old or the new route.
	if response := s.subscriptions[Route].unacked; response != nil {
		for _, route := range response.Resources {
			for _, cluster := range route.clusterRefs {
				used[cluster] = true
			}
		}
	}
	return used
}

// nextUpdate returns a response with the changed resources, or nil. A rejected
// version or removal is not sent again until the resource changes.
func (s *Session) nextUpdate(now time.Duration, t Type, sub *subscription) *Response {
	desired := s.desired(now, t, sub)
	var changed []*Resource
	for _, resource := range desired {
		delete(sub.rejectedRemovals, resource.Name)
		if held, ok := sub.held[resource.Name]; (!ok || held.Version != resource.Version) && sub.rejected[resource.Name] != resource.Version {
			changed = append(changed, resource)
		}
	}
	if s.delta {
		var removed []string
		wanted := map[string]bool{}
		for _, resource := range desired {
			wanted[resource.Name] = true
		}
		for name := range sub.held {
			if !wanted[name] && !sub.rejectedRemovals[name] {
				removed = append(removed, name)
			}
		}
		for name := range sub.names {
			if _, ok := sub.held[name]; !ok && !wanted[name] && !sub.absent[name] && !sub.rejectedRemovals[name] && s.snapshot.Get(t, name) == nil {
				removed = append(removed, name)
			}
		}
		if len(changed)+len(removed) == 0 {
			return nil
		}
		return &Response{Type: t, Version: combinedVersion(desired), Resources: changed, Removed: removed}
	}
	version := combinedVersion(desired)
	if t.sentInFull() {
		if version == sub.sentVersion || version == sub.rejectedSet {
			return nil
		}
		return &Response{Type: t, Version: version, Resources: desired}
	}
	if len(changed) == 0 {
		return nil
	}
	return &Response{Type: t, Version: combinedVersion(changed), Resources: changed}
}

// InSync reports whether the proxy has acknowledged all resources of the
// snapshot that it subscribes to, and subscribes to all types that it needs.
func (s *Session) InSync() bool {
	if s.snapshot == nil || !s.subscriptions[Cluster].active {
		return false
	}
	for t := range numTypes {
		sub := &s.subscriptions[t]
		if !sub.active {
			if t == Endpoint && len(s.snapshot.resources[t]) > 0 {
				return false
			}
			continue
		}
		if sub.unacked != nil && !sub.unacked.Heartbeat || sub.nackReason != "" {
			return false
		}
		for name, resource := range s.snapshot.resources[t] {
			if held, ok := sub.held[name]; (sub.wildcard || sub.names[name]) && (!ok || held.Version != resource.Version) {
				return false
			}
		}
	}
	return true
}

// dueHeartbeats returns a response with the heartbeats that are due, or nil. The
// TTL of an outdated resource is only extended while all its active servers are
// also active in the current version.
func (s *Session) dueHeartbeats(now time.Duration, t Type, sub *subscription) *Response {
	var due []*Resource
	for name, held := range sub.held {
		if held.TTL == 0 || now < held.nextHeartbeat {
			continue
		}
		resource := s.snapshot.Get(t, name)
		if resource == nil || resource.Version != held.Version && !held.activeSubsetOf(resource) {
			continue
		}
		due = append(due, held.Resource)
	}
	if len(due) == 0 {
		return nil
	}
	sortByName(due)
	return &Response{Type: t, Version: sub.ackedVersion, Resources: due, Heartbeat: true}
}

// NextWakeup returns when NextResponse must be called again even if nothing
// happens before.
func (s *Session) NextWakeup(now time.Duration) time.Duration {
	wakeup := never
	for t := range numTypes {
		sub := &s.subscriptions[t]
		if !sub.active {
			continue
		}
		if s.ttls && sub.unacked == nil {
			for _, held := range sub.held {
				switch {
				case held.TTL == 0:
				case held.nextHeartbeat > now:
					wakeup = min(wakeup, held.nextHeartbeat)
				default: // due but not sent, because its TTL must not be extended now
					wakeup = min(wakeup, now+held.TTL/heartbeatsPerTTL)
				}
			}
		}
	}
	if s.snapshot != nil && now-s.snapshotAt < routeHoldTimeout {
		wakeup = min(wakeup, s.snapshotAt+routeHoldTimeout)
	}
	return wakeup
}

// AckDeadline returns when the first unanswered response times out: after
// ackTimeout or, for a body with a TTL, after that TTL if it is shorter. A body
// delayed for longer could reach the proxy after its TTLs have expired and bring
// back a server that was drained meanwhile, so the connection must be reset. ok
// is false if no response is unanswered.
func (s *Session) AckDeadline(ackTimeout time.Duration) (deadline time.Duration, ok bool) {
	deadline = never
	for t := range numTypes {
		response := s.subscriptions[t].unacked
		if response == nil {
			continue
		}
		ok = true
		timeout := ackTimeout
		for _, resource := range response.Resources {
			if s.hasTTL(resource) && !response.Heartbeat {
				timeout = min(timeout, resource.TTL)
			}
		}
		deadline = min(deadline, response.sentAt+timeout)
	}
	return deadline, ok
}
