// Package steer decides for proxies that ask a control service what they
// should do: the weight of each server, which are draining or excluded, what
// to drop, how halls stand in for one another, and how much a cold server
// gets. It does no I/O, reads no clock and starts no goroutine: the caller
// feeds it events and hands what it publishes to the proxies.
//
// The rule for servers is that of package balance (three modes with
// hysteresis that lapse, q split into q1 and q2, blocked servers skipped, the
// expected delay decides among the rest). The difference is that the requests
// are not seen one by one: what is known of a server is the sum of what all
// proxies report of it.
package steer

import (
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/fleet/subset"
)

// Time is a reading of the caller's monotonic clock. Its zero has no meaning.
type Time = time.Duration

// ServerID names a server for as long as it is listed, ProxyID a proxy's
// identity. Both are opaque.
type (
	ServerID string
	ProxyID  string
)

// Settings is what the operator states. Zero values take the default that is
// named with each.
type Settings struct {
	Classes []balance.Class // at least one; their aims bound the delay

	WarmupStartFraction float64       // part of its capacity a started server has; (0, 1], default 0.32
	WarmupTime          time.Duration // it is warm after this time; default 8.3 s
	OverloadFactor      float64       // a cold server falls over beyond this multiple of its present capacity; default 2.5

	WeightInterval  time.Duration // a server's weight changes at most this often; default 1 s
	MaxWeightFactor float64       // and by at most this factor; over 1, default 1.25

	// SubsetSize is how many servers of a hall a proxy is told of where there are
	// more, about; 0: all. Where no weights give each server its part that way,
	// all are told.
	SubsetSize int

	MaxServers int // entries of the list; more are left out and counted; default 4,096
	MaxProxies int // default 4,096
}

// Server is an entry of the list.
type Server struct {
	ID           ServerID
	Addr         string // host:port
	Zone         string // the hall
	Cell         int    // the pod, within which keys are known
	RelativeSize float64
	Draining     bool
	StartedAt    Time // 0: long ago
}

// Event is something that happened; the types below are all there are.
type Event interface{ event() }

// ListKind says what a list is.
type ListKind int

const (
	// ListFull is all servers, fresh from the source; who is not in it is gone.
	ListFull ListKind = iota
	// ListCached is a full list that was kept from an earlier run; it may be old.
	ListCached
	// ListFailed has no servers: the source can't be reached.
	ListFailed
)

// Load is what one proxy reports of one server since its last report.
type Load struct {
	Server   ServerID
	Addr     string // names the server where Server is empty
	Issued   uint64 // requests sent
	OK       uint64 // answered
	Errors   uint64 // failed
	InFlight uint64 // out at the moment of the report

	// Utilisation is the server's own account (ORCA), 1 for full; 0: none.
	Utilisation float64
}

// Events.
type (
	// ListReceived is news of the servers.
	ListReceived struct {
		Kind    ListKind
		Servers []Server
	}
	// ProxyJoined says that a proxy of a hall is connected; Left that it is not.
	ProxyJoined struct {
		Proxy ProxyID
		Zone  string
	}
	ProxyLeft struct{ Proxy ProxyID }
	// ProxyReliability says whether what a proxy reports may be learnt from: one that does
	// not act on what it is told shows nothing of what a server can do.
	ProxyReliability struct {
		Proxy    ProxyID
		Reliable bool
	}
	// LoadReported is a proxy's load report.
	LoadReported struct {
		Proxy            ProxyID
		Interval         time.Duration // over which the counts were taken
		Loads            []Load
		PriorityArrivals uint64 // arrivals of priority requests, dropped ones too
		OtherArrivals    uint64 // arrivals of the others
	}
	// ProbeResult is the result of a Probe.
	ProbeResult struct {
		Server  ServerID
		OK      bool
		Elapsed time.Duration
	}
	// ProcessPaused says that the caller has stood still for so long that it may have
	// missed a drain: nothing is confirmed until the next full list.
	ProcessPaused struct{}
	// Tick comes every TickInterval.
	Tick struct{}
)

