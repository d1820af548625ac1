package clip

import (
	"container/heap"
	"math"
	"time"

	"ivylock/internal/lab/history"
)

// State is the state of a server's process.
type State int

// The states.
const (
	Running  State = iota
	Hung           // accepts requests and answers none; running work continues
	Isolated       // cut off from the network: no reset, no answer
	Down           // the process is dead or went down under overload: connections are refused
)

// Job is one attempt or probe at a server.
type Job struct {
	ID    uint64 // chosen by the caller
	Try   string
	Key   string        // of keyed requests only
	Work  time.Duration // on a core of speed 1, including the handshake
	Probe bool
}

// Completion says that the answer of a job is ready.
type Completion struct {
	Job
	Duplicate bool // dropped as a duplicate: the effect did not run
}

// JobStart says that a job has begun. Its effect ran unless it is a duplicate.
type JobStart struct {
	Job
	At        time.Duration
	Duplicate bool
}

// LoadReport is the load report, with the fields of the protocol.
type LoadReport struct {
	InFlight, Queue int
	Utilisation     float64 // of the cores since the previous report, 0 to 1
	CompletionRate  float64 // answers per second since the previous report
}

// Server is the model of one clip server. It is not safe for concurrent use.
//
// All running jobs progress at the same rate. One number, the work that each of them would have
// received since the process began (progressed), therefore determines when the next one ends.
type Server struct {
	Name            string
	Machine         Machine
	OverloadLimit   OverloadLimit
	pod             *Pod
	state           State
	startedAt       time.Duration // start of the process
	cold            bool          // the process started cold
	at              time.Duration // time up to which progressed counts
	progressed      float64       // work that each running job has received, in seconds
	active          jobHeap
	queue           []Job
	conns           int
	recent          []arrival // within OverloadLimit.Window, while cold
	recentWork      time.Duration
	report          LoadReport
	reportedAt      time.Duration
	busy            float64 // core-seconds of work since the process began
	answers         float64
	reportedBusy    float64 // busy and answers at the last report
	reportedAnswers float64
	OnJobStart      func(JobStart) // called for every job that begins, except probes; may be nil
}

type arrival struct{ at, work time.Duration }

type running struct {
	Job
	end       float64
	duplicate bool
}

// NewServer makes a warm, running server.
func NewServer(name string, machine Machine, limit OverloadLimit, pod *Pod) *Server {
	return &Server{Name: name, Machine: machine, OverloadLimit: limit, pod: pod, reportedAt: -1 << 60}
}

// State returns the state.
func (s *Server) State() State { return s.state }

// InFlight returns the numbers of running and of queued requests.
func (s *Server) InFlight() (active, waiting int) { return len(s.active), len(s.queue) }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.conns }

// SetState changes the state. A process that goes down loses its requests and connections.
func (s *Server) SetState(now time.Duration, state State) {
	s.progress(now)
	s.state = state
	if state == Down {
		s.active, s.queue, s.conns = nil, nil, 0
	}
}

// Start replaces the process by a new one, which is cold or warm. It returns the event for the history.
func (s *Server) Start(now time.Duration, cold bool) history.Event {
	s.SetState(now, Down)
	s.state, s.startedAt, s.cold, s.at, s.progressed = Running, now, cold, now, 0
	s.recent, s.recentWork, s.report, s.reportedAt = nil, 0, LoadReport{}, -1<<60
	s.busy, s.answers, s.reportedBusy, s.reportedAnswers = 0, 0, 0, 0
	e := history.Event{At: now, Kind: history.ServerStarted, Server: s.Name, Capacity: s.Machine.Capacity(), Cores: s.Machine.Cores}
	if cold {
		e.ColdFraction, e.WarmupTime = s.Machine.ColdFraction, s.Machine.WarmupTime
	}
	return e
}

// Cold reports whether the process is not warm yet.
func (s *Server) Cold(now time.Duration) bool {
	return s.cold && now < s.startedAt+s.Machine.WarmupTime
}

// WarmRatio is the fraction of its capacity that the server has.
func (s *Server) WarmRatio(now time.Duration) float64 {
	if !s.Cold(now) {
		return 1
	}
	age := max(0, now-s.startedAt).Seconds() / s.Machine.WarmupTime.Seconds()
	return s.Machine.ColdFraction + (1-s.Machine.ColdFraction)*age
}

// Connect admits one more connection; it reports false if there are too many.
func (s *Server) Connect() bool {
	if s.conns >= s.Machine.MaxConnections {
		return false
	}
	s.conns++
	return true
}

// Disconnect releases a connection.
func (s *Server) Disconnect() { s.conns = max(0, s.conns-1) }

// Submit offers a job whose last byte has arrived; it is accepted or rejected. overloaded means
// that it exceeded the OverloadLimit of a cold server, which is down from now on.
func (s *Server) Submit(now time.Duration, j Job) (v history.Verdict, overloaded bool) {
	s.progress(now)
	if s.addArrival(now, j.Work) {
		s.SetState(now, Down)
		return history.Accepted, true
	}
	switch {
	case s.state == Hung:
		return history.Accepted, false // and never answered
	case len(s.active) < s.Machine.Slots:
		s.startJob(now, j)
	case len(s.queue) < s.Machine.MaxQueue:
		s.queue = append(s.queue, j)
	default:
		return history.Rejected, false
	}
	return history.Accepted, false
}

