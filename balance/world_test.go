package balance_test

// A simulation that drives the module through valid but adverse events, and a checker of
// the rules that is independent of the module's code.

import (
	"fmt"
	"math/rand"
	"sort"
	"time"

	"ivylock/balance"
	"ivylock/internal/decider"
)

type sentAttempt struct {
	server balance.ServerID
	at     time.Duration
	ended  bool
	code   balance.OutcomeCode
}

type liveRequest struct {
	class    balance.Class
	deadline time.Duration
	attempts []sentAttempt
	answered bool
	stream   bool // its streamed answer has begun
}

type listedServer struct {
	balance.Server
	drainAnnounced time.Duration // when the node was notified that it drains or is removed; 0: it is ready
	startAnnounced bool
}

type scheduledEvent struct {
	at       time.Duration
	sequence int // order of events at the same time
	event    balance.Event
	id       balance.RequestID
}

type simulation struct {
	settings   balance.Settings
	random     *rand.Rand
	now        time.Duration
	queue      []scheduledEvent
	sequence   int
	requests   map[balance.RequestID]*liveRequest
	servers    map[balance.ServerID]*listedServer
	ids        []balance.ServerID // of servers, in the order of their first listing
	sends      map[balance.ServerID][]time.Duration
	capacity   float64 // requests per second of a warm server for this node
	module     *decider.Decider
	mutate     func(sim *simulation, actions []balance.Action) []balance.Action
	events     []balance.Event
	times      []time.Duration
	actions    []string
	violations []string
	nextID     int
}

func (sim *simulation) violation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) schedule(delay time.Duration, next scheduledEvent) {
	sim.sequence++
	next.at, next.sequence = sim.now+max(delay, sim.settings.MinTick), sim.sequence
	sim.queue = append(sim.queue, next)
}

func (sim *simulation) handle(event balance.Event) {
	sim.events, sim.times = append(sim.events, event), append(sim.times, sim.now)
	actions := sim.module.Handle(sim.now, event)
	sim.actions = append(sim.actions, actionText(actions))
	if sim.mutate != nil {
		actions = sim.mutate(sim, actions)
	}
	for _, a := range actions {
		sim.perform(a)
	}
}

// actionText formats actions without addresses.
func actionText(actions []balance.Action) string {
	text := ""
	for _, a := range actions {
		if s, ok := a.(balance.Send); ok {
			text += fmt.Sprintf("Send%+v ", *s.Sending)
			continue
		}
		text += fmt.Sprintf("%#v ", a)
	}
	return text
}

// sameGroup is the checker's own implementation of the key scopes.
func sameGroup(scope balance.Scope, a, b *listedServer) bool {
	return scope == balance.ScopeAll || scope == balance.ScopeZone && a.Zone == b.Zone ||
		scope == balance.ScopeCell && a.Cell == b.Cell
}

func neverRan(code balance.OutcomeCode) bool {
	return code == balance.Full || code == balance.ConnectFailed || code == balance.Moot
}

func (sim *simulation) checkSend(req *liveRequest, send balance.Send) {
	target := sim.servers[send.Server]
	if target == nil {
		sim.violation("send to server %d, which was never listed", send.Server)
		return
	}
	if req.answered || req.stream {
		sim.violation("send for a request that is done")
	}
	if sim.now > req.deadline {
		sim.violation("send after the deadline")
	}
	if len(req.attempts) >= sim.settings.MaxAttempts {
		sim.violation("more than %d attempts", sim.settings.MaxAttempts)
	}
	if target.drainAnnounced > 0 && sim.now > target.drainAnnounced+sim.settings.DrainGrace {
		sim.violation("send to a server that is draining or removed")
	}
	for _, prior := range req.attempts {
		if !prior.ended && !sim.settings.MayOverlap {
			sim.violation("two attempts in flight at once")
		}
		if prior.ended && neverRan(prior.code) || req.class.Effect == balance.Safe {
			continue
		}
		if req.class.Effect == balance.Unsafe {
			sim.violation("unsafe request sent again")
		} else if !sameGroup(req.class.KeyScope, target, sim.servers[prior.server]) ||
			sim.now > prior.at+req.class.DedupWindow {
			sim.violation("keyed request sent outside its group or window")
		}
	}
	sim.sends[send.Server] = append(sim.sends[send.Server], sim.now)
	age := (sim.now - target.StartedAt).Seconds() / sim.settings.WarmupTime.Seconds()
	if target.startAnnounced && age < 1 {
		fraction := sim.settings.WarmupStartFraction + (1-sim.settings.WarmupStartFraction)*max(0, age)
		recent := 0
		for _, at := range sim.sends[send.Server] {
			if at > sim.now-sim.settings.OverloadTime && at >= target.StartedAt {
				recent++
			}
		}
		if limit := sim.settings.OverloadFactor * fraction * sim.capacity *
			sim.settings.OverloadTime.Seconds(); float64(recent) > limit+3 {
			sim.violation("warming server %d was sent %d requests, its budget is %.1f", send.Server, recent, limit)
		}
	}
}

