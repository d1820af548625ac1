// Package console serves the operators' HTTP endpoint on its own listener: readiness,
// metrics, recent events, and maintenance of single servers. It depends neither on the
// limit of client connections nor on the request queue.
package console

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"ivylock/internal/accept"
	"ivylock/maintenance"
)

const (
	// MaxConns limits open connections. When it is reached, the oldest connection without a
	// complete request is closed.
	MaxConns = 32
	// MaxDescriptors is the number of file descriptors that the console may use.
	MaxDescriptors = MaxConns + 2

	headerTimeout  = 2 * time.Second
	requestTimeout = 3 * time.Second
	evictionGrace  = 20 * time.Millisecond // a request normally follows its connection at once
	nodeTimeout    = 900 * time.Millisecond
	maxIDBytes     = 256
)

// Node is the process that the console serves.
type Node interface {
	// Ready reports whether this process accepts client requests.
	Ready() bool
	// MetricsText returns the metrics as text.
	MetricsText() []byte
	// SetMaintenance puts a server into maintenance or ends its maintenance. Once it returns
	// without an error, no new request is sent to a server in maintenance. It returns
	// maintenance.ErrUnknown for an unknown id.
	SetMaintenance(ctx context.Context, id string, inMaintenance bool) error
}

// FleetRecorder is implemented by nodes that record which fleet versions they applied.
type FleetRecorder interface {
	// FleetRecord returns the version.Record as JSON, or ErrFleetDisabled if none is kept.
	FleetRecord(ctx context.Context) ([]byte, error)
}

// EventSource is implemented by nodes that keep their recent events.
type EventSource interface {
	// Events returns the recent events as text, one per line. If request is not empty, only
	// events of the request with this id are included.
	Events(request string) []byte
}

// ErrFleetDisabled is returned when the operator's file has no [fleet] section.
var ErrFleetDisabled = errors.New("the section [fleet] of the operator's file is not there: nothing is recorded")

// Server is the console's HTTP server.
type Server struct {
	node     Node
	http     *http.Server
	listener *limitListener
}

// New returns a console that accepts connections from l.
func New(l net.Listener, n Node) *Server {
	s := &Server{node: n, listener: &limitListener{Listener: accept.New(l, nil), open: map[*conn]bool{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/status", s.get(s.status))
	mux.HandleFunc("/status/metrics", s.get(s.metrics))
	if h, ok := n.(EventSource); ok {
		mux.HandleFunc("/status/events", s.get(events(h)))
	}
	mux.HandleFunc("/maintenance/enter", s.setMaintenance(true))
	mux.HandleFunc("/maintenance/exit", s.setMaintenance(false))
	if f, ok := n.(FleetRecorder); ok {
		mux.HandleFunc("/fleet/record", s.get(s.fleetRecord(f)))
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout + time.Second,
		MaxHeaderBytes: 8 << 10,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	s.http.SetKeepAlivesEnabled(false) // one request per connection
	return s
}

// Serve handles requests until Close is called.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the console immediately.
func (s *Server) Close() error { return s.http.Close() }

type connKey struct{}

// markComplete records that the request has been read completely, which protects its
// connection from eviction.
func markComplete(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		c.listener.mu.Lock()
		c.complete = true
		c.listener.mu.Unlock()
	}
}

func allowMethod(method string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			http.Error(w, "use "+method, http.StatusMethodNotAllowed)
			return
		}
		if method == http.MethodGet {
			markComplete(r)
		}
		next(w, r)
	}
}

func (s *Server) get(next http.HandlerFunc) http.HandlerFunc {
	return allowMethod(http.MethodGet, next)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if !s.node.Ready() {
		http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "takes clients\n")
}

func (s *Server) fleetRecord(f FleetRecorder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), nodeTimeout)
		defer cancel()
		raw, err := f.FleetRecord(ctx)
		switch {
		case errors.Is(err, ErrFleetDisabled):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		default:
			w.Header().Set("Content-Type", "application/json")
			w.Write(raw)
		}
	}
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(s.node.MetricsText())
}

func events(h EventSource) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(h.Events(r.URL.Query().Get("id")))
	}
}

func (s *Server) setMaintenance(inMaintenance bool) http.HandlerFunc {
	return allowMethod(http.MethodPut, func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxIDBytes))
		markComplete(r)
		var tooLong *http.MaxBytesError
		switch id := strings.TrimSpace(string(raw)); {
		case errors.As(err, &tooLong):
			http.Error(w, "the body is too long for an id", http.StatusRequestEntityTooLarge)
		case err != nil || id == "":
			http.Error(w, "the body is the backend's id", http.StatusBadRequest)
		default:
			ctx, cancel := context.WithTimeout(r.Context(), nodeTimeout)
			defer cancel()
			switch err := s.node.SetMaintenance(ctx, id, inMaintenance); {
			case errors.Is(err, maintenance.ErrUnknown):
				http.Error(w, "no backend has this id", http.StatusNotFound)
			case err != nil:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			case inMaintenance:
				io.WriteString(w, "out of use\n")
			default:
				io.WriteString(w, "in use\n")
			}
		}
	})
}

// limitListener holds at most MaxConns connections.
type limitListener struct {
	net.Listener
	mu       sync.Mutex
	open     map[*conn]bool
	arrivals []*conn // oldest first
}

type conn struct {
	net.Conn
	listener *limitListener
	openedAt time.Time
	complete bool // its request has been read
}

// Accept accepts the next connection immediately. At the limit it closes the oldest
// connection without a complete request, so that idle clients cannot block the console.
func (l *limitListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l, openedAt: time.Now()}
	l.mu.Lock()
	l.open[c] = true
	l.arrivals = append(l.arrivals, c)
	var victim *conn
	var wait time.Duration
	for _, o := range l.arrivals {
		if len(l.open) < MaxConns {
			break
		}
		if !o.complete {
			victim, wait = o, evictionGrace-time.Since(o.openedAt)
			break
		}
	}
	l.mu.Unlock()
	if victim != nil {
		if wait > 0 { // during a burst of connections: complete requests are served meanwhile
			time.Sleep(wait)
		}
		victim.Close()
	}
	return c, nil
}

func (c *conn) Close() error {
	c.listener.mu.Lock()
	if c.listener.open[c] {
		delete(c.listener.open, c)
		for i, o := range c.listener.arrivals {
			if o == c {
				c.listener.arrivals = append(c.listener.arrivals[:i], c.listener.arrivals[i+1:]...)
				break
			}
		}
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
