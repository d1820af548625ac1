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
	maxCalls = 256 // that wait at once; beyond it a call gets 503
)

// Service puts a Registry on sockets, with an address of its own for each
// node. Its methods may be called from several goroutines.
type Service struct {
	clock   func() time.Duration
	record  func(history.Event)
	addr    func(node, server string) string // where that node reaches that server
	mu      sync.Mutex
	list    *Registry
	news    chan struct{} // closed at the next change, outage or end
	timer   *time.Timer
	down    bool
	unsaid  []Entry // what it has learnt while it was down
	said    List    // what could be asked for last, while it is down
	lag     time.Duration
	calls   int
	servers []*http.Server
	told    map[string]map[string]bool // by node: servers told that are not gone
	waits   map[string]map[*call]bool  // by node: calls that wait
	apart   map[string]bool            // nodes that another discovery speaks to
	other   func(List) List            // what that one says in place of a list; nil: there is none
}

// NewService makes a service with an empty list of a version.
func NewService(generation uint64, clock func() time.Duration, record func(history.Event), addr func(node, server string) string) *Service {
	s := &Service{clock: clock, record: record, addr: addr, list: NewRegistry(generation), news: make(chan struct{}),
		told: map[string]map[string]bool{}, waits: map[string]map[*call]bool{}}
	s.timer = time.AfterFunc(time.Hour, s.advance)
	return s
}

// Listen opens the address for a node.
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
	s.told[node] = map[string]bool{}
	s.mu.Unlock()
	go server.Serve(l)
	return l.Addr().String(), nil
}

// Schedule lets the list learn of an entry after the lag.
func (s *Service) Set(e Entry) {
	s.mu.Lock()
	s.list.Schedule(s.clock()+s.lag, e)
	s.mu.Unlock()
	s.advance()
}

// SetLag changes the lag of what comes from now on.
func (s *Service) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetDown takes the service down or up. Watches end when it goes down.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		s.said = s.list.All()
	}
	if s.down = down; !down {
		s.say(s.unsaid)
		s.unsaid = nil
	}
	s.wake()
}

// say records that changes may be asked for from now on. The caller holds the
// lock.
func (s *Service) say(changed []Entry) {
	for _, e := range changed {
		s.record(history.Event{At: s.clock(), Kind: history.Change, Server: e.InstanceID, Lifecycle: e.Lifecycle})
	}
}

// call is one that waits for news.
type call struct{ silent bool }

// HangWaitingCalls has the calls of some nodes that wait now fall silent: they are never answered.
func (s *Service) HangWaitingCalls(nodes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range nodes {
		for c := range s.waits[n] {
			c.silent = true
		}
		s.record(history.Event{At: s.clock(), Kind: history.Silenced, Node: n})
	}
}

// Restart makes it begin again at a version; watches end.
func (s *Service) Restart(generation uint64) {
	s.SetDown(true)
	s.mu.Lock()
	s.list.Restart(generation)
	s.record(history.Event{At: s.clock(), Kind: history.Forgot})
	s.mu.Unlock()
	s.SetDown(false)
}

// SetAlternative has another discovery speak to some nodes from now on, which says what
// other makes of the list, under a generation of its own; nil ends it.
func (s *Service) SetAlternative(nodes []string, other func(List) List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apart, s.other = map[string]bool{}, other
	for _, n := range nodes {
		s.apart[n] = other != nil
	}
	s.wake()
}

// generation is that of the list as a node is told it. The caller holds the lock.
func (s *Service) generation(node string) uint64 {
	if s.apart[node] {
		return s.list.Generation() + 1
	}
	return s.list.Generation()
}

// InitialList is the list as a node is told it before its start: as it could be asked for last.
func (s *Service) InitialList(node string) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[node] = map[string]bool{}
	if s.down {
		return s.word(node, s.said)
	}
	return s.word(node, s.list.All())
}

// Close ends all.
func (s *Service) Close() {
	s.SetDown(true)
	s.mu.Lock()
	s.timer.Stop()
	servers := s.servers
	s.mu.Unlock()
	for _, x := range servers {
		x.Close()
	}
}

// wake ends all waiting. The caller holds the lock.
func (s *Service) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

func (s *Service) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.list.Advance(s.clock())
	if s.down {
		s.unsaid = append(s.unsaid, changed...)
	} else if s.say(changed); len(changed) > 0 {
		s.wake()
	}
	if at, any := s.list.Next(); any {
		s.timer.Reset(max(0, at-s.clock()))
	}
}

// word puts in the addresses as a node has them.
func (s *Service) word(node string, l List) List {
	out := append([]Entry{}, l.Instances...)
	for i := range out {
		out[i].HostPort = s.addr(node, out[i].InstanceID)
	}
	l.Instances = out
	return l
}

func (s *Service) serve(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	watch := err == nil
	ms, _ := strconv.ParseInt(q.Get("hold_ms"), 10, 64)
	hold := time.NewTimer(min(time.Duration(max(ms, 0))*time.Millisecond, maxHold))
	defer hold.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls >= maxCalls {
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	s.calls++
	s.record(history.Event{At: s.clock(), Kind: history.Asked, Node: node})
	defer func() { s.calls-- }()
	own := &call{}
	if s.waits[node] == nil {
		s.waits[node] = map[*call]bool{}
	}
	s.waits[node][own] = true
	defer delete(s.waits[node], own)
	for over := false; watch && !over && !s.down && s.generation(node) == from; {
		news := s.news
		s.mu.Unlock()
		select {
		case <-news:
		case <-hold.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
		if own.silent {
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
	l := s.list.All()
	switch {
	case s.apart[node]:
		l = s.other(l)
		l.Generation = s.generation(node)
	case watch:
		l = s.list.Since(from)
	}
	raw, err := json.Marshal(s.word(node, l))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	// Told counts from here, before the bytes are out: what the node does from
	// then on is measured against it.
	s.tell(node, l)
	w.Write(raw)
}

// tell records what a node is told. A full list says of all that are not in it
// that they are gone. The caller holds the lock.
func (s *Service) tell(node string, l List) {
	now, told := s.clock(), s.told[node]
	in := map[string]bool{}
	for _, e := range l.Instances {
		in[e.InstanceID] = true
		s.record(history.Event{At: now, Kind: history.Told, Node: node, Server: e.InstanceID, Lifecycle: e.Lifecycle})
		if told[e.InstanceID] = true; e.Lifecycle == Removed {
			delete(told, e.InstanceID)
		}
	}
	if l.Reset {
		for id := range told {
			if !in[id] {
				s.record(history.Event{At: now, Kind: history.Told, Node: node, Server: id, Lifecycle: Removed})
				delete(told, id)
			}
		}
	}
}

// SetNow lets the list learn of an entry at once, whatever the lag.
func (s *Service) SetNow(e Entry) {
	s.mu.Lock()
	s.list.Schedule(s.clock(), e)
	s.mu.Unlock()
	s.advance()
}
