// Package clipserver serves the model of a clip server over sockets, in the form of the protocol.
// It has a separate address for each node, so that it knows the sender of a request. Its faults are
// methods.
package clipserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ivylock/internal/lab/alarm"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/socket"
)

const (
	maxBody  = 64 << 10
	maxHead  = 16 << 10
	idleTime = 60 * time.Second // until an idle connection is closed
)

// Config configures a Server.
type Config struct {
	Model  *clip.Server // owned by the server from now on
	Clock  func() time.Duration
	Record func(history.Event)
	// FirstByteAt returns when the first byte of a request reached a link in front of the server,
	// by the remote address that the server sees. It may be nil.
	FirstByteAt func(node, remote string) (time.Duration, bool)
}

// Server is one clip server. It is safe for concurrent use.
type Server struct {
	Config
	mu          sync.Mutex
	endpoints   []*endpoint
	conns       map[*conn]bool
	timer       *alarm.Timer
	jobs        map[uint64]*conn
	nextID      uint64
	corrupt     func() bool          // whether to corrupt the next answer
	bodyDelay   func() time.Duration // how long after its head the next answer's body is written
	incarnation int
	isolated    bool
	closed      bool
	goroutines  sync.WaitGroup
}

// endpoint is the address for one node.
type endpoint struct {
	node string
	*socket.ReservedAddr
	listener  *net.TCPListener  // nil: no process listens
	blackHole *socket.BlackHole // while the machine is isolated
}

// conn is one connection. Its goroutine reads; the goroutine that completes its job writes.
type conn struct {
	net.Conn
	r           *bufio.Reader
	limit       *io.LimitedReader
	server      *Server
	endpoint    *endpoint
	incarnation int
	overLimit   bool   // over the limit of connections: its first request is rejected
	unused      bool   // no request has come on it yet
	job         uint64 // the job that it waits for; 0: none
	try         string
	method      string
	lateBody    string // the try whose answer's body is still to be written; empty: none
}

// New makes a server whose process is running and warm.
func New(c Config) *Server {
	s := &Server{Config: c, conns: map[*conn]bool{}, jobs: map[uint64]*conn{}}
	s.timer = alarm.New(func() { go s.tick() }) // tick may wait for the lock
	s.recordEffects()
	c.Record(c.Model.Start(c.Clock(), false))
	return s
}

// recordEffects records the effects that the model runs.
func (s *Server) recordEffects() {
	name := s.Model.Name
	s.Model.OnJobStart = func(b clip.JobStart) {
		kind := history.EffectRun
		if b.Duplicate {
			kind = history.DuplicateDropped
		}
		s.Record(history.Event{At: s.Clock(), Kind: kind, Try: b.Try, Server: name, Work: b.Work, Key: b.Key})
	}
}

// Replace ends the process for good and puts a new server at its addresses. It is down until Start.
func (s *Server) Replace(m *clip.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopProcess()
	s.Model = m
	s.Model.SetState(s.Clock(), clip.Down)
	s.recordEffects()
}

// Listen opens an address for a node and returns it.
func (s *Server) Listen(node string) (string, error) {
	p, err := socket.ReserveAddr()
	if err != nil {
		return "", fmt.Errorf("%s: %w", s.Model.Name, err)
	}
	e := &endpoint{node: node, ReservedAddr: p}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = append(s.endpoints, e)
	return p.Addr, s.open(e)
}

// open starts to listen at an endpoint. The caller holds the lock.
func (s *Server) open(e *endpoint) error {
	l, err := e.Listen()
	if err != nil {
		return fmt.Errorf("%s: %w", s.Model.Name, err)
	}
	e.listener = l
	s.goroutines.Add(1)
	go s.accept(e, l)
	return nil
}

func (s *Server) accept(e *endpoint, l *net.TCPListener) {
	defer s.goroutines.Done()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		limit := &io.LimitedReader{R: nc}
		c := &conn{Conn: nc, limit: limit, r: bufio.NewReader(limit), server: s, endpoint: e, unused: true}
		s.mu.Lock()
		if s.closed || e.listener != l {
			s.mu.Unlock()
			socket.Abort(nc)
			continue
		}
		c.incarnation = s.incarnation
		c.overLimit = !s.Model.Connect()
		s.conns[c] = true
		s.Record(history.Event{At: s.Clock(), Kind: history.Connect, Node: e.node, Server: s.Model.Name})
		s.goroutines.Add(1)
		s.mu.Unlock()
		go c.serve()
	}
}

