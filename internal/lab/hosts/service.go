package hosts

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ivylock/internal/lab/history"
)

const (
	maxHold  = 60 * time.Second
	maxCalls = 256 // concurrent calls; further ones get 503
)

// Service serves a Registry over HTTP, with a separate address for each node. It
// is safe for concurrent use.
type Service struct {
	clock            func() time.Duration
	record           func(history.Event)
	addr             func(node, server string) string // address of the server as seen by the node
	mu               sync.Mutex
	registry         *Registry
	changed          chan struct{} // closed at the next change, outage or end of the service
	timer            *time.Timer
	down             bool
	unpublished      []Entry // changes during an outage
	published        List    // list at the start of the current outage
	lag              time.Duration
	openCalls        int
	servers          []*http.Server
	notified         map[string]map[string]bool // by node: servers sent that have not been removed since
	waitingCalls     map[string]map[*call]bool  // by node
	alternativeNodes map[string]bool            // nodes that get the alternative list
	alternative      func(List) List            // nil: none
}

// NewService returns a service with an empty list of the given generation.
func NewService(generation uint64, clock func() time.Duration, record func(history.Event), addr func(node, server string) string) *Service {
	s := &Service{clock: clock, record: record, addr: addr, registry: NewRegistry(generation), changed: make(chan struct{}),
		notified: map[string]map[string]bool{}, waitingCalls: map[string]map[*call]bool{}}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	return s
}

// Listen opens an address for a node and returns it.
func (s *Service) Listen(node string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, MaxHeaderBytes: 8 << 10}
	s.mu.Lock()
	s.servers = append(s.servers, server)
	s.notified[node] = map[string]bool{}
	s.mu.Unlock()
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Set changes an entry of the list after the lag.
func (s *Service) Set(e Entry) {
	s.mu.Lock()
	s.registry.Schedule(s.clock()+s.lag, e)
	s.mu.Unlock()
	s.advance()
}

// SetLag sets the lag of future changes.
func (s *Service) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetDown starts or ends an outage. An outage ends all watches.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		s.published = s.registry.All()
	}
	if s.down = down; !down {
		s.publish(s.unpublished)
		s.unpublished = nil
	}
	s.endWaits()
}

// publish records that changes are now visible. The caller holds the lock.
func (s *Service) publish(changed []Entry) {
	for _, e := range changed {
		s.record(history.Event{At: s.clock(), Kind: history.DiscoveryChanged, Server: e.InstanceID, Lifecycle: e.Lifecycle})
	}
}

// call is a call that may wait for a change. A hung call is never answered.
type call struct{ hung bool }

// HangWaitingCalls makes the waiting calls of the given nodes hang: they are never answered.
func (s *Service) HangWaitingCalls(nodes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range nodes {
		for c := range s.waitingCalls[n] {
			c.hung = true
		}
		s.record(history.Event{At: s.clock(), Kind: history.WatchSilenced, Node: n})
	}
}

// Restart restarts the service at a generation. It ends all watches.
func (s *Service) Restart(generation uint64) {
	s.SetDown(true)
	s.mu.Lock()
	s.registry.Restart(generation)
	s.record(history.Event{At: s.clock(), Kind: history.DiscoveryReset})
	s.mu.Unlock()
	s.SetDown(false)
}

// SetAlternative gives the nodes a list of their own, with its own generation, which
// derive returns for the common list; nil restores the common list.
func (s *Service) SetAlternative(nodes []string, derive func(List) List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alternativeNodes, s.alternative = map[string]bool{}, derive
	for _, n := range nodes {
		s.alternativeNodes[n] = derive != nil
	}
	s.endWaits()
}

// generation returns the generation of the list for a node. The caller holds the lock.
func (s *Service) generation(node string) uint64 {
	if s.alternativeNodes[node] {
		return s.registry.Generation() + 1
	}
	return s.registry.Generation()
}

