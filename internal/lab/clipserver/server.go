// Package clipserver puts the model of a clip server on sockets, in the form
// of the protocol page. It has an address of its own for each node, so that it
// knows who sends; its faults are methods.
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
	idleTime = 60 * time.Second // a connection that stands idle for so long is closed
)

// Config says what a Server works with.
type Config struct {
	Model  *clip.Server // the server's alone from now on
	Clock  func() time.Duration
	Record func(history.Event)
	// FirstByteAt tells when the first byte of a request came to a link in front,
	// by the address that the server sees. It may be nil.
	FirstByteAt func(node, remote string) (time.Duration, bool)
}

// Server is one clip server. Its methods may be called from several
// goroutines.
type Server struct {
	Config
	mu     sync.Mutex
	doors  []*door
	conns  map[*conn]bool
	timer  *alarm.Timer
	jobs   map[uint64]*conn
	nextID uint64
	spoil  func() bool // whether to spoil the next answer
	life   int
	muted  bool
	closed bool
	wait   sync.WaitGroup
}

// door is the address for one node.
type door struct {
	node string
	*socket.ReservedAddr
	listener *net.TCPListener  // nil: no process listens
	silence  *socket.BlackHole // while the machine is cut off
}

// conn is one connection. Its goroutine reads; whoever ends its job writes.
type conn struct {
	net.Conn
	r      *bufio.Reader
	limit  *io.LimitedReader
	server *Server
	door   *door
	life   int
	excess bool   // over the cap: its first request is turned away
	fresh  bool   // the next request is the first one
	job    uint64 // that it waits for; 0: none
	try    string
	method string
}

// New makes a server whose process runs and has been running for long.
func New(c Config) *Server {
	s := &Server{Config: c, conns: map[*conn]bool{}, jobs: map[uint64]*conn{}}
	s.timer = alarm.New(func() { go s.tick() }) // it may wait for the lock
	s.watch()
	c.Record(c.Model.Start(c.Clock(), false))
	return s
}

// watch records the effects that the model runs.
func (s *Server) watch() {
	name := s.Model.Name
	s.Model.OnJobStart = func(b clip.JobStart) {
		kind := history.EffectRun
		if b.Duplicate {
			kind = history.DuplicateDropped
		}
		s.Record(history.Event{At: s.Clock(), Kind: kind, Try: b.Try, Server: name, Work: b.Work, Key: b.Key})
	}
}

// Replace ends the process for good and puts a new server at its addresses,
// which is down until Start.
func (s *Server) Replace(m *clip.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.die()
	s.Model = m
	s.Model.SetState(s.Clock(), clip.Down)
	s.watch()
}

// Listen opens an address for a node.
func (s *Server) Listen(node string) (string, error) {
	p, err := socket.ReserveAddr()
	if err != nil {
		return "", fmt.Errorf("%s: %w", s.Model.Name, err)
	}
	d := &door{node: node, ReservedAddr: p}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doors = append(s.doors, d)
	return p.Addr, s.open(d)
}

// open lets a door's process listen. The caller holds the lock.
func (s *Server) open(d *door) error {
	l, err := d.Listen()
	if err != nil {
		return fmt.Errorf("%s: %w", s.Model.Name, err)
	}
	d.listener = l
	s.wait.Add(1)
	go s.accept(d, l)
	return nil
}

func (s *Server) accept(d *door, l *net.TCPListener) {
	defer s.wait.Done()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		limit := &io.LimitedReader{R: nc}
		c := &conn{Conn: nc, limit: limit, r: bufio.NewReader(limit), server: s, door: d, fresh: true}
		s.mu.Lock()
		if s.closed || d.listener != l {
			s.mu.Unlock()
			socket.Abort(nc)
			continue
		}
		c.life = s.life
		c.excess = !s.Model.Connect()
		s.conns[c] = true
		s.Record(history.Event{At: s.Clock(), Kind: history.Connect, Node: d.node, Server: s.Model.Name})
		s.wait.Add(1)
		s.mu.Unlock()
		go c.serve()
	}
}

// serve reads requests until the connection ends. While a job is out it waits
// for the next byte, and so sees that the node has closed the connection.
func (c *conn) serve() {
	s := c.server
	defer s.wait.Done()
	defer c.gone()
	for {
		c.SetReadDeadline(time.Now().Add(idleTime))
		c.limit.N = maxHead + maxBody
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		first := s.Clock()
		req, err := http.ReadRequest(c.r)
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, req.Body); err != nil || n > maxBody {
			return
		}
		if s.FirstByteAt != nil {
			if t, known := s.FirstByteAt(c.door.node, c.RemoteAddr().String()); known {
				first = t
			}
		}
		if !c.take(req, first) {
			return
		}
	}
}

