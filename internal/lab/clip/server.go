package clip

import (
	"container/heap"
	"math"
	"time"

	"ivylock/internal/lab/history"
)

// State is what goes on with a server's process.
type State int

// The states.
const (
	Running  State = iota
	Hung           // takes requests and answers none; what ran goes on, unheard
	Isolated       // the machine is cut off: no reset, no answer
	Down           // the process is dead, or has fallen over: connections are refused
)

// Job is one attempt or probe at a server.
type Job struct {
	ID    uint64 // the caller's
	Try   string
	Key   string        // "" but for keyed requests
	Work  time.Duration // on a core of speed 1, handshake included
	Probe bool
}

// Completion says that a job's answer is ready.
type Completion struct {
	Job
	Duplicate bool // dropped as a repeat: the effect did not run
}

// JobStart says that a job was begun. Its effect ran, unless it is a repeat.
type JobStart struct {
	Job
	At        time.Duration
	Duplicate bool
}

// LoadReport is the load report, in the fields of the protocol page.
type LoadReport struct {
	InFlight, Queue int
	Utilisation     float64 // of the cores since the report before, 0 to 1
	CompletionRate  float64 // answers a second, the same
}

// Server is the model of one clip server. It is not safe for concurrent use.
//
// All jobs in work progress alike, so one number, the work that each of them
// has had since the process began (done), tells when the next one ends.
type Server struct {
	Name          string
	Machine       Machine
	OverloadLimit OverloadLimit
	pod           *Pod
	state         State
	since         time.Duration // start of the process
	cold          bool          // it started cold at since
	at            time.Duration // up to when done counts
	done          float64       // s of work that each job in work has had
	active        jobHeap
	queue         []Job
	conns         int
	recent        []arrival // within Fall.Window, while cold
	sum           time.Duration
	load          LoadReport
	loadAt        time.Duration
	busy          float64 // s of cores at work since the process began
	answers       float64
	busyAt        float64 // these two at the last report
	endedAt       float64
	OnJobStart    func(JobStart) // told of every job that is begun; may be nil
}

type arrival struct{ at, work time.Duration }

type running struct {
	Job
	end    float64
	repeat bool
}

// NewServer makes a warm, running server.
func NewServer(name string, m Machine, f OverloadLimit, pod *Pod) *Server {
	return &Server{Name: name, Machine: m, OverloadLimit: f, pod: pod, loadAt: -1 << 60}
}

// State gives the state.
func (s *Server) State() State { return s.state }

// InFlight gives the requests in work and waiting, as they are now.
func (s *Server) InFlight() (active, waiting int) { return len(s.active), len(s.queue) }

// MaxConnections gives the open connections.
func (s *Server) Connections() int { return s.conns }

// SetState changes the state. A process that dies loses all it held.
func (s *Server) SetState(now time.Duration, st State) {
	s.progress(now)
	s.state = st
	if st == Down {
		s.active, s.queue, s.conns = nil, nil, 0
	}
}

// Start begins a new process: nothing is held, and it is cold if so asked. The
// event describes it for the history.
func (s *Server) Start(now time.Duration, cold bool) history.Event {
	s.SetState(now, Down)
	s.state, s.since, s.cold, s.at, s.done = Running, now, cold, now, 0
	s.recent, s.sum, s.load, s.loadAt = nil, 0, LoadReport{}, -1<<60
	s.busy, s.answers, s.busyAt, s.endedAt = 0, 0, 0, 0
	e := history.Event{At: now, Kind: history.ServerStarted, Server: s.Name, Capacity: s.Machine.Capacity(), Cores: s.Machine.Cores}
	if cold {
		e.ColdFraction, e.WarmupTime = s.Machine.ColdFraction, s.Machine.WarmupTime
	}
	return e
}

// Cold tells whether the process is not warm yet.
func (s *Server) Cold(now time.Duration) bool { return s.cold && now < s.since+s.Machine.WarmupTime }

// WarmRatio is the part of its capacity that the server has.
func (s *Server) WarmRatio(now time.Duration) float64 {
	if !s.Cold(now) {
		return 1
	}
	age := max(0, now-s.since).Seconds() / s.Machine.WarmupTime.Seconds()
	return s.Machine.ColdFraction + (1-s.Machine.ColdFraction)*age
}

// Connect takes one more connection, or tells that there are too many.
func (s *Server) Connect() bool {
	if s.conns >= s.Machine.MaxConnections {
		return false
	}
	s.conns++
	return true
}

// Disconnect gives one up.
func (s *Server) Disconnect() { s.conns = max(0, s.conns-1) }

// Submit brings a job whose last byte has come. It is taken, or turned away
// unseen; fell says that it was the one too many for a cold server, which is
// down from now on.
func (s *Server) Submit(now time.Duration, j Job) (v history.Verdict, fell bool) {
	s.progress(now)
	if s.overdriven(now, j.Work) {
		s.SetState(now, Down)
		return history.Accepted, true
	}
	switch {
	case s.state == Hung:
		return history.Accepted, false // it is held for good
	case len(s.active) < s.Machine.Slots:
		s.begin(now, j)
	case len(s.queue) < s.Machine.MaxQueue:
		s.queue = append(s.queue, j)
	default:
		return history.Rejected, false
	}
	return history.Accepted, false
}