func (ListReceived) event()     {}
func (ProxyJoined) event()      {}
func (ProxyLeft) event()        {}
func (ProxyReliability) event() {}
func (LoadReported) event()     {}
func (ProbeResult) event()      {}
func (ProcessPaused) event()    {}
func (Tick) event()             {}

// TickInterval is the time between two Ticks.
const TickInterval = 100 * time.Millisecond

// Action is what is to be done; the types below are all there are.
type Action interface{ action() }

// Actions.
type (
	// Publish hands a new state to all proxies. Urgent ones carry a drain, an
	// exclusion or a server that is gone, and go before all else.
	Publish struct {
		State  *State
		Urgent bool
	}
	// Probe asks for a Probed.
	Probe struct{ Server ServerID }
	// Log is a line for the operator.
	Log struct{ Line string }
)

func (Publish) action() {}
func (Probe) action()   {}
func (Log) action()     {}

// Health is what proxies are told of a server.
type Health int

const (
	// Healthy servers take requests by their weight.
	Healthy Health = iota
	// Draining ones finish what they have.
	Draining
	// Excluded ones do not answer, or are given nothing for now.
	Excluded
)

func (h Health) String() string { return [...]string{"healthy", "draining", "excluded"}[h] }

// Endpoint is a server as proxies see it.
type Endpoint struct {
	ID     ServerID
	Addr   string
	Cell   int
	Health Health
	Weight uint32          // 1 to MaxWeight within its locality
	Groups subset.GroupSet // of proxies that are told of it
}

// MaxWeight is the greatest weight of an endpoint or a locality.
const MaxWeight = 10_000

// Locality is a hall within a View.
type Locality struct {
	Zone      string
	Priority  uint32 // 0 first
	Weight    uint32 // among those of the same priority; 1 to MaxWeight
	Endpoints []Endpoint
}

// View is what the proxies of one hall are told.
type View struct {
	Zone            string
	Localities      []Locality // by priority, then zone
	DropPriorityPPM uint32     // parts of a million of the priority requests to refuse
	DropOtherPPM    uint32     // the same for the others
	MaxRequests     uint32     // that one proxy may have out at once
}

// State is all that is decided at one time. It is never changed once
// published.
type State struct {
	Version         uint64 // grows by one with each state of this run
	Confirmed       bool   // a list has come fresh from its source in this run
	Views           map[string]*View
	Subsetted       bool      // some servers are told of to a part of the proxies only
	FullViewProxies []ProxyID // that are told of all servers, in order: each sends much of all there is
}

// GroupOf gives the group of a proxy, or subset.AllServers.
func (s *State) GroupOf(p ProxyID) int {
	if _, whole := slices.BinarySearch(s.FullViewProxies, p); whole {
		return subset.AllServers
	}
	return subset.GroupOf(string(p))
}

// ForGroup gives a view as a group is told it.
func (v *View) ForGroup(group int) *View {
	if v == nil || group == subset.AllServers {
		return v
	}
	out := *v
	out.Localities = make([]Locality, len(v.Localities))
	for i, l := range v.Localities {
		all := true
		for _, e := range l.Endpoints {
			all = all && e.Groups == 0
		}
		if !all {
			mine := make([]Endpoint, 0, len(l.Endpoints)/4)
			for _, e := range l.Endpoints {
				if e.Groups.Has(group) {
					mine = append(mine, e)
				}
			}
			l.Endpoints = mine
		}
		out.Localities[i] = l
	}
	return &out
}

// View gives the view of a hall; proxies of a hall that is not listed get the
// view of "", in which all halls are equal.
func (s *State) View(zone string) *View {
	if v := s.Views[zone]; v != nil {
		return v
	}
	return s.Views[""]
}
