// Package steer makes the load-balancing decisions of an xDS control service: the weight and
// health of each endpoint, the endpoints each proxy sees, drop ratios, failover between zones and
// the load of servers that warm up. It does no I/O, reads no clock and starts no goroutine: the
// caller feeds it events and delivers the states it publishes.
//
// Servers are rated as in package balance: three modes (normal, overloaded, blocking) with
// hysteresis, separate drop ratios for priority and other requests, less weight for overloaded and
// blocking servers, and more for short delays. Unlike there, single requests are not visible: all
// estimates of a server come from the sums of the proxies' load reports.
package steer

import (
	"slices"
	"time"

	"ivylock/balance"
	"ivylock/fleet/subset"
)

// Time is a reading of the caller's monotonic clock, in nanoseconds since an arbitrary origin.
type Time = time.Duration

type (
	// ServerID identifies a server while it is listed. It is opaque.
	ServerID string
	// ProxyID identifies a proxy. It is opaque.
	ProxyID string
)

// Settings configures a Module. Zero values select the defaults given with each field.
type Settings struct {
	Classes []balance.Class // at least one; the shortest target latency limits the delay of every server

	WarmupStartFraction float64       // fraction of its capacity that a server starts with, in (0, 1]; default 0.32
	WarmupTime          time.Duration // time until a started server has its full capacity; default 8.3 s
	OverloadFactor      float64       // multiple of its current capacity at which a cold server fails; default 2.5

	WeightInterval  time.Duration // minimum time between two weight changes of a server; default 1 s
	MaxWeightFactor float64       // largest factor of one weight change, over 1; default 1.25

	// SubsetSize is the approximate number of servers that a proxy sees of a zone that has more; 0
	// disables subsetting. A zone for which no weights keep the load balanced is not subsetted.
	SubsetSize int

	MaxServers int // listed servers; further ones are discarded and counted; default 4,096
	MaxProxies int // connected proxies; default 4,096
}

// Server is an entry of the server list.
type Server struct {
	ID           ServerID
	Addr         string // host:port
	Zone         string
	Cell         int     // pod; servers recognise a repeated deduplication key within one pod only
	RelativeSize float64 // capacity relative to the other servers; 0: unknown
	Draining     bool
	StartedAt    Time // 0: long ago
}

// Event is an input of the module; the types below implement it.
type Event interface{ event() }

// ListKind describes the completeness and freshness of a server list.
type ListKind int

const (
	// ListFull is a complete list from the source; a server that is missing has been removed.
	ListFull ListKind = iota
	// ListCached is a complete list saved by an earlier run; it may be out of date.
	ListCached
	// ListFailed has no entries: the source could not be reached.
	ListFailed
)

// Load is a proxy's report on one server, for the time since the proxy's previous report.
type Load struct {
	Server   ServerID
	Addr     string // identifies the server if Server is empty
	Issued   uint64
	OK       uint64 // successful responses
	Errors   uint64 // failed requests
	InFlight uint64 // open requests at the time of the report

	// Utilisation is the load that the server itself reports (ORCA), 1 when full; 0 if it reports
	// none.
	Utilisation float64
}