// serve reads requests until the connection ends. While a job runs it waits for the next byte, and
// so notices when the node closes the connection.
func (c *conn) serve() {
	s := c.server
	defer s.goroutines.Done()
	defer c.cleanUp()
	for {
		c.SetReadDeadline(time.Now().Add(idleTime))
		c.limit.N = maxHead + maxBody
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		firstByteAt := s.Clock()
		req, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, req.Body); err != nil || n > maxBody {
			return
		}
		if s.FirstByteAt != nil {
			if t, known := s.FirstByteAt(c.endpoint.node, c.RemoteAddr().String()); known {
				firstByteAt = t
			}
		}
		if !c.handle(req, firstByteAt) {
			return
		}
	}
}

// handle submits a request to the model. It reports false if the connection must end.
func (c *conn) handle(req *http.Request, firstByteAt time.Duration) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.incarnation != s.incarnation || c.job != 0 { // one request at a time
		return false
	}
	if s.isolated { // isolated: the request never arrived
		return true
	}
	now := s.Clock()
	j := clip.Job{ID: s.nextID + 1}
	switch path := req.URL.Path; {
	case path == "/alive" || path == "/metrics/load":
		j.Probe, j.Work = true, s.Model.Machine.ProbeWork
	default:
		j.Try, j.Key = req.Header.Get("Request-Id"), req.Header.Get("Idempotency-Key")
		work, err := strconv.ParseInt(req.URL.Query().Get("work"), 10, 64)
		if j.Try == "" || err != nil || work < 0 {
			return c.reply(http.StatusNotFound, "", "no such request\n")
		}
		j.Work = time.Duration(work) * time.Microsecond
	}
	if c.unused {
		c.unused = false
		j.Work += s.Model.Machine.HandshakeWork
	}
	s.nextID++
	if j.Probe {
		s.Record(history.Event{At: now, Kind: history.Probe, Node: c.endpoint.node, Server: s.Model.Name, Work: j.Work})
	}
	verdict, overloaded := history.Rejected, false
	if !c.overLimit {
		verdict, overloaded = s.Model.Submit(now, j)
	}
	if !j.Probe {
		s.Record(history.Event{At: now, Kind: history.Attempt, Try: j.Try, Node: c.endpoint.node, Server: s.Model.Name,
			Work: j.Work, FirstByteAt: firstByteAt, Verdict: verdict})
	}
	switch {
	case overloaded:
		s.Record(history.Event{At: now, Kind: history.ServerOverloaded, Server: s.Model.Name})
		s.stopProcess()
		return false
	case verdict == history.Rejected:
		return c.reply(http.StatusServiceUnavailable, "Not-Started: 1\r\n", "") && !c.overLimit
	}
	c.job, c.try, c.method = j.ID, j.Try, req.Method
	s.jobs[j.ID] = c
	s.advance(now)
	return true
}

// reply writes a complete answer.
func (c *conn) reply(status int, head, body string) bool {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), head, body)
	return err == nil
}

// cleanUp releases a connection that has ended and cancels its job.
func (c *conn) cleanUp() {
	s := c.server
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.incarnation != s.incarnation {
		return
	}
	if !c.overLimit {
		s.Model.Disconnect()
	}
	if c.lateBody != "" {
		s.Record(history.Event{At: s.Clock(), Kind: history.BodyCutOff, Try: c.lateBody, Node: c.endpoint.node, Server: s.Model.Name})
	}
	s.Record(history.Event{At: s.Clock(), Kind: history.Disconnect, Node: c.endpoint.node, Server: s.Model.Name})
	if c.job != 0 {
		delete(s.jobs, c.job)
		now := s.Clock()
		s.advance(now)
		s.Model.Cancel(now, c.job)
		s.advance(now)
	}
}

func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(s.Clock())
}