func (sim *simulation) perform(action balance.Action) {
	switch action := action.(type) {
	case balance.Send:
		req := sim.requests[action.ID]
		if req == nil {
			sim.violation("send for an unknown request")
			return
		}
		sim.checkSend(req, action)
		if sim.servers[action.Server] == nil {
			return
		}
		req.attempts = append(req.attempts, sentAttempt{server: action.Server, at: sim.now})
		sim.scheduleOutcome(action, req, len(req.attempts)-1)
	case balance.Refuse:
		req := sim.answered(action.ID)
		if req == nil {
			return
		}
		for _, prior := range req.attempts {
			ran := !prior.ended || !neverRan(prior.code)
			if ran && (req.class.Effect == balance.Unsafe ||
				req.class.Effect == balance.Keyed && req.class.KeyScope != balance.ScopeAll) {
				sim.violation("refused although it may have run")
			}
		}
	case balance.Fail:
		sim.answered(action.ID)
	case balance.CancelAttempt:
		req := sim.requests[action.ID]
		if !sim.settings.MayCancel || req == nil || action.Attempt >= len(req.attempts) {
			sim.violation("forbidden or unknown cancel")
			return
		}
		sim.schedule(time.Millisecond, scheduledEvent{id: action.ID,
			event: balance.AttemptEnded{ID: action.ID, Attempt: action.Attempt,
				Server: req.attempts[action.Attempt].server, Code: balance.Cancelled}})
	case balance.Probe:
		if !sim.settings.MayProbe {
			sim.violation("forbidden probe")
			return
		}
		if sim.random.Intn(10) > 0 { // some probes never return
			result := balance.ProbeEnded{Server: action.Server, Code: balance.OutcomeCode(sim.random.Intn(3) / 2 * 3)}
			if result.Code == balance.OK {
				result.Report = &balance.Report{InFlight: float64(sim.random.Intn(9)),
					HasInFlight: sim.random.Intn(4) > 0}
			}
			sim.schedule(time.Duration(sim.random.Intn(120))*time.Millisecond, scheduledEvent{event: result})
		}
	case balance.SendMessage:
		if !sim.settings.MayMessage || len(action.Data) > 256 {
			sim.violation("forbidden message")
		}
	case balance.SetTimer:
		late := time.Duration(0)
		if sim.random.Intn(20) == 0 {
			late = time.Duration(sim.random.Intn(200)) * time.Millisecond
		}
		sim.schedule(action.After+late, scheduledEvent{event: balance.TimerFired{Token: action.Token}})
	case balance.Subscribe, balance.FetchList:
		if sim.random.Intn(3) == 0 {
			sim.schedule(time.Second, scheduledEvent{event: balance.ListUpdate{Kind: balance.ListFailed}})
		} else {
			sim.schedule(50*time.Millisecond, scheduledEvent{event: balance.ListUpdate{Kind: balance.ListChanges}})
		}
	}
}

// answered records a final answer and returns its request.
func (sim *simulation) answered(id balance.RequestID) *liveRequest {
	req := sim.requests[id]
	if req == nil {
		sim.violation("answer to an unknown request")
		return nil
	}
	if req.answered {
		sim.violation("second final answer")
	}
	req.answered = true
	return req
}

// scheduleOutcome schedules the end of an attempt.
func (sim *simulation) scheduleOutcome(send balance.Send, req *liveRequest, number int) {
	limit := req.deadline - sim.now
	if send.Timeout != 0 {
		limit = min(limit, send.Timeout)
	}
	codes := []balance.OutcomeCode{balance.OK, balance.OK, balance.OK, balance.OK, balance.OK, balance.ServerError,
		balance.Full, balance.TimedOut, balance.ConnectFailed, balance.Reset, balance.Moot}
	code, elapsed := codes[sim.random.Intn(len(codes))], time.Duration(1+sim.random.Intn(400))*time.Millisecond
	if uint32(send.Server)%5 == uint32(sim.now.Seconds()/7)%5 && sim.random.Intn(2) == 0 {
		code = balance.TimedOut // some servers do not answer for a while
	}
	if code == balance.TimedOut || elapsed > limit {
		code, elapsed = balance.TimedOut, limit
	}
	if req.class.Streamed && code == balance.OK && elapsed > 10*time.Millisecond && sim.random.Intn(2) == 0 {
		sim.schedule(elapsed/2, scheduledEvent{event: balance.StreamStarted{ID: send.ID, Attempt: number,
			Server:  send.Server,
			Elapsed: elapsed / 2}})
	}
	var report *balance.Report
	if sim.random.Intn(3) == 0 {
		report = &balance.Report{InFlight: float64(sim.random.Intn(30)), HasInFlight: sim.random.Intn(4) > 0}
	}
	sim.schedule(elapsed, scheduledEvent{id: send.ID,
		event: balance.AttemptEnded{ID: send.ID, Attempt: number, Server: send.Server,
			Elapsed: elapsed,
			Code:    code, Report: report}})
}

