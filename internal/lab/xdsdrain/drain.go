// Package xdsdrain measures how long after a drain proxies that are steered
// over xDS still send new requests to the drained server, while something is
// wrong between them and the control service.
package xdsdrain

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/link"
	"ivylock/internal/lab/xdsproxy"
)

// Fault is what is wrong at the moment of a drain.
type Fault string

// The faults.
const (
	NoFault       Fault = "nothing"        // the plain case
	PacketLoss    Fault = "loss"           // one segment in five is lost once, and 5 ms of delay
	BlackHole     Fault = "black hole"     // nothing passes, nobody is told
	HalfOpen      Fault = "half-open"      // what proxies say is lost
	StoppedReader Fault = "stopped reader" // proxies stop reading their stream
	ControlPaused Fault = "stopped"        // SIGSTOP of the control service
	ControlKilled Fault = "killed"         // SIGKILL, and a restart with the list kept before the drain
)

// Faults lists them all.
var Faults = []Fault{NoFault, PacketLoss, BlackHole, HalfOpen, StoppedReader, ControlPaused, ControlKilled}

// Measurement is one measured drain as one proxy kept it.
type Measurement struct {
	Fault            Fault
	Variant          string        // sotw or delta
	LastRequest      time.Duration // from the drain to its last new request there; 0: none after it
	StaleAfterResume time.Duration // of a stopped reader that went on: how long it still used what it had read and not looked at
	Requests         int           // requests in the 1.2 s after the drain
	NoServer         int           // of these: without any server to go to
	Streams          int           // new discovery streams meanwhile
}

const (
	servers  = 6
	rate     = 200 // requests a second of each proxy
	watchFor = 1200 * time.Millisecond
	settle   = 20 * time.Second
)

const file = `[control]
listen = %q
plain_text = true
discovery = %q
list_file = %q
probe = "/healthz"

[[control.service]]
name = "clips"
connect = "250ms"

[[control.service.class]]
name = "fetch"
effect = "safe"
aim = "1s"
deadline = "5s"

[[control.service.class]]
name = "broadcast"
effect = "keyed"
priority = true
aim = "1s"
deadline = "20s"
key_window = "8s"
`

// standIn is a server that notes when requests come.
type standIn struct {
	entry    hosts.Entry
	draining atomic.Bool
	mu       sync.Mutex
	last     map[string]time.Duration // by proxy
	count    map[string]int
	http     *http.Server
}

// Testbed is one control service with its discovery, servers and proxies.
type Testbed struct {
	clock   func() time.Duration
	program string
	dir     string
	addr    atomic.Value // string: where the control service listens
	list    *hosts.Service
	from    string // discovery's address
	servers []*standIn
	links   []*link.TCP
	proxies []*xdsproxy.Proxy
	names   []string
	picks   []atomic.Int64
	dark    []atomic.Int64
	control *exec.Cmd
	cancel  context.CancelFunc
	done    sync.WaitGroup
	client  *http.Client
	rnd     *rand.Rand
	log     tail
}