// advance answers the jobs that are done and sets the timer for the next one. The caller holds the
// lock.
func (s *Server) advance(now time.Duration) {
	for _, done := range s.Model.Advance(now) {
		c := s.jobs[done.ID]
		if c == nil {
			continue
		}
		delete(s.jobs, done.ID)
		c.job = 0
		switch {
		case done.Probe:
			l := s.Model.Report(now)
			c.reply(http.StatusOK, "", fmt.Sprintf("inflight=%d,queue=%d", l.InFlight, l.Queue))
		case s.corrupt != nil && s.corrupt():
			s.Record(history.Event{At: now, Kind: history.AnswerCorrupted, Try: done.Try, Server: s.Model.Name})
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nnot all of i"))
			c.Close()
		default:
			s.answer(c, now, done.Try)
		}
	}
	if t, any := s.Model.NextCompletion(); any {
		s.timer.Set(t - now)
	}
}

// answer writes the answer to a try that has run, its body perhaps later. The caller holds the lock.
func (s *Server) answer(c *conn, now time.Duration, try string) {
	body := AnswerBody(s.Model.Name, try)
	delay := time.Duration(0)
	if s.bodyDelay != nil {
		delay = s.bodyDelay()
	}
	if delay <= 0 {
		c.reply(http.StatusOK, "", body)
		return
	}
	s.Record(history.Event{At: now, Kind: history.LateBody, Try: try, Node: c.endpoint.node, Server: s.Model.Name})
	c.lateBody = try
	c.SetWriteDeadline(time.Time{})
	fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, err := io.WriteString(c.Conn, body); err == nil {
			c.lateBody = ""
		}
	})
}

// AnswerBody returns the body of a server's answer to a try. Clients check it to detect an answer to
// another try.
func AnswerBody(server, try string) string { return "clip " + try + " by " + server + "\n" }

// stopProcess ends the process: connections are reset and new ones refused. The caller holds the
// lock.
func (s *Server) stopProcess() {
	s.incarnation++
	s.Model.SetState(s.Clock(), clip.Down)
	s.jobs = map[uint64]*conn{}
	for _, e := range s.endpoints {
		if e.listener != nil {
			e.listener.Close()
			e.listener = nil
		}
		if e.blackHole != nil {
			e.blackHole.Close()
			e.blackHole = nil
		}
	}
	for c := range s.conns {
		socket.Abort(c.Conn)
	}
	s.isolated = false
}

// Kill ends the process.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopProcess()
}

// Start begins a new process, cold or warm, at the same addresses. Connections of an older one are
// reset.
func (s *Server) Start(cold bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.stopProcess()
	s.Record(s.Model.Start(s.Clock(), cold))
	for _, e := range s.endpoints {
		if err := s.open(e); err != nil {
			return err
		}
	}
	return nil
}

// Isolate cuts the machine off from the network: open connections stay open without answers, new
// ones are not established. Start ends it.
func (s *Server) Isolate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolated = true
	s.Model.SetState(s.Clock(), clip.Isolated)
	for _, e := range s.endpoints {
		if e.listener == nil {
			continue
		}
		blackHole, err := e.BlackHole(e.listener)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Model.Name, err)
		}
		e.blackHole, e.listener = blackHole, nil
	}
	return nil
}

// SetHung makes the process accept requests without answering them, or continue.
func (s *Server) SetHung(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	s.advance(now)
	switch {
	case on && s.Model.State() == clip.Running:
		s.Model.SetState(now, clip.Hung)
	case !on && s.Model.State() == clip.Hung:
		s.Model.SetState(now, clip.Running)
		s.advance(now)
	}
}

// CloseIdle closes the connections without a running job, as a process may at any time.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Record(history.Event{At: s.Clock(), Kind: history.IdleConnectionsClosed, Server: s.Model.Name})
	for c := range s.conns {
		if c.job == 0 && c.lateBody == "" {
			c.Close()
		}
	}
}

// DelayBodies has choose decide before each answer how long after its head its body is written; nil ends
// that.
func (s *Server) DelayBodies(choose func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodyDelay = choose
}

// CorruptAnswers has choose decide before each answer whether to corrupt it; nil ends that.
func (s *Server) CorruptAnswers(choose func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt = choose
}

// Status returns the server's state for display.
func (s *Server) Status() (st clip.State, active, waiting int, warmRatio float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active, waiting = s.Model.InFlight()
	return s.Model.State(), active, waiting, s.Model.WarmRatio(s.Clock())
}

// Close ends the server and waits for its goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.timer.Stop()
	s.stopProcess()
	for _, e := range s.endpoints {
		e.ReservedAddr.Close()
	}
	s.endpoints = nil
	s.mu.Unlock()
	s.goroutines.Wait()
}
