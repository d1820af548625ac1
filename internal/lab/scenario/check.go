package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ivylock/internal/lab/sysfault"
	"ivylock/internal/operator"
)

// Bounds of a scenario.
const (
	maxFaults = 200
	maxLength = 10 * time.Minute
)

// bounds are those of size.
type bounds struct {
	servers, nodes int
	rate           float64
}

var (
	onSockets = bounds{200, 48, 20_000} // a lab is one machine
	inModel   = bounds{10_000, 1_000, 2_000_000}
)

// classNames are the brief's.
var classNames = []string{"broadcast-clip", "viewer-clip", "cut-order", "tag-event"}

func (s *Scenario) defaults() {
	set := func(d *Span, to time.Duration) {
		if d.Duration == 0 {
			d.Duration = to
		}
	}
	set(&s.Client.Backoff, 100*time.Millisecond)
	set(&s.Discovery.NotificationDelay, 500*time.Millisecond)
	set(&s.Net.SameZone, 200*time.Microsecond)
	set(&s.Net.CrossZone, 2*time.Millisecond)
	set(&s.Net.ClientDelay, 500*time.Microsecond)
	set(&s.Net.PeerDelay, 5*time.Millisecond)
	if s.Client.TryTimeoutFraction == 0 {
		s.Client.TryTimeoutFraction = 0.65
	}
	if s.Load.WorkFactor == 0 {
		s.Load.WorkFactor = 1
	}
	for i := range s.Zones {
		if s.Zones[i].PodSize == 0 {
			s.Zones[i].PodSize = 4
		}
	}
}

// check gives the key that is wrong and what to do about it, or nothing.
func (s *Scenario) check(most bounds) (key, text string) {
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, " /\\\n"):
		return "name", "name: want one word, such as name = \"hang\""
	case s.Length.Duration < time.Second || s.Length.Duration > maxLength:
		return "length", fmt.Sprintf("length: %v is not between 1s and %v", s.Length, maxLength)
	case s.Load.Rate < 0.1 || s.Load.Rate > most.rate:
		return "load.rate", fmt.Sprintf("load.rate: want 0.1 to %v first tries a second, have %v", most.rate, s.Load.Rate)
	case s.Load.RampTo != 0 && (s.Load.RampTo < 0.1 || s.Load.RampTo > most.rate):
		return "load.ramp_to", fmt.Sprintf("load.ramp_to: want 0.1 to %v, or leave it out", most.rate)
	case s.Load.WorkFactor < 0.0001 || s.Load.WorkFactor > 100:
		return "load.work", "load.work: want 0.0001 to 100, as a multiple of the brief's work"
	case s.Client.Retries < 0 || s.Client.Retries > 2:
		return "clients.retries", "clients.retries: want 0, 1 or 2"
	case s.Client.TryTimeoutFraction < 0.5 || s.Client.TryTimeoutFraction > 0.8:
		return "clients.try_share", "clients.try_share: want 0.5 to 0.8 of the deadline"
	case !isShare(s.Client.RetryAfterFraction):
		return "clients.honour", "clients.honour: want a share, 0 to 1"
	case !isShare(s.Client.AbandonFraction) || !isShare(s.Client.SlowWriteFraction):
		return "clients", "clients: leaves and pieces are shares, 0 to 1"
	case s.Client.LateConnections < 0 || s.Client.LateConnections > 20:
		return "clients.late", "clients.late: want 0 to 20 connections of each kind"
	case !isShare(s.Net.PeerLoss):
		return "net.messages_lost", "net.messages_lost: want a share, 0 to 1"
	case !isShare(s.Requirements.MinMeasure) || !isShare(s.Requirements.MinServed) || !isShare(s.Requirements.MaxRefused):
		return "must", "must: measure, served and refused_most are shares, 0 to 1"
	case s.OperatorConfig != "" && !s.Fleet:
		return "operator", "operator: these are lines of the section [fleet]; set fleet = true too"
	case len(s.Zones) == 0:
		return "", "no [[hall]]: want at least one with nodes and servers"
	}
	for class, part := range s.Load.Shares {
		if !slices.Contains(classNames, class) {
			return "load.shares." + class, fmt.Sprintf("load.shares: unknown class %q; there are %s", class, strings.Join(classNames, ", "))
		}
		if part < 0 {
			return "load.shares." + class, "load.shares: want 0 or more"
		}
	}
	if key, text := s.checkHalls(most); text != "" {
		return key, text
	}
	if s.OperatorConfig != "" {
		if _, err := operator.Parse("operator", []byte("[fleet]\n"+s.OperatorConfig+"\n")); err != nil {
			return "operator", err.Error()
		}
	}
	if len(s.Faults) > maxFaults {
		return fmt.Sprintf("fault.%d", maxFaults), fmt.Sprintf("more than %d faults; split the scenario", maxFaults)
	}
	for i, f := range s.Faults {
		if field, text := s.checkFault(f); text != "" {
			return strings.TrimSuffix(fmt.Sprintf("fault.%d.%s", i, field), "."), fmt.Sprintf("fault %d (%s): %s", i+1, f.Kind, text)
		}
	}
	return s.checkOverlap()
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }

func (s *Scenario) checkHalls(most bounds) (key, text string) {
	seen := map[string]bool{}
	for i, h := range s.Zones {
		at := fmt.Sprintf("hall.%d", i)
		switch {
		case h.Name == "" || strings.ContainsAny(h.Name, ". ,\n"):
			return at + ".name", "hall name: want one word without dots, such as \"hall-nord\""
		case seen[h.Name]:
			return at + ".name", fmt.Sprintf("hall %s stands there twice; give each its own name", h.Name)
		case h.Nodes < 0 || h.JoiningNodes < 0 || h.PodSize < 1:
			return at, "nodes and pod_size: want 0 or more nodes and 1 or more servers a pod"
		}
		seen[h.Name] = true
		for kind, n := range h.Servers {
			if !slices.Contains(kindNames, kind) {
				return at + ".servers", fmt.Sprintf("unknown machine kind %q; there are %s", kind, strings.Join(kindNames, ", "))
			}
			if n < 0 {
				return at + ".servers", kind + ": want 0 or more"
			}
		}
	}
	if n := len(s.Servers()); n == 0 || n > most.servers {
		return "hall.0", fmt.Sprintf("%d servers in all; want 1 to %d", n, most.servers)
	}
	if n := len(s.Nodes()); n == 0 || n > most.nodes {
		return "hall.0", fmt.Sprintf("%d nodes in all; want 1 to %d", n, most.nodes)
	}
	return "", ""
}

// maxHold is for how long a process is held up at most: what every rule allows for.
const maxHold = 150 * time.Millisecond

// isMoment tells whether a fault needs no duration.
func isMoment(what string) bool {
	switch what {
	case FaultReplace, FaultDiscoveryRestart, FaultJoin, FaultLeave, FaultReload, FaultWatchSilent, FaultIdleClose, FaultClockStep:
		return true
	}
	return false
}

// mostAccepts is the part of accepts that may fail for longer than maxHold: those that are
// made again get through.
const mostAccepts = 0.8

// checkCalls checks what a fault says of system calls.
func checkCalls(f Fault) (field, text string) {
	if f.Kind != FaultSystemCalls {
		if f.SystemCall != "" || f.Errno != "" {
			return "call", "call and error go with what = \"system-calls\"; remove them"
		}
		return "", ""
	}
	rule, err := sysfault.ParseRule(f.SystemCall, f.Errno, f.Fraction)
	switch {
	case err != nil:
		return "call", err.Error()
	case rule.Call == sysfault.Accept && f.Fraction > mostAccepts && f.For.Duration > maxHold:
		return "for", fmt.Sprintf("want %v at most, or part = %v at most: who waits for longer to be accepted is served late, as nobody could help", maxHold, mostAccepts)
	}
	return "", ""
}

// needs tells what a fault must name.
type needs struct{ servers, nodes, halls, class, part, none bool }

var faultNeeds = map[string]needs{
	FaultSilent: {servers: true}, FaultHang: {servers: true}, FaultHeavy: {class: true, part: true, none: true},
	FaultZoneLost: {halls: true}, FaultZoneAndNodesLost: {halls: true}, FaultKill: {servers: true, nodes: true},
	FaultRestart: {nodes: true}, FaultDrain: {servers: true}, FaultReplace: {servers: true},
	FaultLink: {servers: true, nodes: true}, FaultCorrupt: {servers: true, part: true}, FaultSlowReader: {part: true, none: true},
	FaultDiscoveryOutage: {none: true}, FaultDiscoveryDelay: {none: true}, FaultDiscoveryRestart: {none: true}, FaultFlap: {servers: true},
	FaultPause: {nodes: true}, FaultDiscoveryCut: {nodes: true}, FaultPeerLinks: {nodes: true},
	FaultPartition: {nodes: true}, FaultJoin: {nodes: true}, FaultLeave: {nodes: true},
	FaultBriefPause: {nodes: true}, FaultReload: {nodes: true}, FaultWatchSilent: {nodes: true}, FaultIdleClose: {servers: true},
	FaultNoDescriptors: {nodes: true}, FaultClockStep: {nodes: true}, FaultSystemCalls: {nodes: true, part: true},
}