// overdriven counts what a cold server is sent.
func (s *Server) overdriven(now, work time.Duration) bool {
	if !s.Cold(now) || s.OverloadLimit.Factor <= 0 {
		s.recent, s.sum = nil, 0
		return false
	}
	// One request keeps one core busy: it counts for no more than that core can
	// do within the window, however heavy it is.
	work = min(work, time.Duration(float64(s.OverloadLimit.Window)*s.Machine.Speed))
	s.recent, s.sum = append(s.recent, arrival{now, work}), s.sum+work
	for s.recent[0].at <= now-s.OverloadLimit.Window {
		s.sum -= s.recent[0].work
		s.recent = s.recent[1:]
	}
	from := now - s.OverloadLimit.Window // the part is straight from the start on, and what it was before
	middle := (s.WarmRatio(max(from, s.since)) + s.WarmRatio(now)) / 2
	can := middle * min(s.OverloadLimit.Window, now-s.since).Seconds()
	can += s.Machine.ColdFraction * max(0, s.since-from).Seconds()
	return s.sum.Seconds() > s.OverloadLimit.Factor*can*s.Machine.Capacity()+s.OverloadLimit.Allowance.Seconds()
}

func (s *Server) begin(now time.Duration, j Job) {
	repeat := !j.Probe && !s.pod.RecordKey(now, j.Key)
	r := running{Job: j, end: s.done + j.Work.Seconds(), repeat: repeat}
	if repeat {
		r.end = s.done // it knows the answer
	}
	heap.Push(&s.active, r)
	if s.OnJobStart != nil && !j.Probe {
		s.OnJobStart(JobStart{j, now, repeat})
	}
}

// rate is the work that each job in work gets in a second of full capacity.
func (s *Server) rate() float64 {
	return s.Machine.Speed * math.Min(1, float64(s.Machine.Cores)/math.Max(1, float64(len(s.active))))
}

// progress lets the work go on until now.
func (s *Server) progress(now time.Duration) {
	if now <= s.at {
		return
	}
	if s.state != Down && len(s.active) > 0 {
		s.busy += (now - s.at).Seconds() * float64(min(len(s.active), s.Machine.Cores))
		s.done += s.rate() * s.integral(s.at, now)
	}
	s.at = now
}

// integral gives the seconds of full capacity that lie between two times.
func (s *Server) integral(from, to time.Duration) float64 {
	warm := s.since + s.Machine.WarmupTime
	if !s.cold || from >= warm {
		return (to - from).Seconds()
	}
	cut := min(to, warm)
	part := func(t time.Duration) float64 {
		return s.Machine.ColdFraction + (1-s.Machine.ColdFraction)*max(0, t-s.since).Seconds()/s.Machine.WarmupTime.Seconds()
	}
	return (cut-from).Seconds()*(part(from)+part(cut))/2 + (to - cut).Seconds()
}

// NextCompletion tells when the next job ends if nothing else happens.
func (s *Server) NextCompletion() (time.Duration, bool) {
	if len(s.active) == 0 || s.state == Down {
		return 0, false
	}
	left := (s.active[0].end - s.done) / s.rate() // s of full capacity
	if left <= 0 {
		return s.at, true
	}
	t := s.at
	if warm := s.since + s.Machine.WarmupTime; s.cold && t < warm {
		if all := s.integral(t, warm); all < left {
			left -= all
			t = warm
		} else { // p*x + g*x*x/2 = left, with p the part now and g its growth a second
			g := (1 - s.Machine.ColdFraction) / s.Machine.WarmupTime.Seconds()
			p := s.Machine.ColdFraction + g*max(0, t-s.since).Seconds()
			x := left / p
			if g > 0 {
				x = (math.Sqrt(p*p+2*g*left) - p) / g
			}
			return t + roundUp(x), true
		}
	}
	return t + roundUp(left), true
}

// roundUp goes to the next nanosecond, so that the work is done by then.
func roundUp(seconds float64) time.Duration { return time.Duration(math.Ceil(seconds*1e9)) + 1 }

// Advance lets the work go on until now and gives the jobs that ended. A
// server that hangs or is cut off ends jobs too, but nobody is told: it gives
// none.
func (s *Server) Advance(now time.Duration) []Completion {
	var out []Completion
	for {
		t, any := s.NextCompletion()
		if !any || t > now {
			break
		}
		s.progress(t)
		r := heap.Pop(&s.active).(running)
		s.answers++
		if s.state == Running {
			out = append(out, Completion{r.Job, r.repeat})
		}
		if len(s.queue) > 0 && s.state != Hung {
			j := s.queue[0]
			s.queue = s.queue[1:]
			s.begin(t, j)
		}
	}
	s.progress(now)
	return out
}

// Cancel drops a job whose caller is gone: waiting work always, running work
// where the machine stops it.
func (s *Server) Cancel(now time.Duration, id uint64) {
	s.progress(now)
	for i, j := range s.queue {
		if j.ID == id {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return
		}
	}
	for i, r := range s.active {
		if r.ID == id && s.Machine.CancelsRunning {
			heap.Remove(&s.active, i)
			if len(s.queue) > 0 && s.state != Hung {
				j := s.queue[0]
				s.queue = s.queue[1:]
				s.begin(now, j)
			}
			return
		}
	}
}

// ReportInterval gives the load report, which is up to Machine.ReportInterval old.
func (s *Server) Report(now time.Duration) LoadReport {
	if now-s.loadAt >= s.Machine.ReportInterval {
		l := LoadReport{InFlight: len(s.active) + len(s.queue), Queue: len(s.queue)}
		if d := (now - max(s.loadAt, s.since)).Seconds(); d > 0 {
			l.Utilisation = (s.busy - s.busyAt) / (d * float64(s.Machine.Cores))
			l.CompletionRate = (s.answers - s.endedAt) / d
		}
		s.load, s.loadAt, s.busyAt, s.endedAt = l, now, s.busy, s.answers
	}
	return s.load
}

// jobHeap holds the jobs in work, the next to end first.
type jobHeap []running

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return h[i].end < h[j].end || h[i].end == h[j].end && h[i].ID < h[j].ID
}
func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)   { *h = append(*h, x.(running)) }
func (h *jobHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
