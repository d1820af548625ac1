package xds

import (
	"fmt"
	"time"
)

// heldResource is a resource that a proxy has acknowledged.
type heldResource struct {
	*Resource
	validUntil    time.Duration // earliest time at which its TTL may expire at the proxy
	nextHeartbeat time.Duration // when the next heartbeat is due
}

// unackedResponse is a response that the proxy has not answered yet.
type unackedResponse struct {
	*Response
	sentAt time.Duration
}

// subscription is the state of one resource type on a stream.
type subscription struct {
	active           bool
	wildcard         bool
	names            map[string]bool
	held             map[string]heldResource
	claimed          map[string]string // incremental: versions that the proxy says it has, by name, until there is a snapshot
	absent           map[string]bool   // incremental: subscribed names that were reported as removed
	unacked          *unackedResponse
	lastNonce        string            // of the last response
	rejected         map[string]string // rejected versions, by name
	rejectedRemovals map[string]bool   // incremental: names whose removal was rejected
	rejectedSet      string            // state of the world: combined version rejected last
	sentVersion      string            // state of the world: combined version sent last
	ackedVersion     string            // response version acknowledged last
	nackReason       string            // reason of the last NACK; empty after an ACK
	nackCount        uint64
}

// newSubscription returns the state at a stream's first request for a type.
func newSubscription() subscription {
	return subscription{active: true, names: map[string]bool{}, held: map[string]heldResource{}, absent: map[string]bool{},
		rejected: map[string]string{}, rejectedRemovals: map[string]bool{}}
}

// forget drops what is known of a resource at the proxy, so that it is sent anew.
func (sub *subscription) forget(name string) {
	delete(sub.held, name)
	delete(sub.claimed, name)
	delete(sub.absent, name)
	delete(sub.rejected, name)
	delete(sub.rejectedRemovals, name)
}

// accept records that the proxy has acknowledged a resource of a response.
func (sub *subscription) accept(now time.Duration, response *unackedResponse, resource *Resource) {
	delete(sub.rejected, resource.Name)
	if !sub.wildcard && !sub.names[resource.Name] {
		return
	}
	delete(sub.absent, resource.Name)
	held, ok := sub.held[resource.Name]
	if response.Heartbeat && (!ok || held.Resource != resource || now >= held.validUntil) {
		delete(sub.held, resource.Name) // may have arrived after the TTL had expired: send the body again
		return
	}
	sub.held[resource.Name] = heldResource{Resource: resource, validUntil: response.sentAt + resource.TTL, nextHeartbeat: response.sentAt + resource.TTL/heartbeatsPerTTL}
}

// keepOnly drops what a full set of resources lacks.
func (sub *subscription) keepOnly(resources []*Resource) {
	keep := map[string]bool{}
	for _, resource := range resources {
		keep[resource.Name] = true
	}
	for name := range sub.held {
		if !keep[name] {
			delete(sub.held, name)
		}
	}
}

func checkName(name string) error {
	if name == "" || len(name) > maxNameLen {
		return fmt.Errorf("a resource name of %d bytes; 1 to %d are allowed", len(name), maxNameLen)
	}
	return nil
}

func (s *Session) updateNames(sub *subscription, request Request, first bool) error {
	if len(request.Subscribe)+len(request.Unsubscribe) > 2*maxNames || len(request.InitialVersions) > maxNames {
		return fmt.Errorf("%v: more than %d resources in one request", request.Type, maxNames)
	}
	for _, name := range request.Subscribe {
		if err := checkName(name); err != nil {
			return err
		}
		if name == wildcardName {
			sub.wildcard = true
			continue
		}
		sub.names[name] = true
		sub.forget(name) // a proxy that subscribes again has lost the resource
	}
	for _, name := range request.Unsubscribe {
		if name == wildcardName {
			sub.wildcard = false
		}
		delete(sub.names, name)
		delete(sub.rejectedRemovals, name)
		if !sub.wildcard {
			delete(sub.held, name)
			delete(sub.absent, name)
		}
	}
	if first {
		sub.claimed = map[string]string{}
		for name, version := range request.InitialVersions {
			if checkName(name) == nil && len(version) <= maxNameLen {
				sub.claimed[name] = version
			}
		}
	}
	s.checkClaims(request.Type, sub)
	return nil
}

// checkClaims compares the versions that the proxy says it has with the snapshot, once there is
// one: a control service that has just started has none when its proxies reconnect. A claim that
// is not confirmed counts as nothing, so the resource is sent.
func (s *Session) checkClaims(t Type, sub *subscription) {
	if s.snapshot == nil {
		return
	}
	for name, version := range sub.claimed {
		if !sub.wildcard && !sub.names[name] {
			continue
		}
		resource := s.snapshot.Get(t, name)
		switch {
		case resource == nil: // will be reported as removed, and sent if it comes back
			sub.held[name] = heldResource{Resource: &Resource{Name: name}}
		case resource.Version == version && !s.hasTTL(resource): // one with a TTL may just have expired at the proxy
			sub.held[name] = heldResource{Resource: resource}
		}
	}
	sub.claimed = nil
}

func (s *Session) replaceNames(sub *subscription, request Request, first bool) error {
	if len(request.Names) > maxNames {
		return fmt.Errorf("%v: more than %d resources in one request", request.Type, maxNames)
	}
	if request.Type.sentInFull() && first && len(request.Names) == 0 {
		sub.wildcard = true
	}
	names := make(map[string]bool, len(request.Names))
	for _, name := range request.Names {
		if err := checkName(name); err != nil {
			return err
		}
		if name == wildcardName && request.Type.sentInFull() {
			sub.wildcard = true
			continue
		}
		names[name] = true
	}
	if len(names) > 0 && request.Type.sentInFull() {
		sub.wildcard = len(request.Names) != len(names)
	}
	for name := range sub.held {
		if !names[name] && !sub.wildcard {
			delete(sub.held, name)
		}
	}
	for name := range names {
		if !sub.names[name] {
			sub.sentVersion = "" // a new name requires a response even without changes
			sub.forget(name)
		}
	}
	sub.names = names
	return nil
}