func (s *Scenario) checkFault(f Fault) (field, text string) {
	need, known := faultNeeds[f.Kind]
	if !known {
		var all []string
		for what := range faultNeeds {
			all = append(all, what)
		}
		slices.Sort(all)
		return "what", "unknown fault; there are " + strings.Join(all, ", ")
	}
	if f.At.Duration > s.Length.Duration {
		return "at", fmt.Sprintf("at %v is past the scenario's length, %v; make one or the other fit", f.At, s.Length)
	}
	if f.For.Duration == 0 && !isMoment(f.Kind) {
		return "for", "want a duration: for = \"8s\""
	}
	if need.none && len(f.Targets) > 0 {
		return "who", "this fault hits no one server or node; remove who"
	}
	if !need.none && len(f.Targets) == 0 {
		return "who", "want who = [...] with the names it hits"
	}
	servers, nodes := s.Select(f.Targets)
	for _, w := range f.Targets {
		if !slices.ContainsFunc(s.Zones, func(h Zone) bool { return h.Name == w }) &&
			!slices.ContainsFunc(servers, func(x Server) bool { return x.Name == w }) &&
			!slices.ContainsFunc(nodes, func(x Node) bool { return x.Name == w }) {
			return "who", fmt.Sprintf("no server, node or hall is named %q; servers are named like %s, nodes like n0", w, s.Servers()[0].Name)
		}
		if need.halls && !slices.ContainsFunc(s.Zones, func(h Zone) bool { return h.Name == w }) {
			return "who", fmt.Sprintf("%q is no hall; this fault hits whole halls", w)
		}
	}
	if f.Kind == FaultJoin || f.Kind == FaultLeave {
		if f.For.Duration > 0 {
			return "for", "who joins or leaves does so for good; remove for"
		}
		for _, n := range nodes {
			if joins := n.Number >= s.InitialNodes(); f.Kind == FaultJoin && !joins {
				return "who", fmt.Sprintf("%s runs from the beginning; those that join are the last ones, as joins = ... of their halls says", n.Name)
			}
		}
	}
	if field, text := checkCalls(f); text != "" {
		return field, text
	}
	switch {
	case need.servers && !need.nodes && len(servers) == 0:
		return "who", "it names no server"
	case need.nodes && !need.servers && len(nodes) == 0:
		return "who", "it names no node"
	case need.class && !slices.Contains(classNames, f.Class):
		return "class", fmt.Sprintf("want class = one of %s", strings.Join(classNames, ", "))
	case !need.class && f.Class != "":
		return "class", "this fault has no class; remove it"
	case need.part && (f.Fraction <= 0 || f.Fraction > 1):
		return "part", "want part = the share that is hit, above 0 and up to 1"
	case !need.part && f.Fraction != 0:
		return "part", "this fault has no part; remove it"
	case f.Kind == FaultBriefPause && f.For.Duration > maxHold:
		return "for", fmt.Sprintf("want %v at most; what = \"stop\" has a process stand still for longer", maxHold)
	case f.Kind == FaultClockStep && (f.Delay.Duration == 0 || f.State != "" && f.State != "back"):
		return "delay", "want delay = how far the clock steps, and state = \"back\" if not forward"
	case f.Kind == FaultNoDescriptors && f.For.Duration > maxHold:
		return "for", fmt.Sprintf("want %v at most: who waits for longer to be accepted is served late, as nobody could help", maxHold)
	case f.Kind == FaultHeavy && (f.Factor < 1 || f.Factor > 1000):
		return "factor", "want factor = 1 to 1000, a multiple of the usual work"
	case f.Kind == FaultFlap && f.Interval.Duration < 10*time.Millisecond:
		return "every", "want every = \"500ms\" or so, 10ms at least"
	case f.Kind == FaultDiscoveryDelay && f.Delay.Duration == 0:
		return "delay", "want delay = how much later changes are told"
	case f.Kind != FaultPeerLinks && (len(f.Peers) > 0 || f.Direction != "" || f.Jitter.Duration > 0 || f.DuplicateFraction > 0):
		return "", "to, way, jitter and double go with what = \"peers\"; remove them"
	case f.Direction != "" && f.Direction != "out" && f.Direction != "in":
		return "way", "want out or in; left out it is both"
	case f.Kind == FaultPeerLinks && f.State != "" && f.State != "black-hole":
		return "state", "want black-hole, or loss, delay, jitter or double"
	case f.Kind == FaultPeerLinks && f.State == "" && f.Loss == 0 && f.Delay.Duration == 0 && f.Jitter.Duration == 0 && f.DuplicateFraction == 0:
		return "", "a fault of peers wants state, loss, delay, jitter or double"
	case !isShare(f.DuplicateFraction):
		return "double", "want a share, 0 to 1"
	case !isShare(f.Loss):
		return "loss", "want a share, 0 to 1"
	case f.Kind != FaultClockStep && f.State != "" && f.State != "half-open" && f.State != "reset" && f.State != "black-hole":
		return "state", "want half-open, reset or black-hole"
	case f.Kind == FaultLink && f.Delay.Duration == 0 && f.Loss == 0 && f.State == "":
		return "", "a link fault wants delay, loss or state"
	}
	return "", ""
}