// take brings a request to the model. It gives false if the connection must
// end.
func (c *conn) take(req *http.Request, first time.Duration) bool {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.life != s.life || c.job != 0 { // one request at a time
		return false
	}
	if s.muted { // cut off: it never came
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
	if c.fresh {
		c.fresh = false
		j.Work += s.Model.Machine.HandshakeWork
	}
	s.nextID++
	if j.Probe {
		s.Record(history.Event{At: now, Kind: history.Probe, Node: c.door.node, Server: s.Model.Name, Work: j.Work})
	}
	verdict, fell := history.Rejected, false
	if !c.excess {
		verdict, fell = s.Model.Submit(now, j)
	}
	if !j.Probe {
		s.Record(history.Event{At: now, Kind: history.Attempt, Try: j.Try, Node: c.door.node, Server: s.Model.Name,
			Work: j.Work, FirstByteAt: first, Verdict: verdict})
	}
	switch {
	case fell:
		s.Record(history.Event{At: now, Kind: history.ServerOverloaded, Server: s.Model.Name})
		s.die()
		return false
	case verdict == history.Rejected:
		return c.reply(http.StatusServiceUnavailable, "Not-Started: 1\r\n", "") && !c.excess
	}
	c.job, c.try, c.method = j.ID, j.Try, req.Method
	s.jobs[j.ID] = c
	s.advance(now)
	return true
}

// reply writes a whole answer.
func (c *conn) reply(status int, head, body string) bool {
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(body), head, body)
	return err == nil
}

// gone cleans up behind a connection.
func (c *conn) gone() {
	s := c.server
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.life != s.life {
		return
	}
	if !c.excess {
		s.Model.Disconnect()
	}
	s.Record(history.Event{At: s.Clock(), Kind: history.Disconnect, Node: c.door.node, Server: s.Model.Name})
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

// advance answers the jobs that are done and plans for the next one. The
// caller holds the lock.
func (s *Server) advance(now time.Duration) {
	for _, d := range s.Model.Advance(now) {
		c := s.jobs[d.ID]
		if c == nil {
			continue
		}
		delete(s.jobs, d.ID)
		c.job = 0
		switch {
		case d.Probe:
			l := s.Model.Report(now)
			c.reply(http.StatusOK, "", fmt.Sprintf("inflight=%d,queue=%d", l.InFlight, l.Queue))
		case s.spoil != nil && s.spoil():
			s.Record(history.Event{At: now, Kind: history.AnswerCorrupted, Try: d.Try, Server: s.Model.Name})
			c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nnot all of i"))
			c.Close()
		default:
			c.reply(http.StatusOK, "", AnswerBody(s.Model.Name, d.Try))
		}
	}
	if t, any := s.Model.NextCompletion(); any {
		s.timer.Set(t - now)
	}
}

// AnswerBody is the answer that a server makes for a try; a client knows by it that
// nobody else made it.
func AnswerBody(server, try string) string { return "clip " + try + " by " + server + "\n" }

// die ends the process: connections are reset and new ones refused. The caller
// holds the lock.
func (s *Server) die() {
	s.life++
	s.Model.SetState(s.Clock(), clip.Down)
	s.jobs = map[uint64]*conn{}
	for _, d := range s.doors {
		if d.listener != nil {
			d.listener.Close()
			d.listener = nil
		}
		if d.silence != nil {
			d.silence.Close()
			d.silence = nil
		}
	}
	for c := range s.conns {
		socket.Abort(c.Conn)
	}
	s.muted = false
}

// Kill ends the process.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.die()
}

// Start begins a new process, cold or warm, at the same addresses. What an
// older one held is reset.
func (s *Server) Start(cold bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.die()
	s.Record(s.Model.Start(s.Clock(), cold))
	for _, d := range s.doors {
		if err := s.open(d); err != nil {
			return err
		}
	}
	return nil
}

// Isolate cuts the machine off: what is open stays open, nothing comes up, and
// nothing is said. Start brings it back.
func (s *Server) Isolate() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
	s.Model.SetState(s.Clock(), clip.Isolated)
	for _, d := range s.doors {
		if d.listener == nil {
			continue
		}
		silence, err := d.BlackHole(d.listener)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Model.Name, err)
		}
		d.silence, d.listener = silence, nil
	}
	return nil
}

// SetHung makes the process take requests and answer none, or go on.
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

// CloseIdle closes the connections on which nothing is going on, as a process may at any time.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Record(history.Event{At: s.Clock(), Kind: history.IdleConnectionsClosed, Server: s.Model.Name})
	for c := range s.conns {
		if c.job == 0 {
			c.Close()
		}
	}
}

// CorruptAnswers asks choose before each answer whether to spoil it; nil ends that.
func (s *Server) CorruptAnswers(choose func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = choose
}

// Status gives the server's state for a screen.
func (s *Server) Status() (st clip.State, active, waiting int, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active, waiting = s.Model.InFlight()
	return s.Model.State(), active, waiting, s.Model.WarmRatio(s.Clock())
}

// Close ends all and waits for it.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.timer.Stop()
	s.die()
	for _, d := range s.doors {
		d.ReservedAddr.Close()
	}
	s.doors = nil
	s.mu.Unlock()
	s.wait.Wait()
}