// addArrival counts the work that a cold server receives and reports whether it exceeds the
// OverloadLimit.
func (s *Server) addArrival(now, work time.Duration) bool {
	if !s.Cold(now) || s.OverloadLimit.Factor <= 0 {
		s.recent, s.recentWork = nil, 0
		return false
	}
	// One request keeps one core busy, so it counts for no more than that core can do within the
	// window.
	work = min(work, time.Duration(float64(s.OverloadLimit.Window)*s.Machine.Speed))
	s.recent, s.recentWork = append(s.recent, arrival{now, work}), s.recentWork+work
	for s.recent[0].at <= now-s.OverloadLimit.Window {
		s.recentWork -= s.recent[0].work
		s.recent = s.recent[1:]
	}
	// The warm ratio is linear from the start on and constant before it.
	from := now - s.OverloadLimit.Window
	meanRatio := (s.WarmRatio(max(from, s.startedAt)) + s.WarmRatio(now)) / 2
	capacity := meanRatio * min(s.OverloadLimit.Window, now-s.startedAt).Seconds()
	capacity += s.Machine.ColdFraction * max(0, s.startedAt-from).Seconds()
	return s.recentWork.Seconds() > s.OverloadLimit.Factor*capacity*s.Machine.Capacity()+s.OverloadLimit.Allowance.Seconds()
}

func (s *Server) startJob(now time.Duration, j Job) {
	duplicate := !j.Probe && !s.pod.RecordKey(now, j.Key)
	r := running{Job: j, end: s.progressed + j.Work.Seconds(), duplicate: duplicate}
	if duplicate {
		r.end = s.progressed // a duplicate needs no work
	}
	heap.Push(&s.active, r)
	if s.OnJobStart != nil && !j.Probe {
		s.OnJobStart(JobStart{j, now, duplicate})
	}
}

// rate is the work that each running job receives per second of full capacity.
func (s *Server) rate() float64 {
	return s.Machine.Speed * math.Min(1, float64(s.Machine.Cores)/math.Max(1, float64(len(s.active))))
}

// progress advances the running jobs to now.
func (s *Server) progress(now time.Duration) {
	if now <= s.at {
		return
	}
	if s.state != Down && len(s.active) > 0 {
		s.busy += (now - s.at).Seconds() * float64(min(len(s.active), s.Machine.Cores))
		s.progressed += s.rate() * s.fullSeconds(s.at, now)
	}
	s.at = now
}

// fullSeconds returns the equivalent, in seconds of full capacity, of the time between from and to.
func (s *Server) fullSeconds(from, to time.Duration) float64 {
	warm := s.startedAt + s.Machine.WarmupTime
	if !s.cold || from >= warm {
		return (to - from).Seconds()
	}
	end := min(to, warm)
	ratio := func(t time.Duration) float64 {
		return s.Machine.ColdFraction + (1-s.Machine.ColdFraction)*max(0, t-s.startedAt).Seconds()/s.Machine.WarmupTime.Seconds()
	}
	return (end-from).Seconds()*(ratio(from)+ratio(end))/2 + (to - end).Seconds()
}

// NextCompletion returns when the next job ends if nothing else happens.
func (s *Server) NextCompletion() (time.Duration, bool) {
	if len(s.active) == 0 || s.state == Down {
		return 0, false
	}
	left := (s.active[0].end - s.progressed) / s.rate() // in seconds of full capacity
	if left <= 0 {
		return s.at, true
	}
	t := s.at
	if warm := s.startedAt + s.Machine.WarmupTime; s.cold && t < warm {
		if untilWarm := s.fullSeconds(t, warm); untilWarm < left {
			left -= untilWarm
			t = warm
		} else { // p*x + g*x*x/2 = left, with p the present warm ratio and g its growth per second
			g := (1 - s.Machine.ColdFraction) / s.Machine.WarmupTime.Seconds()
			p := s.Machine.ColdFraction + g*max(0, t-s.startedAt).Seconds()
			x := left / p
			if g > 0 {
				x = (math.Sqrt(p*p+2*g*left) - p) / g
			}
			return t + roundUp(x), true
		}
	}
	return t + roundUp(left), true
}

// roundUp rounds up to the next nanosecond, so that the work is done by then.
func roundUp(seconds float64) time.Duration { return time.Duration(math.Ceil(seconds*1e9)) + 1 }

// Advance advances the work to now and returns the jobs that ended. A hung or isolated server ends
// jobs too, but returns none, as their answers reach no client.
func (s *Server) Advance(now time.Duration) []Completion {
	var completed []Completion
	for {
		t, any := s.NextCompletion()
		if !any || t > now {
			break
		}
		s.progress(t)
		r := heap.Pop(&s.active).(running)
		s.answers++
		if s.state == Running {
			completed = append(completed, Completion{r.Job, r.duplicate})
		}
		if len(s.queue) > 0 && s.state != Hung {
			j := s.queue[0]
			s.queue = s.queue[1:]
			s.startJob(t, j)
		}
	}
	s.progress(now)
	return completed
}

// Cancel drops a job whose client is gone: always if it is queued, and if it runs where the machine
// stops running work.
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
				s.startJob(now, j)
			}
			return
		}
	}
}

// Report returns the load report, which is up to Machine.ReportInterval old.
func (s *Server) Report(now time.Duration) LoadReport {
	if now-s.reportedAt >= s.Machine.ReportInterval {
		l := LoadReport{InFlight: len(s.active) + len(s.queue), Queue: len(s.queue)}
		if d := (now - max(s.reportedAt, s.startedAt)).Seconds(); d > 0 {
			l.Utilisation = (s.busy - s.reportedBusy) / (d * float64(s.Machine.Cores))
			l.CompletionRate = (s.answers - s.reportedAnswers) / d
		}
		s.report, s.reportedAt, s.reportedBusy, s.reportedAnswers = l, now, s.busy, s.answers
	}
	return s.report
}

// jobHeap orders the running jobs by their end.
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
