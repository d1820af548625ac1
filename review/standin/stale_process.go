package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// The rule's figures, from the settings and the protocol page.
const (
	drainGrace  = 500 * time.Millisecond
	socketSlack = 50 * time.Millisecond // each time limit is 50 ms longer on sockets
)

// maintenanceLog judges what servers receive while they are out of service.
type maintenanceLog struct {
	run   *run
	mu    sync.Mutex
	outAt map[string]time.Time // when the node answered the operator's call; zero: in service
}

func (m *maintenanceLog) set(name string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outAt[name] = at
}

// received judges a request whose head has come to a server.
func (m *maintenanceLog) received(name string, req *http.Request) {
	m.mu.Lock()
	at := m.outAt[name]
	m.mu.Unlock()
	if at.IsZero() {
		m.run.logf("%s gets request %s", name, req.Header.Get("Request-Id"))
		return
	}
	since := time.Since(at) - m.run.late.max() // how late this program may have seen it
	m.run.logf("%s, out of service for %.3f s, gets request %s", name, since.Seconds(), req.Header.Get("Request-Id"))
	if since > drainGrace+socketSlack {
		m.run.breachf("%s was sent request %s %.3f s after the node had taken it out of service", name, req.Header.Get("Request-Id"), since.Seconds())
	}
}

func init() { cases["stale-process"] = staleProcess }

// staleProcess: a server is taken out of service while a new process of the node has just
// taken over and the old one still ends. From the node's yes and the grace on, neither
// process may send it anything new.
func staleProcess(r *run) {
	const rounds, clients = 12, 120
	disc := r.newDiscovery()
	r.late.start()
	log := &maintenanceLog{run: r, outAt: map[string]time.Time{}}
	addrs := map[string]string{}
	for i, name := range []string{"s-1", "s-2", "s-3", "s-4"} {
		b := &backend{name: name, work: 10 * time.Millisecond, onHead: func(req *http.Request) { log.received(name, req) }}
		r.startBackend(b)
		addrs[name] = b.addr
		disc.set(name, b.addr, "up", i)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0") // the platform holds the clients' socket
	if err != nil {
		r.failf("%v", err)
	}
	inherited, err := listener.(*net.TCPListener).File()
	if err != nil {
		r.failf("%v", err)
	}
	listener.Close()
	shared, err := os.MkdirTemp(r.tmp, "shared-")
	if err != nil {
		r.failf("%v", err)
	}
	spec := nodeSpec{name: "n0", addr: listener.Addr().String(), discovery: disc.addr, shared: shared, inherited: inherited, initial: disc.list(true, 0)}
	current := r.startNode(spec)
	r.awaitReady(current)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { r.keepSending(current.addr, i, stop) })
	}
	time.Sleep(time.Second)
	for round := range rounds {
		r.logf("round %d", round)
		old := current
		if r.trouble {
			current = r.startNode(spec)
			r.awaitReady(current)
		}
		lifecycle := "draining" // a change of the list at the same time
		if round%2 == 1 {
			lifecycle = "up"
		}
		disc.set("s-4", addrs["s-4"], lifecycle, 3)
		time.Sleep(3 * time.Millisecond)
		if r.trouble {
			r.logf("SIGTERM to process %d", old.cmd.Process.Pid)
			old.signal(syscall.SIGTERM)
		}
		status, text := callConsole(current.console, http.MethodPut, "/maintenance/enter", "s-1")
		if status != http.StatusOK {
			r.failf("maintenance/enter: %d %s", status, text)
		}
		log.set("s-1", time.Now())
		r.logf("process %d has taken s-1 out of service", current.cmd.Process.Pid)
		time.Sleep(2 * time.Second)
		log.set("s-1", time.Time{})
		if status, text := callConsole(current.console, http.MethodPut, "/maintenance/exit", "s-1"); status != http.StatusOK {
			r.failf("maintenance/exit: %d %s", status, text)
		}
		r.logf("process %d uses s-1 again", current.cmd.Process.Pid)
		if r.trouble {
			<-old.exited
		}
		time.Sleep(500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
}

// keepSending sends one request after the other.
func (r *run) keepSending(addr string, number int, stop chan struct{}) {
	classes := []string{"viewer-clip", "cut-order", "broadcast-clip", "tag-event", "viewer-clip"}
	var c *client
	for i := number; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.Int64N(int64(400 * time.Millisecond)))):
		}
		if c == nil {
			var err error
			if c, err = dialNode(addr); err != nil {
				continue
			}
		}
		class, id := classes[i%len(classes)], newID()
		body := ""
		if class == "cut-order" || class == "tag-event" {
			body = "clip 7"
		}
		c.Write([]byte(head(class, id, time.Second, len(body)) + body))
		if a := c.readAnswer(time.Now().Add(2 * time.Second)); a.err != nil || a.close {
			c.Close()
			c = nil
		}
	}
}