// holdsDown are the faults that act on a process, or keep it from running.
var holdsDown = map[string]bool{FaultPause: true, FaultSilent: true, FaultKill: true, FaultZoneLost: true, FaultZoneAndNodesLost: true, FaultRestart: true, FaultReplace: true, FaultHang: true}

// checkOverlap rejects orders that cannot be carried out: a process that is
// acted on while another fault holds it down.
func (s *Scenario) checkOverlap() (key, text string) {
	type held struct {
		number         int
		fault          *Fault
		servers, nodes map[string]bool
	}
	var earlier []held
	for i := range s.Faults {
		f := &s.Faults[i]
		if !holdsDown[f.Kind] {
			continue
		}
		this := held{number: i, fault: f}
		this.servers, this.nodes = s.hit(*f)
		for _, g := range earlier {
			if !f.overlaps(g.fault) {
				continue
			}
			name, both := common(this.servers, g.servers)
			if !both {
				name, both = common(this.nodes, g.nodes)
			}
			if both {
				return fmt.Sprintf("fault.%d.at", i), fmt.Sprintf("fault %d (%s) acts on %s while fault %d (%s) holds it down; let one end first",
					i+1, f.Kind, name, g.number+1, g.fault.Kind)
			}
		}
		earlier = append(earlier, this)
	}
	return "", ""
}

// overlaps tells whether two faults act at one time, each for a millisecond at least.
func (f *Fault) overlaps(g *Fault) bool {
	return f.At.Duration < g.At.Duration+max(g.For.Duration, time.Millisecond) && g.At.Duration < f.At.Duration+max(f.For.Duration, time.Millisecond)
}

// common gives the first name, in their order, that two sets have in common.
func common(a, b map[string]bool) (name string, found bool) {
	for _, name := range slices.Sorted(maps.Keys(a)) {
		if b[name] {
			return name, true
		}
	}
	return "", false
}

// hit gives the names of the servers and nodes whose process a fault acts on.
func (s *Scenario) hit(f Fault) (servers, nodes map[string]bool) {
	servers, nodes = map[string]bool{}, map[string]bool{}
	xs, ns := s.Select(f.Targets)
	if f.Kind != FaultRestart && f.Kind != FaultPause {
		for _, x := range xs {
			servers[x.Name] = true
		}
	}
	if f.Kind == FaultRestart || f.Kind == FaultPause || f.Kind == FaultKill || f.Kind == FaultZoneAndNodesLost {
		for _, n := range ns {
			nodes[n.Name] = true
		}
	}
	return servers, nodes
}

// Check fills in defaults and tells what is wrong with a scenario that was not
// read from a file.
func Check(s *Scenario) error { return checkWithin(s, onSockets) }

// CheckInMemory does so for one that is only played in memory, where a fleet may
// be larger than a machine holds processes.
func CheckInMemory(s *Scenario) error { return checkWithin(s, inModel) }

func checkWithin(s *Scenario, most bounds) error {
	s.defaults()
	if _, text := s.check(most); text != "" {
		return errors.New(text)
	}
	return nil
}
