// Package scenario reads the files that describe a lab run: zones, servers,
// nodes, load, a timeline of faults, and the requirements on the result.
// Decoding is strict, and every error names the file, the line and the fix.
package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Scenario is the content of one scenario file.
type Scenario struct {
	Name         string       `toml:"name"`
	Description  string       `toml:"about,omitempty"`
	Seed         int64        `toml:"seed"`
	Length       Span         `toml:"length"` // duration of the load; 1 s to 10 min
	Load         Load         `toml:"load"`
	Client       Client       `toml:"clients"`
	Discovery    Discovery    `toml:"discovery"`
	Net          Net          `toml:"net"`
	Zones        []Zone       `toml:"hall"`
	Faults       []Fault      `toml:"fault"`
	Requirements Requirements `toml:"must"`
	// TenantQuota is the quota of the only tenant in requests per second; 0: no
	// tenant.
	TenantQuota float64 `toml:"quota,omitempty"`
	// OperatorConfig holds additional lines for the section [fleet] of the
	// operator's file; it requires Fleet.
	OperatorConfig string `toml:"operator,omitempty"`
	// Fleet turns on the exchange of state between nodes that the operator's
	// section [fleet] configures.
	Fleet bool `toml:"fleet,omitempty"`
}

// Load describes the requests of all clients; the class table supplies the rest.
type Load struct {
	Rate       float64            `toml:"rate"`              // first tries per second over all zones; 0.1 to 20,000
	RampTo     float64            `toml:"ramp_to,omitempty"` // rate at the end; 0: constant rate
	Shares     map[string]float64 `toml:"shares,omitempty"`  // by class; others keep their default
	WorkFactor float64            `toml:"work,omitempty"`    // multiplies the work of all requests; 0: 1
}

// Client describes the behaviour of the clients.
type Client struct {
	Retries            int     `toml:"retries,omitempty"`   // by the client, 0 to 2
	TryTimeoutFraction float64 `toml:"try_share,omitempty"` // of the deadline; 0.5 to 0.8; 0: 0.65
	Backoff            Span    `toml:"backoff,omitempty"`   // delay before the first retry, then doubled
	RetryAfterFraction float64 `toml:"honour,omitempty"`    // of clients that follow Retry-After
	AbandonFraction    float64 `toml:"leaves,omitempty"`    // of tries that the client cancels
	SlowWriteFraction  float64 `toml:"pieces,omitempty"`    // of tries that are written slowly, in pieces
	// LateConnections is the number of connections of each kind to a node that
	// shuts down on which requests are sent until it is killed; 0 to 20.
	LateConnections int `toml:"late,omitempty"`
}

// Discovery describes the behaviour of the discovery service.
type Discovery struct {
	NotificationDelay Span `toml:"lag,omitempty"` // from a change to its notification
}

// Net holds the one-way delays and the loss of the simulated network.
type Net struct {
	SameZone    Span    `toml:"same_hall,omitempty"`
	CrossZone   Span    `toml:"cross_hall,omitempty"`
	ClientDelay Span    `toml:"client,omitempty"`
	PeerDelay   Span    `toml:"messages,omitempty"`      // datagrams between nodes
	PeerLoss    float64 `toml:"messages_lost,omitempty"` // fraction of the datagrams lost, 0 to 1
}

// Zone is one zone with its nodes and servers.
type Zone struct {
	Name  string `toml:"name"`
	Nodes int    `toml:"nodes"`
	// JoiningNodes do not run until a fault starts them; they are numbered after
	// all other nodes.
	JoiningNodes int            `toml:"joins,omitempty"`
	Servers      map[string]int `toml:"servers"` // by machine kind
	PodSize      int            `toml:"pod_size,omitempty"`
}