// deliver passes an event to the module if a node would receive it: one outcome per attempt,
// none after a restart of the node.
func (sim *simulation) deliver(next scheduledEvent) {
	switch ev := next.event.(type) {
	case balance.AttemptEnded:
		req := sim.requests[ev.ID]
		if req == nil || req.attempts[ev.Attempt].ended {
			return
		}
		att := &req.attempts[ev.Attempt]
		att.ended, att.code = true, ev.Code
		ev.RequestDone = req.answered || ev.Code == balance.OK
		if ev.Code == balance.OK && !req.answered {
			req.answered = true
		}
		sim.handle(ev)
		return
	case balance.StreamStarted:
		req := sim.requests[ev.ID]
		if req == nil || req.answered || req.attempts[ev.Attempt].ended {
			return
		}
		req.stream = true
	case balance.RequestAbandoned:
		req := sim.requests[ev.ID]
		if req == nil || req.answered {
			return
		}
		req.answered = true
	}
	sim.handle(next.event)
}

// arrive passes a new random request to the module.
func (sim *simulation) arrive() {
	sim.nextID++
	id := balance.RequestID(fmt.Sprintf("%036d", sim.nextID))
	spec := sim.settings.Classes[sim.random.Intn(len(sim.settings.Classes))]
	timeout := time.Duration(float64(spec.Deadline) * (0.3 + 0.7*sim.random.Float64()))
	if sim.random.Intn(50) == 0 {
		timeout = 0
	}
	sim.requests[id] = &liveRequest{class: spec, deadline: sim.now + timeout}
	if sim.random.Intn(40) == 0 {
		sim.schedule(timeout/2, scheduledEvent{event: balance.RequestAbandoned{ID: id}})
	}
	arrived := balance.RequestArrived{ID: id, Class: spec.Name, ClientTimeout: timeout}
	if len(sim.settings.Tenants) > 0 {
		arrived.Tenant = sim.settings.Tenants[sim.random.Intn(len(sim.settings.Tenants))].Name
	}
	sim.handle(arrived)
}

func (sim *simulation) newServer(started time.Duration) balance.Server {
	sim.nextID++
	return balance.Server{ID: balance.ServerID(sim.nextID*2654435761 + 1), Zone: fmt.Sprint("z", sim.random.Intn(2)),
		Cell: sim.random.Intn(3), Size: 1, StartedAt: started}
}

// publishList records a list update and passes it to the module.
func (sim *simulation) publishList(kind balance.ListKind, entries []balance.Server) {
	listed := map[balance.ServerID]bool{}
	for _, entry := range entries {
		server := sim.servers[entry.ID]
		if server == nil {
			server = &listedServer{}
			sim.servers[entry.ID] = server
			sim.ids = append(sim.ids, entry.ID)
		}
		server.startAnnounced = entry.State == balance.Ready && entry.StartedAt > 0
		server.Server = entry
		listed[entry.ID] = true
		if entry.State == balance.Ready {
			server.drainAnnounced = 0
		} else if server.drainAnnounced == 0 {
			server.drainAnnounced = sim.now
		}
	}
	if kind != balance.ListChanges {
		for _, id := range sim.ids {
			if server := sim.servers[id]; !listed[id] && server.drainAnnounced == 0 {
				server.drainAnnounced, server.State = sim.now, balance.Removed
			}
		}
	}
	sim.handle(balance.ListUpdate{Kind: kind, Entries: entries})
}

