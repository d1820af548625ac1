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

// Bounds of every scenario.
const (
	maxFaults = 200
	maxLength = 10 * time.Minute
)

// bounds limit the size of a scenario.
type bounds struct {
	servers, nodes int
	rate           float64
}

var (
	processLimits = bounds{200, 48, 20_000} // processes on one machine
	memoryLimits  = bounds{10_000, 1_000, 2_000_000}
)

// classNames are the classes of the default class table.
var classNames = []string{"broadcast-clip", "viewer-clip", "cut-order", "tag-event"}

func (s *Scenario) defaults() {
	setDefault := func(d *Span, to time.Duration) {
		if d.Duration == 0 {
			d.Duration = to
		}
	}
	setDefault(&s.Client.Backoff, 100*time.Millisecond)
	setDefault(&s.Discovery.NotificationDelay, 500*time.Millisecond)
	setDefault(&s.Net.SameZone, 200*time.Microsecond)
	setDefault(&s.Net.CrossZone, 2*time.Millisecond)
	setDefault(&s.Net.ClientDelay, 500*time.Microsecond)
	setDefault(&s.Net.PeerDelay, 5*time.Millisecond)
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

// check returns the first invalid key and how to fix it, or empty strings.
func (s *Scenario) check(limits bounds) (key, text string) {
	switch {
	case s.Name == "" || strings.ContainsAny(s.Name, " /\\\n"):
		return "name", "name: want one word, such as name = \"hang\""
	case s.Length.Duration < time.Second || s.Length.Duration > maxLength:
		return "length", fmt.Sprintf("length: %v is not between 1s and %v", s.Length, maxLength)
	case s.Load.Rate < 0.1 || s.Load.Rate > limits.rate:
		return "load.rate", fmt.Sprintf("load.rate: want 0.1 to %v first tries a second, have %v", limits.rate, s.Load.Rate)
	case s.Load.RampTo != 0 && (s.Load.RampTo < 0.1 || s.Load.RampTo > limits.rate):
		return "load.ramp_to", fmt.Sprintf("load.ramp_to: want 0.1 to %v, or leave it out", limits.rate)
	case s.Load.WorkFactor < 0.0001 || s.Load.WorkFactor > 100:
		return "load.work", "load.work: want 0.0001 to 100, as a multiple of the default work"
	case s.Client.Retries < 0 || s.Client.Retries > 2:
		return "clients.retries", "clients.retries: want 0, 1 or 2"
	case s.Client.TryTimeoutFraction < 0.5 || s.Client.TryTimeoutFraction > 0.8:
		return "clients.try_share", "clients.try_share: want 0.5 to 0.8 of the deadline"
	case !isFraction(s.Client.RetryAfterFraction):
		return "clients.honour", "clients.honour: want a share, 0 to 1"
	case !isFraction(s.Client.AbandonFraction) || !isFraction(s.Client.SlowWriteFraction):
		return "clients", "clients: leaves and pieces are shares, 0 to 1"
	case s.Client.LateConnections < 0 || s.Client.LateConnections > 20:
		return "clients.late", "clients.late: want 0 to 20 connections of each kind"
	case !isFraction(s.Net.PeerLoss):
		return "net.messages_lost", "net.messages_lost: want a share, 0 to 1"
	case !isFraction(s.Requirements.MinMeasure) || !isFraction(s.Requirements.MinServed) || !isFraction(s.Requirements.MaxRefused):
		return "must", "must: measure, served and refused_most are shares, 0 to 1"
	case s.OperatorConfig != "" && !s.Fleet:
		return "operator", "operator: these are lines of the section [fleet]; set fleet = true too"
	case len(s.Zones) == 0:
		return "", "no [[hall]]: want at least one with nodes and servers"
	}
	for class, share := range s.Load.Shares {
		if !slices.Contains(classNames, class) {
			return "load.shares." + class, fmt.Sprintf("load.shares: unknown class %q; there are %s", class, strings.Join(classNames, ", "))
		}
		if share < 0 {
			return "load.shares." + class, "load.shares: want 0 or more"
		}
	}
	if key, text := s.checkZones(limits); text != "" {
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

func isFraction(x float64) bool { return x >= 0 && x <= 1 }

func (s *Scenario) checkZones(limits bounds) (key, text string) {
	seen := map[string]bool{}
	for i, zone := range s.Zones {
		prefix := fmt.Sprintf("hall.%d", i)
		switch {
		case zone.Name == "" || strings.ContainsAny(zone.Name, ". ,\n"):
			return prefix + ".name", "hall name: want one word without dots, such as \"hall-nord\""
		case seen[zone.Name]:
			return prefix + ".name", fmt.Sprintf("hall %s is named twice; give each its own name", zone.Name)
		case zone.Nodes < 0 || zone.JoiningNodes < 0 || zone.PodSize < 1:
			return prefix, "nodes and pod_size: want 0 or more nodes and 1 or more servers a pod"
		}
		seen[zone.Name] = true
		for kind, n := range zone.Servers {
			if !slices.Contains(machineKinds, kind) {
				return prefix + ".servers", fmt.Sprintf("unknown machine kind %q; there are %s", kind, strings.Join(machineKinds, ", "))
			}
			if n < 0 {
				return prefix + ".servers", kind + ": want 0 or more"
			}
		}
	}
	if n := len(s.Servers()); n == 0 || n > limits.servers {
		return "hall.0", fmt.Sprintf("%d servers in all; want 1 to %d", n, limits.servers)
	}
	if n := len(s.Nodes()); n == 0 || n > limits.nodes {
		return "hall.0", fmt.Sprintf("%d nodes in all; want 1 to %d", n, limits.nodes)
	}
	return "", ""
}

// maxBriefPause is the longest process pause that every rule tolerates.
const maxBriefPause = 150 * time.Millisecond

// isInstant reports whether a fault is instantaneous and needs no duration.
func isInstant(kind string) bool {
	switch kind {
	case FaultReplace, FaultDiscoveryRestart, FaultJoin, FaultLeave, FaultReload, FaultWatchSilent, FaultIdleClose, FaultClockStep:
		return true
	}
	return false
}

// maxAcceptFailures is the fraction of accept calls that may fail for longer
// than maxBriefPause: repeated calls still succeed soon.
const maxAcceptFailures = 0.8

// checkSystemCall validates the fields for system calls.
func checkSystemCall(f Fault) (field, text string) {
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
	case rule.Call == sysfault.Accept && f.Fraction > maxAcceptFailures && f.For.Duration > maxBriefPause:
		return "for", fmt.Sprintf("want %v at most, or part = %v at most: connections that wait longer to be accepted are served late", maxBriefPause, maxAcceptFailures)
	}
	return "", ""
}

// faultFields lists the fields that a kind of fault requires.
type faultFields struct{ servers, nodes, zones, class, fraction, noTargets bool }

var requiredFields = map[string]faultFields{
	FaultSilent: {servers: true}, FaultHang: {servers: true}, FaultHeavy: {class: true, fraction: true, noTargets: true},
	FaultZoneLost: {zones: true}, FaultZoneAndNodesLost: {zones: true}, FaultKill: {servers: true, nodes: true},
	FaultRestart: {nodes: true}, FaultDrain: {servers: true}, FaultReplace: {servers: true},
	FaultLink: {servers: true, nodes: true}, FaultCorrupt: {servers: true, fraction: true}, FaultLateBody: {servers: true, fraction: true},
	FaultSlowReader:      {fraction: true, noTargets: true},
	FaultDiscoveryOutage: {noTargets: true}, FaultDiscoveryDelay: {noTargets: true}, FaultDiscoveryRestart: {noTargets: true}, FaultFlap: {servers: true},
	FaultPause: {nodes: true}, FaultDiscoveryCut: {nodes: true}, FaultPeerLinks: {nodes: true},
	FaultPartition: {nodes: true}, FaultJoin: {nodes: true}, FaultLeave: {nodes: true},
	FaultBriefPause: {nodes: true}, FaultReload: {nodes: true}, FaultWatchSilent: {nodes: true}, FaultIdleClose: {servers: true},
	FaultNoDescriptors: {nodes: true}, FaultClockStep: {nodes: true}, FaultSystemCalls: {nodes: true, fraction: true},
}

func (s *Scenario) checkFault(f Fault) (field, text string) {
	need, known := requiredFields[f.Kind]
	if !known {
		var all []string
		for kind := range requiredFields {
			all = append(all, kind)
		}
		slices.Sort(all)
		return "what", "unknown fault; there are " + strings.Join(all, ", ")
	}
	if f.At.Duration > s.Length.Duration {
		return "at", fmt.Sprintf("at %v is past the scenario's length, %v; make one or the other fit", f.At, s.Length)
	}
	if f.For.Duration == 0 && !isInstant(f.Kind) {
		return "for", "want a duration: for = \"8s\""
	}
	if need.noTargets && len(f.Targets) > 0 {
		return "who", "this fault hits no one server or node; remove who"
	}
	if !need.noTargets && len(f.Targets) == 0 {
		return "who", "want who = [...] with the names it hits"
	}
	servers, nodes := s.Select(f.Targets)
	for _, target := range f.Targets {
		if !slices.ContainsFunc(s.Zones, func(zone Zone) bool { return zone.Name == target }) &&
			!slices.ContainsFunc(servers, func(server Server) bool { return server.Name == target }) &&
			!slices.ContainsFunc(nodes, func(node Node) bool { return node.Name == target }) {
			return "who", fmt.Sprintf("no server, node or hall is named %q; servers are named like %s, nodes like n0", target, s.Servers()[0].Name)
		}
		if need.zones && !slices.ContainsFunc(s.Zones, func(zone Zone) bool { return zone.Name == target }) {
			return "who", fmt.Sprintf("%q is no hall; this fault hits whole halls", target)
		}
	}
	if f.Kind == FaultJoin || f.Kind == FaultLeave {
		if f.For.Duration > 0 {
			return "for", "who joins or leaves does so permanently; remove for"
		}
		for _, node := range nodes {
			if joins := node.Number >= s.InitialNodes(); f.Kind == FaultJoin && !joins {
				return "who", fmt.Sprintf("%s runs from the beginning; those that join are the last ones, as joins = ... of their halls says", node.Name)
			}
		}
	}
	if field, text := checkSystemCall(f); text != "" {
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
	case need.fraction && (f.Fraction <= 0 || f.Fraction > 1):
		return "part", "want part = the share that is hit, above 0 and up to 1"
	case !need.fraction && f.Fraction != 0:
		return "part", "this fault has no part; remove it"
	case f.Kind == FaultBriefPause && f.For.Duration > maxBriefPause:
		return "for", fmt.Sprintf("want %v at most; what = \"stop\" pauses a process for longer", maxBriefPause)
	case f.Kind == FaultClockStep && (f.Delay.Duration == 0 || f.State != "" && f.State != "back"):
		return "delay", "want delay = how far the clock steps, and state = \"back\" if not forward"
	case f.Kind == FaultNoDescriptors && f.For.Duration > maxBriefPause:
		return "for", fmt.Sprintf("want %v at most: connections that wait longer to be accepted are served late", maxBriefPause)
	case f.Kind == FaultHeavy && (f.Factor < 1 || f.Factor > 1000):
		return "factor", "want factor = 1 to 1000, a multiple of the usual work"
	case f.Kind == FaultFlap && f.Interval.Duration < 10*time.Millisecond:
		return "every", "want every = \"500ms\" or so, 10ms at least"
	case (f.Kind == FaultDiscoveryDelay || f.Kind == FaultLateBody) && f.Delay.Duration == 0:
		return "delay", "want delay = how much later changes are notified"
	case f.Kind != FaultPeerLinks && (len(f.Peers) > 0 || f.Direction != "" || f.Jitter.Duration > 0 || f.DuplicateFraction > 0):
		return "", "to, way, jitter and double go with what = \"peers\"; remove them"
	case f.Direction != "" && f.Direction != "out" && f.Direction != "in":
		return "way", "want out or in; left out it is both"
	case f.Kind == FaultPeerLinks && f.State != "" && f.State != "black-hole":
		return "state", "want black-hole, or loss, delay, jitter or double"
	case f.Kind == FaultPeerLinks && f.State == "" && f.Loss == 0 && f.Delay.Duration == 0 && f.Jitter.Duration == 0 && f.DuplicateFraction == 0:
		return "", "a fault of peers wants state, loss, delay, jitter or double"
	case !isFraction(f.DuplicateFraction):
		return "double", "want a share, 0 to 1"
	case !isFraction(f.Loss):
		return "loss", "want a share, 0 to 1"
	case f.Kind != FaultClockStep && f.State != "" && f.State != "half-open" && f.State != "reset" && f.State != "black-hole":
		return "state", "want half-open, reset or black-hole"
	case f.Kind == FaultLink && f.Delay.Duration == 0 && f.Loss == 0 && f.State == "":
		return "", "a link fault wants delay, loss or state"
	}
	return "", ""
}

// exclusiveFaults are the faults that stop, replace or cut off a process.
var exclusiveFaults = map[string]bool{FaultPause: true, FaultSilent: true, FaultKill: true, FaultZoneLost: true, FaultZoneAndNodesLost: true, FaultRestart: true, FaultReplace: true, FaultHang: true}

// checkOverlap rejects timelines in which two exclusive faults act on the same
// process at the same time.
func (s *Scenario) checkOverlap() (key, text string) {
	type affected struct {
		number         int
		fault          *Fault
		servers, nodes map[string]bool
	}
	var earlier []affected
	for i := range s.Faults {
		f := &s.Faults[i]
		if !exclusiveFaults[f.Kind] {
			continue
		}
		current := affected{number: i, fault: f}
		current.servers, current.nodes = s.affectedProcesses(*f)
		for _, other := range earlier {
			if !f.overlaps(other.fault) {
				continue
			}
			name, shared := commonName(current.servers, other.servers)
			if !shared {
				name, shared = commonName(current.nodes, other.nodes)
			}
			if shared {
				return fmt.Sprintf("fault.%d.at", i), fmt.Sprintf("fault %d (%s) acts on %s while fault %d (%s) holds it down; let one end first",
					i+1, f.Kind, name, other.number+1, other.fault.Kind)
			}
		}
		earlier = append(earlier, current)
	}
	return "", ""
}

// overlaps reports whether two faults are active at the same time, each for at least a millisecond.
func (f *Fault) overlaps(other *Fault) bool {
	return f.At.Duration < other.At.Duration+max(other.For.Duration, time.Millisecond) && other.At.Duration < f.At.Duration+max(f.For.Duration, time.Millisecond)
}

// commonName returns the first name in sorted order that both sets contain.
func commonName(a, b map[string]bool) (name string, found bool) {
	for _, name := range slices.Sorted(maps.Keys(a)) {
		if b[name] {
			return name, true
		}
	}
	return "", false
}

// affectedProcesses returns the names of the servers and nodes whose processes a fault acts on.
func (s *Scenario) affectedProcesses(f Fault) (servers, nodes map[string]bool) {
	servers, nodes = map[string]bool{}, map[string]bool{}
	selectedServers, selectedNodes := s.Select(f.Targets)
	if f.Kind != FaultRestart && f.Kind != FaultPause {
		for _, server := range selectedServers {
			servers[server.Name] = true
		}
	}
	if f.Kind == FaultRestart || f.Kind == FaultPause || f.Kind == FaultKill || f.Kind == FaultZoneAndNodesLost {
		for _, node := range selectedNodes {
			nodes[node.Name] = true
		}
	}
	return servers, nodes
}

// Check fills in defaults and validates a scenario that was not read from a
// file, within the limits of a run with real processes. The error says what is
// invalid and how to fix it.
func Check(s *Scenario) error { return checkWithin(s, processLimits) }

// CheckInMemory does the same as Check, within the larger limits of a simulated
// run.
func CheckInMemory(s *Scenario) error { return checkWithin(s, memoryLimits) }

func checkWithin(s *Scenario, limits bounds) error {
	s.defaults()
	if _, text := s.check(limits); text != "" {
		return errors.New(text)
	}
	return nil
}