// Kinds of faults.
const (
	FaultSilent           = "silent"            // a server is cut off and comes back cold
	FaultHang             = "hang"              // a server accepts requests and answers none
	FaultHeavy            = "heavy"             // a fraction of one class takes a multiple of its work
	FaultZoneLost         = "hall-lost"         // all servers of a zone are cut off and come back cold
	FaultZoneAndNodesLost = "hall-lost-nodes"   // as hall-lost, and the zone's nodes are killed
	FaultKill             = "kill"              // a node or server process is killed and started again at the end
	FaultRestart          = "restart"           // a planned restart of a node: SIGTERM, then a new process
	FaultDrain            = "drain"             // a server drains and is up again at the end
	FaultReplace          = "replace"           // a server process is replaced under a new id at the same address
	FaultLink             = "link"              // the links of a node or server change
	FaultCorrupt          = "spoil"             // a fraction of a server's answers is corrupted
	FaultLateBody         = "late-body"         // the bodies of a fraction of a server's answers come after a delay
	FaultSlowReader       = "slow-reader"       // clients read their answers slowly
	FaultDiscoveryOutage  = "discovery-outage"  // discovery is down
	FaultDiscoveryDelay   = "discovery-lag"     // change notifications are delayed further
	FaultDiscoveryRestart = "discovery-restart" // discovery restarts with a lower generation
	FaultFlap             = "flap"              // discovery lists a running server as up and down in turn
	FaultPause            = "stop"              // a node's process is paused (SIGSTOP) and resumed at the end
	FaultDiscoveryCut     = "cut-discovery"     // a node is cut off from discovery
	FaultPeerLinks        = "peers"             // the network between nodes changes
	FaultPartition        = "split"             // some nodes are partitioned from the others
	FaultJoin             = "join"              // further nodes start, with newer settings; permanent
	FaultLeave            = "leave"             // nodes shut down gracefully; permanent
	FaultBriefPause       = "hold"              // as stop, for 0.15 s at most; may overlap other faults
	FaultReload           = "reload"            // a node reloads (SIGHUP) with another discovery address
	FaultWatchSilent      = "watch-silent"      // the open discovery watches of nodes go silent
	FaultIdleClose        = "idle-close"        // servers close their idle connections
	FaultClockStep        = "clock-step"        // wall clock of nodes steps; permanent; node built with -tags faults
	FaultNoDescriptors    = "no-descriptors"    // a node gets no file descriptor (EMFILE), for 0.15 s at most
	FaultSystemCalls      = "system-calls"      // a fraction of a node's system calls of one kind fails
)

// Fault is one fault on the timeline. The comments name the kinds that a field applies to.
type Fault struct {
	At       Span     `toml:"at"`
	For      Span     `toml:"for,omitempty"`
	Kind     string   `toml:"what"`
	Targets  []string `toml:"who,omitempty"`    // servers (hall.1), nodes (n0) or zones
	Class    string   `toml:"class,omitempty"`  // heavy
	Fraction float64  `toml:"part,omitempty"`   // heavy, spoil, slow-reader, system-calls: fraction affected, 0 to 1
	Factor   float64  `toml:"factor,omitempty"` // heavy: multiple of the normal work
	Interval Span     `toml:"every,omitempty"`  // flap: time between changes
	Delay    Span     `toml:"delay,omitempty"`  // link: one way; discovery-lag: added; clock-step: size of the step
	Loss     float64  `toml:"loss,omitempty"`   // link: fraction of segments lost, each causing a retransmission
	// State: for link "", half-open, reset or black-hole; for peers "" or
	// black-hole; for clock-step "" (forward) or back.
	State             string   `toml:"state,omitempty"`
	Peers             []string `toml:"to,omitempty"`     // peers: the other ends; empty: all nodes
	Direction         string   `toml:"way,omitempty"`    // peers: "out" or "in", as seen by Targets; empty: both
	Jitter            Span     `toml:"jitter,omitempty"` // peers: maximum random delay, which reorders datagrams
	DuplicateFraction float64  `toml:"double,omitempty"` // peers: fraction of datagrams that are duplicated
	SystemCall        string   `toml:"call,omitempty"`   // system-calls: kind of call, as package sysfault names it
	Errno             string   `toml:"error,omitempty"`  // system-calls: name of the error, such as ENOBUFS
}