// New starts a hall with the control service's program.
func New(program string, seed uint64) (*Testbed, error) {
	start := time.Now()
	h := &Testbed{clock: func() time.Duration { return time.Since(start) }, program: program, rnd: rand.New(rand.NewPCG(seed, 3)),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
	if err := h.start(); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Testbed) start() (err error) {
	if h.dir, err = os.MkdirTemp("", "xdsdrain"); err != nil {
		return err
	}
	h.list = hosts.NewService(uint64(1000+h.rnd.Int64N(1000)), h.clock, func(history.Event) {}, func(_, server string) string {
		for _, s := range h.servers {
			if s.entry.InstanceID == server {
				return s.entry.HostPort
			}
		}
		return ""
	})
	if h.from, err = h.list.Listen("control"); err != nil {
		return err
	}
	for i := range servers {
		if err := h.serve(i); err != nil {
			return err
		}
	}
	if err := h.run(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	variants := []string{"sotw", "delta"}
	h.picks, h.dark = make([]atomic.Int64, len(variants)), make([]atomic.Int64, len(variants))
	for _, v := range variants {
		l, err := link.NewTCP(func() string { return h.addr.Load().(string) }, h.clock)
		if err != nil {
			return err
		}
		h.links = append(h.links, l)
		p := xdsproxy.New(xdsproxy.Config{ControlServices: []string{l.Addr()}, Delta: v == "delta", NodeID: v, Zone: "a", Service: "clips",
			Clock: h.clock, HealthCheckPath: "/healthz"})
		h.proxies, h.names = append(h.proxies, p), append(h.names, v)
	}
	for i, p := range h.proxies {
		h.done.Go(func() { p.Run(ctx) })
		h.done.Go(func() { h.load(ctx, i) })
	}
	return nil
}

// serve starts a stand-in server.
func (h *Testbed) serve(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &standIn{last: map[string]time.Duration{}, count: map[string]int{},
		entry: hosts.Entry{InstanceID: "s" + strconv.Itoa(i), HostPort: l.Addr().String(), Zone: "a", Cell: i / 3, Lifecycle: hosts.Up, Weight: 1}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /clip", func(w http.ResponseWriter, r *http.Request) {
		now, from := h.clock(), r.Header.Get("From")
		s.mu.Lock()
		s.last[from] = now
		s.count[from]++
		s.mu.Unlock()
	})
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(l)
	h.servers = append(h.servers, s)
	h.list.SetNow(s.entry)
	return nil
}

// run starts the control service. Its own log tells where it listens.
func (h *Testbed) run() error {
	path := filepath.Join(h.dir, "operator.toml")
	text := fmt.Sprintf(file, "127.0.0.1:0", h.from, filepath.Join(h.dir, "list.json"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(h.program, "-config", path)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with the lab
	said, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.control = cmd
	addr := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(said); lines.Scan(); {
			h.log.add(lines.Text())
			if _, rest, ok := strings.Cut(lines.Text(), "msg=serves addr="); ok {
				at, _, _ := strings.Cut(rest, " ")
				addr <- at
			}
		}
	}()
	select {
	case at := <-addr:
		h.addr.Store(at)
		return nil
	case <-time.After(settle):
		return fmt.Errorf("the control service does not listen; it says:\n%s", h.Log())
	}
}

func (h *Testbed) kill() {
	if h.control != nil {
		h.control.Process.Kill()
		h.control.Wait()
		h.control = nil
	}
}

// load has a proxy send requests, each on its own.
func (h *Testbed) load(ctx context.Context, i int) {
	t := time.NewTicker(time.Second / rate)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		s, dropped, ok := h.proxies[i].Pick("fetch")
		h.picks[i].Add(1)
		if !ok || dropped {
			h.dark[i].Add(1)
			continue
		}
		go func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr+"/clip", nil)
			if err != nil {
				return
			}
			r.Header.Set("From", h.names[i])
			if resp, err := h.client.Do(r); err == nil {
				resp.Body.Close()
			}
		}()
	}
}

// Close ends everything.
func (h *Testbed) Close() {
	if h.cancel != nil {
		h.cancel()
	}
	for _, p := range h.proxies {
		p.SetReadPaused(false)
	}
	h.done.Wait()
	h.kill()
	for _, l := range h.links {
		l.Close()
	}
	for _, s := range h.servers {
		s.http.Close()
	}
	if h.list != nil {
		h.list.Close()
	}
	os.RemoveAll(h.dir)
}

// Log gives the last lines that the control service said.
func (h *Testbed) Log() string {
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	return strings.Join(h.log.lines, "\n")
}

// tail keeps the last lines of a log.
type tail struct {
	mu    sync.Mutex
	lines []string
}

func (t *tail) add(line string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lines = append(t.lines, line); len(t.lines) > 100 {
		t.lines = t.lines[1:]
	}
}

// all waits until every proxy uses every server.
func (h *Testbed) all() error {
	from := make([]map[string]int, len(h.servers))
	for i, s := range h.servers {
		from[i] = s.counts()
	}
	for began := time.Now(); time.Since(began) < settle; time.Sleep(20 * time.Millisecond) {
		used := true
		for i, s := range h.servers {
			now := s.counts()
			for _, p := range h.names {
				used = used && now[p] > from[i][p]+2
			}
		}
		if used {
			return nil
		}
	}
	return fmt.Errorf("after %v not every proxy uses every server; the control service says:\n%s", settle, h.Log())
}

func (s *standIn) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, v := range s.count {
		out[k] = v
	}
	return out
}

