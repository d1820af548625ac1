// Package console answers the operators' calls on a listener of its own:
// whether the node takes clients, its figures, and single servers out of use
// and back. It depends neither on the clients' budget of connections nor on
// the queue of requests.
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
	// MaxConns is how many connections the console holds at once. At it the
	// one that has been silent longest gives way.
	MaxConns = 32
	// MaxDescriptors is what the console takes of the process's descriptors.
	MaxDescriptors = MaxConns + 2

	headTime  = 2 * time.Second
	callTime  = 3 * time.Second
	spareTime = 20 * time.Millisecond // a caller's call comes right behind its connection
	wordTime  = 900 * time.Millisecond
	maxID     = 256 // bytes
)

// Node is what the console speaks for.
type Node interface {
	// Ready tells whether this process takes clients.
	Ready() bool
	// MetricsText gives the figures as text.
	MetricsText() []byte
	// SetMaintenance takes a server out of use, or back. When it returns with no
	// error nothing new goes to a server that was taken out. The error is
	// maintenance.ErrUnknown for an id that nobody has.
	SetMaintenance(ctx context.Context, id string, out bool) error
}

// FleetRecorder is a node that tells what it has acted on.
type FleetRecorder interface {
	// FleetRecord gives its record (version.Record) in JSON; ErrFleetDisabled if it keeps
	// none.
	FleetRecord(ctx context.Context) ([]byte, error)
}

// EventSource is a node that keeps its latest events.
type EventSource interface {
	// Events gives the latest events as text, a line each; of one request alone
	// if its id is not empty.
	Events(request string) []byte
}

// ErrFleetDisabled says that a part of the node is switched off.
var ErrFleetDisabled = errors.New("the section [fleet] of the operator's file is not there: nothing is recorded")

// Server is the console.
type Server struct {
	node Node
	http *http.Server
	list *listener
}

// New makes a console on a listener.
func New(l net.Listener, n Node) *Server {
	s := &Server{node: n, list: &listener{Listener: accept.New(l, nil), open: map[*conn]bool{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/status", s.get(s.status))
	mux.HandleFunc("/status/metrics", s.get(s.figures))
	if h, is := n.(EventSource); is {
		mux.HandleFunc("/status/events", s.get(events(h)))
	}
	mux.HandleFunc("/maintenance/enter", s.put(true))
	mux.HandleFunc("/maintenance/exit", s.put(false))
	if f, is := n.(FleetRecorder); is {
		mux.HandleFunc("/fleet/record", s.get(s.fleet(f)))
	}
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headTime, ReadTimeout: callTime, WriteTimeout: callTime + time.Second,
		MaxHeaderBytes: 8 << 10,
		ConnContext:    func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, c) }}
	s.http.SetKeepAlivesEnabled(false) // one call per connection
	return s
}

// Serve answers calls until Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.list); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close ends the console at once.
func (s *Server) Close() error { return s.http.Close() }

type callerKey struct{}

// whole marks a caller whose call has come: it is answered, whoever else comes.
func whole(r *http.Request) {
	if c, is := r.Context().Value(callerKey{}).(*conn); is {
		c.l.mu.Lock()
		c.whole = true
		c.l.mu.Unlock()
	}
}

func only(method string, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			w.Header().Set("Allow", method)
			http.Error(w, "use "+method, http.StatusMethodNotAllowed)
			return
		}
		if method == http.MethodGet {
			whole(r)
		}
		then(w, r)
	}
}

func (s *Server) get(then http.HandlerFunc) http.HandlerFunc { return only(http.MethodGet, then) }

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if !s.node.Ready() {
		http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "takes clients\n")
}

func (s *Server) fleet(f FleetRecorder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), wordTime)
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

func (s *Server) figures(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Write(s.node.MetricsText())
}

func events(h EventSource) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(h.Events(r.URL.Query().Get("id")))
	}
}

func (s *Server) put(out bool) http.HandlerFunc {
	return only(http.MethodPut, func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxID))
		whole(r)
		var long *http.MaxBytesError
		switch id := strings.TrimSpace(string(raw)); {
		case errors.As(err, &long):
			http.Error(w, "the body is too long for an id", http.StatusRequestEntityTooLarge)
		case err != nil || id == "":
			http.Error(w, "the body is the backend's id", http.StatusBadRequest)
		default:
			ctx, cancel := context.WithTimeout(r.Context(), wordTime)
			defer cancel()
			switch err := s.node.SetMaintenance(ctx, id, out); {
			case errors.Is(err, maintenance.ErrUnknown):
				http.Error(w, "no backend has this id", http.StatusNotFound)
			case err != nil:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			case out:
				io.WriteString(w, "out of use\n")
			default:
				io.WriteString(w, "in use\n")
			}
		}
	})
}

// listener holds MaxConns connections at most.
type listener struct {
	net.Listener
	mu    sync.Mutex
	open  map[*conn]bool
	order []*conn // in order of arrival
}

type conn struct {
	net.Conn
	l     *listener
	since time.Time
	whole bool // its call has come
}

// Accept takes the next connection at once, and for it gives up the oldest
// where there are too many: guards against callers that stay without a whole
// call.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, l: l, since: time.Now()}
	l.mu.Lock()
	l.open[c] = true
	l.order = append(l.order, c)
	var give *conn
	var wait time.Duration
	for _, o := range l.order {
		if len(l.open) < MaxConns {
			break
		}
		if !o.whole {
			give, wait = o, spareTime-time.Since(o.since)
			break
		}
	}
	l.mu.Unlock()
	if give != nil {
		if wait > 0 { // a crowd of new ones: those that have a call are answered meanwhile
			time.Sleep(wait)
		}
		give.Close()
	}
	return c, nil
}

func (c *conn) Close() error {
	c.l.mu.Lock()
	if c.l.open[c] {
		delete(c.l.open, c)
		for i, o := range c.l.order {
			if o == c {
				c.l.order = append(c.l.order[:i], c.l.order[i+1:]...)
				break
			}
		}
	}
	c.l.mu.Unlock()
	return c.Conn.Close()
}