func (sim *simulation) changeList() {
	server := sim.servers[sim.ids[sim.random.Intn(len(sim.ids))]].Server
	switch sim.random.Intn(6) {
	case 0:
		server.State = balance.Draining
	case 1:
		server.State = balance.Removed
	case 2:
		server.State, server.StartedAt = balance.Ready, sim.now
	case 3:
		server = sim.newServer(sim.now)
	case 4:
		var all []balance.Server
		for _, id := range sim.ids {
			if entry := sim.servers[id].Server; entry.State != balance.Removed {
				all = append(all, entry)
			}
		}
		sim.publishList(balance.ListFull, all)
		return
	case 5:
		if sim.settings.ListOnDemand {
			sim.handle(balance.ListUpdate{Kind: balance.ListFailed})
		}
		return
	}
	sim.publishList(balance.ListChanges, []balance.Server{server})
}

// start starts or restarts the node with the servers that are not removed, at least four.
func (sim *simulation) start() {
	sim.module = decider.New(sim.settings, sim.random.Int63())
	sim.requests, sim.queue = map[balance.RequestID]*liveRequest{}, nil
	var all []balance.Server
	for _, id := range sim.ids {
		if entry := sim.servers[id].Server; entry.State != balance.Removed {
			all = append(all, entry)
		}
	}
	for len(all) < 4 {
		all = append(all, sim.newServer(0))
	}
	sim.servers, sim.ids = map[balance.ServerID]*listedServer{}, nil
	sim.publishList(balance.ListCached, all)
}

// run advances the simulation, with rate requests per second. With restarts, the node
// restarts at random times.
func (sim *simulation) run(length time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := sim.now + length; sim.now < end; sim.now += step {
		sort.SliceStable(sim.queue, func(i, j int) bool {
			return sim.queue[i].at < sim.queue[j].at ||
				sim.queue[i].at == sim.queue[j].at && sim.queue[i].sequence < sim.queue[j].sequence
		})
		for len(sim.queue) > 0 && sim.queue[0].at <= sim.now {
			next := sim.queue[0]
			sim.queue = sim.queue[1:]
			sim.deliver(next)
		}
		for n := rate * step.Seconds(); n > 0; n-- {
			if sim.random.Float64() < n {
				sim.arrive()
			}
		}
		if sim.random.Intn(150) == 0 {
			sim.changeList()
		}
		if restarts && sim.random.Intn(1500) == 0 {
			sim.start()
		}
		for id, req := range sim.requests {
			if !req.answered && !req.stream && sim.now > req.deadline+sim.settings.AnswerGrace+step {
				sim.violation("request %s has no answer in time", id)
				req.answered = true
			}
		}
	}
}

func newSimulation(seed int64) *simulation {
	random := rand.New(rand.NewSource(seed))
	sim := &simulation{random: random, now: time.Hour, servers: map[balance.ServerID]*listedServer{},
		sends: map[balance.ServerID][]time.Duration{}}
	ms := func(lo, hi int) time.Duration { return time.Duration(lo+random.Intn(hi-lo)) * time.Millisecond }
	sim.settings = balance.Settings{Nodes: 1 + random.Intn(6), Zone: "z0", MaxAttempts: 1 + random.Intn(5),
		MayOverlap: random.Intn(2) == 0,
		MayCancel:  random.Intn(3) > 0, MayProbe: random.Intn(2) == 0, MayMessage: random.Intn(2) == 0,
		RetryAfterSupported: random.Intn(2) == 0,
		MaxRetryAfter:       time.Second, ConnectTimeout: 100 * time.Millisecond, MinTick: 5 * time.Millisecond,
		ListOnDemand: random.Intn(2) == 0, AnswerGrace: 20 * time.Millisecond, ListPollInterval: 10 * time.Second,
		DrainGrace: ms(0, 1000), WarmupStartFraction: 0.3, WarmupTime: ms(3000, 9000), OverloadFactor: 2.5,
		OverloadTime: time.Second}
	if random.Intn(3) == 0 { // a large fleet, possibly with probes as the only report source
		sim.settings.Nodes, sim.settings.ReportSource = 1000, balance.ReportSource(random.Intn(3))
	}
	for i, n := 0, 1+random.Intn(4); i < n; i++ {
		target := ms(100, 1500)
		sim.settings.Classes = append(sim.settings.Classes,
			balance.Class{Name: fmt.Sprint("c", i), Value: float64(random.Intn(13)), TargetLatency: target,
				Deadline: 2*target + ms(0, 2000), LateValueFraction: float64(random.Intn(2)) / 2,
				Effect:   balance.Effect(random.Intn(3)),
				KeyScope: balance.Scope(random.Intn(3)), DedupWindow: ms(100, 4000), Streamed: random.Intn(4) == 0})
	}
	if random.Intn(3) == 0 {
		sim.settings.Tenants = []balance.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	sim.start()
	return sim
}