// InitialList returns the list that a node has at its start, the latest visible one, and
// clears the record of the servers sent to the node.
func (s *Service) InitialList(node string) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notified[node] = map[string]bool{}
	if s.down {
		return s.listFor(node, s.published)
	}
	return s.listFor(node, s.registry.All())
}

// Close ends all calls and closes the addresses.
func (s *Service) Close() {
	s.SetDown(true)
	s.mu.Lock()
	s.timer.Stop()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		server.Close()
	}
}

// endWaits ends the waits of all calls. The caller holds the lock.
func (s *Service) endWaits() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.registry.Advance(s.clock())
	if s.down {
		s.unpublished = append(s.unpublished, changed...)
	} else if s.publish(changed); len(changed) > 0 {
		s.endWaits()
	}
	if at, any := s.registry.Next(); any {
		s.timer.Reset(max(0, at-s.clock()))
	}
}

// listFor returns the list with the addresses as seen by a node.
func (s *Service) listFor(node string, list List) List {
	entries := append([]Entry{}, list.Instances...)
	for i := range entries {
		entries[i].HostPort = s.addr(node, entries[i].InstanceID)
	}
	list.Instances = entries
	return list
}

func (s *Service) serve(node string, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	watch := err == nil
	holdMs, _ := strconv.ParseInt(query.Get("hold_ms"), 10, 64)
	hold := time.NewTimer(min(time.Duration(max(holdMs, 0))*time.Millisecond, maxHold))
	defer hold.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openCalls >= maxCalls {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	s.openCalls++
	s.record(history.Event{At: s.clock(), Kind: history.DiscoveryCalled, Node: node})
	defer func() { s.openCalls-- }()
	waiting := &call{}
	if s.waitingCalls[node] == nil {
		s.waitingCalls[node] = map[*call]bool{}
	}
	s.waitingCalls[node][waiting] = true
	defer delete(s.waitingCalls[node], waiting)
	for expired := false; watch && !expired && !s.down && s.generation(node) == from; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-hold.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
		if waiting.hung {
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
			return
		}
	}
	if s.down {
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
		return
	}
	list := s.registry.All()
	switch {
	case s.alternativeNodes[node]:
		list = s.alternative(list)
		list.Generation = s.generation(node)
	case watch:
		list = s.registry.Since(from)
	}
	raw, err := json.Marshal(s.listFor(node, list))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	// Recorded before the response is written, so that no action of the node can
	// precede it.
	s.recordUpdate(node, list)
	w.Write(raw)
}

// startedAt returns when a server started, by the clock that shows now; 0: long ago.
func startedAt(e Entry, now time.Duration) time.Duration {
	if e.StartedAtMs == 0 {
		return 0
	}
	return now + time.Until(time.UnixMilli(e.StartedAtMs))
}

// recordUpdate records the servers sent to a node. A full list removes all servers
// that it does not contain. The caller holds the lock.
func (s *Service) recordUpdate(node string, list List) {
	now, notified := s.clock(), s.notified[node]
	included := map[string]bool{}
	for _, e := range list.Instances {
		included[e.InstanceID] = true
		s.record(history.Event{At: now, Kind: history.NodeNotified, Node: node, Server: e.InstanceID, Lifecycle: e.Lifecycle, StartedAt: startedAt(e, now)})
		if notified[e.InstanceID] = true; e.Lifecycle == Removed {
			delete(notified, e.InstanceID)
		}
	}
	if list.Reset {
		for id := range notified {
			if !included[id] {
				s.record(history.Event{At: now, Kind: history.NodeNotified, Node: node, Server: id, Lifecycle: Removed})
				delete(notified, id)
			}
		}
	}
}

// SetNow changes an entry of the list immediately, without the lag.
func (s *Service) SetNow(e Entry) {
	s.mu.Lock()
	s.registry.Schedule(s.clock(), e)
	s.mu.Unlock()
	s.advance()
}