// lasts gives when each proxy last sent a new request.
func (s *standIn) lasts(proxies []string) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]time.Duration, len(proxies))
	for i, p := range proxies {
		out[i] = s.last[p]
	}
	return out
}

// Measurement drains a server while a fault is on and measures what comes after it.
func (h *Testbed) Drain(fault Fault) ([]Measurement, error) {
	if err := h.all(); err != nil {
		return nil, err
	}
	s := h.servers[h.rnd.IntN(len(h.servers))]
	if err := h.begin(fault); err != nil {
		return nil, err
	}
	// The fault is there before the drain, as the news must meet it.
	time.Sleep(time.Duration(h.rnd.Int64N(int64(150 * time.Millisecond))))
	picks, dark, streams := make([]int64, 2), make([]int64, 2), make([]int, 2)
	for i := range h.proxies {
		picks[i], dark[i], streams[i] = h.picks[i].Load(), h.dark[i].Load(), h.proxies[i].Streams()
	}
	at := h.clock()
	s.draining.Store(true)
	e := s.entry
	e.Lifecycle = hosts.Draining
	h.list.SetNow(e)
	if fault == ControlKilled { // it has not heard of the drain, nor has the list that it kept
		if err := h.run(); err != nil {
			return nil, err
		}
	}
	time.Sleep(watchFor)
	out := make([]Measurement, len(h.proxies))
	for i := range h.proxies {
		out[i] = Measurement{Fault: fault, Variant: h.names[i], Requests: int(h.picks[i].Load() - picks[i]),
			NoServer: int(h.dark[i].Load() - dark[i]), Streams: h.proxies[i].Streams() - streams[i]}
	}
	before := s.lasts(h.names)
	ended := h.clock()
	if err := h.end(fault); err != nil {
		return nil, err
	}
	// What the network held back may come only now.
	time.Sleep(watchFor / 2)
	after := s.lasts(h.names)
	for i := range h.names {
		out[i].LastRequest = max(0, after[i]-at)
		if fault == StoppedReader && after[i] > ended {
			out[i].LastRequest, out[i].StaleAfterResume = max(0, before[i]-at), after[i]-ended
		}
	}
	s.draining.Store(false)
	h.list.SetNow(s.entry)
	return out, nil
}

func (h *Testbed) begin(f Fault) error {
	for i, l := range h.links {
		var err error
		switch f {
		case PacketLoss:
			err = l.Set(link.Conditions{Delay: 5 * time.Millisecond, Loss: 0.2})
		case BlackHole:
			err = l.Set(link.Conditions{State: link.BlackHole})
		case HalfOpen:
			err = l.Set(link.Conditions{State: link.HalfOpen})
		case StoppedReader:
			h.proxies[i].SetReadPaused(true)
		}
		if err != nil {
			return err
		}
	}
	switch f {
	case ControlPaused:
		return h.control.Process.Signal(syscall.SIGSTOP)
	case ControlKilled:
		h.kill()
	}
	return nil
}

func (h *Testbed) end(f Fault) error {
	for i, l := range h.links {
		if err := l.Set(link.Conditions{}); err != nil {
			return err
		}
		h.proxies[i].SetReadPaused(false)
	}
	if f == ControlPaused {
		return h.control.Process.Signal(syscall.SIGCONT)
	}
	return nil
}

// Summary is the drains of one fault.
type Summary struct {
	Fault         Fault
	Drains        int
	P50, P99, Max time.Duration
	NoServerRatio float64 // part of the requests in the 1.2 s after the drain that found no server
	Streams       int
}

// Summarise gives one line for each fault, and one over all.
func Summarise(drains []Measurement) []Summary {
	var out []Summary
	for _, f := range append(slices.Clone(Faults), "all") {
		var last []time.Duration
		s := Summary{Fault: f}
		picks, dark := 0, 0
		for _, d := range drains {
			if f == "all" || d.Fault == f {
				last = append(last, d.LastRequest)
				picks, dark, s.Streams = picks+d.Requests, dark+d.NoServer, s.Streams+d.Streams
			}
		}
		if len(last) == 0 {
			continue
		}
		slices.Sort(last)
		s.Drains, s.P50, s.P99, s.Max = len(last), last[len(last)/2], last[(len(last)*99)/100], last[len(last)-1]
		s.NoServerRatio = float64(dark) / float64(max(1, picks))
		out = append(out, s)
	}
	return out
}