type (
	// ListReceived reports an update of the server list.
	ListReceived struct {
		Kind    ListKind
		Servers []Server
	}
	// ProxyJoined reports that a proxy of a zone connected.
	ProxyJoined struct {
		Proxy ProxyID
		Zone  string
	}
	// ProxyLeft reports that a proxy disconnected.
	ProxyLeft struct{ Proxy ProxyID }
	// ProxyReliability sets whether a proxy's reports are used to estimate what servers can serve.
	// They are not if the proxy does not apply the states it receives.
	ProxyReliability struct {
		Proxy    ProxyID
		Reliable bool
	}
	// LoadReported is a proxy's load report.
	LoadReported struct {
		Proxy            ProxyID
		Interval         time.Duration // time that the counts cover
		Loads            []Load
		PriorityArrivals uint64 // priority requests that arrived, dropped ones included
		OtherArrivals    uint64 // other requests that arrived, dropped ones included
	}
	// ProbeResult is the outcome of a Probe.
	ProbeResult struct {
		Server  ServerID
		OK      bool
		Elapsed time.Duration
	}
	// ProcessPaused reports a process pause during which a drain may have been missed: states are
	// unconfirmed until the next full list.
	ProcessPaused struct{}
	// Tick is due every TickInterval.
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

// Action is an output of the module; the types below implement it.
type Action interface{ action() }

type (
	// Publish delivers a new state to all proxies. Urgent states contain a drain, an exclusion or
	// a removal and are sent first.
	Publish struct {
		State  *State
		Urgent bool
	}
	// Probe requests a health check of a server; its outcome is a ProbeResult.
	Probe struct{ Server ServerID }
	// Log is a log line for operators.
	Log struct{ Line string }
)

func (Publish) action() {}
func (Probe) action()   {}
func (Log) action()     {}

// Health is a server's health as proxies see it.
type Health int

const (
	// Healthy servers receive requests according to their weight.
	Healthy Health = iota
	// Draining servers finish their open requests and receive no new ones.
	Draining
	// Excluded servers fail or do not respond, and receive no requests until probes succeed.
	Excluded
)

func (h Health) String() string { return [...]string{"healthy", "draining", "excluded"}[h] }

// Endpoint is a server as proxies see it.
type Endpoint struct {
	ID     ServerID
	Addr   string
	Cell   int
	Health Health
	Weight uint32          // 1 to MaxWeight, relative within the locality
	Groups subset.GroupSet // proxy groups that see it; 0: all
}

// MaxWeight is the largest weight of an endpoint or a locality.
const MaxWeight = 10_000

// Locality holds the endpoints of one zone within a View.
type Locality struct {
	Zone      string
	Priority  uint32 // 0 is the highest
	Weight    uint32 // 1 to MaxWeight, relative among localities of the same priority
	Endpoints []Endpoint
}

// View is the configuration for the proxies of one zone.
type View struct {
	Zone            string
	Localities      []Locality // sorted by priority, then zone
	DropPriorityPPM uint32     // priority requests to drop, in parts per million
	DropOtherPPM    uint32     // other requests to drop, in parts per million
	MaxRequests     uint32     // limit of open requests of one proxy
}

// State is a complete set of decisions. It is immutable once published.
type State struct {
	Version         uint64 // increases by one with each state of this run
	Confirmed       bool   // the source delivered a list since the start or the last process pause
	Views           map[string]*View
	Subsetted       bool      // at least one server is visible to some proxies only
	FullViewProxies []ProxyID // proxies with much traffic, which see all servers; sorted
}

// GroupOf returns a proxy's group, or subset.AllServers if it sees all servers.
func (s *State) GroupOf(p ProxyID) int {
	if _, fullView := slices.BinarySearch(s.FullViewProxies, p); fullView {
		return subset.AllServers
	}
	return subset.GroupOf(string(p))
}

// ForGroup returns the view restricted to the servers that a group sees.
func (v *View) ForGroup(group int) *View {
	if v == nil || group == subset.AllServers {
		return v
	}
	out := *v
	out.Localities = make([]Locality, len(v.Localities))
	for i, locality := range v.Localities {
		forAll := true
		for _, e := range locality.Endpoints {
			forAll = forAll && e.Groups == 0
		}
		if !forAll {
			visible := make([]Endpoint, 0, len(locality.Endpoints)/4)
			for _, e := range locality.Endpoints {
				if e.Groups.Has(group) {
					visible = append(visible, e)
				}
			}
			locality.Endpoints = visible
		}
		out.Localities[i] = locality
	}
	return &out
}

// View returns the view of a zone. Zones that are not listed get the view of "", which spreads
// requests evenly over all servers.
func (s *State) View(zone string) *View {
	if v := s.Views[zone]; v != nil {
		return v
	}
	return s.Views[""]
}