// Requirements must hold after the run. A broken rule always fails the run.
type Requirements struct {
	MinMeasure     float64 `toml:"measure,omitempty"`        // of the service measure, 0 to 1
	MinServed      float64 `toml:"served,omitempty"`         // fraction of orders that are served at all
	MaxRefused     float64 `toml:"refused_most,omitempty"`   // fraction of tries; 0: no limit
	AllowPauseLoss bool    `toml:"stops_may_lose,omitempty"` // requests that expire during a process pause may be lost
	RequireFaults  bool    `toml:"faults_happen,omitempty"`  // the history must show each fault
}

// Server is one clip server of a scenario.
type Server struct {
	Name, Zone, Kind string
	Pod              int
}

// Node is one node of a scenario.
type Node struct {
	Name, Zone string
	Number     int
}

// Servers lists all servers by zone, within a zone by machine kind.
func (s *Scenario) Servers() []Server {
	var out []Server
	pod := 0
	for _, zone := range s.Zones {
		size, n := zone.PodSize, 0
		if size == 0 {
			size = 4
		}
		for _, kind := range machineKinds {
			for range zone.Servers[kind] {
				n++
				out = append(out, Server{Name: fmt.Sprintf("%s.%d", zone.Name, n), Zone: zone.Name, Kind: kind, Pod: pod + (n-1)/size})
			}
		}
		pod += (n + size - 1) / size
	}
	return out
}

var machineKinds = []string{"fast-6", "std-6", "slow-6"}

// Nodes lists all nodes; those that join later follow the others.
func (s *Scenario) Nodes() []Node {
	var out []Node
	add := func(name string, count int) {
		for range count {
			out = append(out, Node{Name: fmt.Sprintf("n%d", len(out)), Zone: name, Number: len(out)})
		}
	}
	for _, zone := range s.Zones {
		add(zone.Name, zone.Nodes)
	}
	for _, zone := range s.Zones {
		add(zone.Name, zone.JoiningNodes)
	}
	return out
}

// InitialNodes is the number of nodes that run from the start. The nodes' settings
// state this number.
func (s *Scenario) InitialNodes() int {
	n := 0
	for _, zone := range s.Zones {
		n += zone.Nodes
	}
	return n
}

// Select returns the servers and nodes with the given names; a zone's name selects all of its members.
func (s *Scenario) Select(names []string) (servers []Server, nodes []Node) {
	selected := func(name, zone string) bool {
		for _, wanted := range names {
			if wanted == name || wanted == zone {
				return true
			}
		}
		return false
	}
	for _, x := range s.Servers() {
		if selected(x.Name, x.Zone) {
			servers = append(servers, x)
		}
	}
	for _, x := range s.Nodes() {
		if selected(x.Name, x.Zone) {
			nodes = append(nodes, x)
		}
	}
	return servers, nodes
}

// End returns the end of the load or of the last fault, whichever is later.
func (s *Scenario) End() time.Duration {
	end := s.Length.Duration
	for _, f := range s.Faults {
		end = max(end, f.At.Duration+f.For.Duration)
	}
	return end
}

func (f Fault) String() string {
	text := f.Kind
	if len(f.Targets) > 0 {
		text += " " + strings.Join(f.Targets, ",")
	}
	if f.Class != "" {
		text += " " + f.Class
	}
	if f.State != "" {
		text += " " + f.State
	}
	return text
}

// PeerPaths lists the directed paths between nodes that a fault of kind peers
// or split affects, as pairs of node numbers.
func (s *Scenario) PeerPaths(f *Fault) [][2]int {
	_, targets := s.Select(f.Targets)
	_, peers := s.Select(f.Peers)
	if len(f.Peers) == 0 {
		peers = s.Nodes()
	}
	if f.Kind == FaultPartition {
		peers = slices.DeleteFunc(s.Nodes(), func(n Node) bool { return slices.Contains(targets, n) })
	}
	var out [][2]int
	for _, a := range targets {
		for _, b := range peers {
			if a.Number == b.Number {
				continue
			}
			if f.Direction != "in" {
				out = append(out, [2]int{a.Number, b.Number})
			}
			if f.Direction != "out" {
				out = append(out, [2]int{b.Number, a.Number})
			}
		}
	}
	return out
}
