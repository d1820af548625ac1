// Package scenario reads the files that say what a lab run consists of: halls,
// servers, nodes, load, faults on a timeline, and what must hold. Decoding is
// strict, and every message names the file, the line and the fix.
package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Scenario is one file.
type Scenario struct {
	Name           string       `toml:"name"`
	Description    string       `toml:"about,omitempty"`
	Seed           int64        `toml:"seed"`
	Length         Span         `toml:"length"` // of the load; 1 s to 10 min
	Load           Load         `toml:"load"`
	Client         Client       `toml:"clients"`
	Discovery      Discovery    `toml:"discovery"`
	Net            Net          `toml:"net"`
	Zones          []Zone       `toml:"hall"`
	Faults         []Fault      `toml:"fault"`
	Requirements   Requirements `toml:"must"`
	TenantQuota    float64      `toml:"quota,omitempty"`    // of the one tenant whose requests all are, a second; 0: there is no tenant
	OperatorConfig string       `toml:"operator,omitempty"` // more lines of the operators' [fleet]; with fleet alone
	Fleet          bool         `toml:"fleet,omitempty"`    // nodes tell one another what they act on, as the operator's [fleet] has them do
}

// Load is what clients ask for, by the brief's class table.
type Load struct {
	Rate       float64            `toml:"rate"`              // first tries a second over all halls; 0.1 to 20,000
	RampTo     float64            `toml:"ramp_to,omitempty"` // the rate at the end; 0: steady
	Shares     map[string]float64 `toml:"shares,omitempty"`  // by class; those left out keep the brief's
	WorkFactor float64            `toml:"work,omitempty"`    // scales all work; 0: 1
}

// ClientDelay is how clients behave.
type Client struct {
	Retries            int     `toml:"retries,omitempty"`   // of their own, 0 to 2
	TryTimeoutFraction float64 `toml:"try_share,omitempty"` // of the deadline, after which a try is given up: 0.5 to 0.8; 0: 0.65
	Backoff            Span    `toml:"backoff,omitempty"`   // the first wait, which doubles
	RetryAfterFraction float64 `toml:"honour,omitempty"`    // share of clients that follow Retry-After, 0 to 1
	AbandonFraction    float64 `toml:"leaves,omitempty"`    // share of tries whose client goes away early, 0 to 1
	SlowWriteFraction  float64 `toml:"pieces,omitempty"`    // share of tries that are written slowly, in pieces, 0 to 1
	LateConnections    int     `toml:"late,omitempty"`      // connections of each kind to a node that is told to end, on which requests are sent until it is killed: 0 to 20
}

// Discovery is how discovery behaves.
type Discovery struct {
	NotificationDelay Span `toml:"lag,omitempty"` // until a change is told
}

// Net is the network between the stand-ins, one way.
type Net struct {
	SameZone    Span    `toml:"same_hall,omitempty"`
	CrossZone   Span    `toml:"cross_hall,omitempty"`
	ClientDelay Span    `toml:"client,omitempty"`
	PeerDelay   Span    `toml:"messages,omitempty"`      // datagrams between nodes
	PeerLoss    float64 `toml:"messages_lost,omitempty"` // share of them, 0 to 1
}

// Zone is one hall with its nodes and servers.
type Zone struct {
	Name         string         `toml:"name"`
	Nodes        int            `toml:"nodes"`
	JoiningNodes int            `toml:"joins,omitempty"` // nodes that do not run until a fault has them join; numbered after all others
	Servers      map[string]int `toml:"servers"`         // by machine kind
	PodSize      int            `toml:"pod_size,omitempty"`
}

// Kind a fault does.
const (
	FaultSilent           = "silent"            // a machine is cut off and comes back cold
	FaultHang             = "hang"              // takes requests and answers none
	FaultHeavy            = "heavy"             // a part of one class costs many times its work
	FaultZoneLost         = "hall-lost"         // all servers of a hall are cut off and come back cold
	FaultZoneAndNodesLost = "hall-lost-nodes"   // the same, and its nodes are killed
	FaultKill             = "kill"              // a node or server process is killed; it starts again at the end
	FaultRestart          = "restart"           // a planned restart of a node: SIGTERM, then a new process
	FaultDrain            = "drain"             // a server drains, and is up again at the end
	FaultReplace          = "replace"           // a server's process is replaced under a new id at the old address
	FaultLink             = "link"              // the links of a node or server change
	FaultCorrupt          = "spoil"             // a part of a server's answers is spoilt
	FaultSlowReader       = "slow-reader"       // clients read their answers slowly
	FaultDiscoveryOutage  = "discovery-outage"  // discovery is down
	FaultDiscoveryDelay   = "discovery-lag"     // changes are told so much later
	FaultDiscoveryRestart = "discovery-restart" // discovery starts again at a lower generation
	FaultFlap             = "flap"              // a server goes up and down on the list while its process runs on
	FaultPause            = "stop"              // a node's process stands still (SIGSTOP), and goes on at the end
	FaultDiscoveryCut     = "cut-discovery"     // nothing passes between a node and discovery
	FaultPeerLinks        = "peers"             // the ways of datagrams between nodes change
	FaultPartition        = "split"             // no datagram passes between some nodes and the others
	FaultJoin             = "join"              // nodes start that did not run, with newer settings; for good
	FaultLeave            = "leave"             // nodes end in order, for good
	FaultBriefPause       = "hold"              // a node's process stands still for 0.15 s at most, also while another fault acts on it
	FaultReload           = "reload"            // a node gets a new configuration (SIGHUP), with another address of discovery
	FaultWatchSilent      = "watch-silent"      // the open watches of nodes fall silent
	FaultIdleClose        = "idle-close"        // servers close their idle connections
	FaultClockStep        = "clock-step"        // the wall clock of nodes' machines steps, for good; wants nodes built with -tags faults
	FaultNoDescriptors    = "no-descriptors"    // a node's process gets no further descriptor (EMFILE), for 0.15 s at most
	FaultSystemCalls      = "system-calls"      // a part of a node's system calls of a kind fails
)

// Fault is one thing that goes wrong, from At on for a time.
type Fault struct {
	At                Span     `toml:"at"`
	For               Span     `toml:"for,omitempty"`
	Kind              string   `toml:"what"`
	Targets           []string `toml:"who,omitempty"`    // servers (hall.1), nodes (n0) or halls
	Class             string   `toml:"class,omitempty"`  // heavy: which
	Fraction          float64  `toml:"part,omitempty"`   // heavy, spoil, slow-reader, system-calls: the share that is hit, 0 to 1
	Factor            float64  `toml:"factor,omitempty"` // heavy: multiple of the usual work
	Interval          Span     `toml:"every,omitempty"`  // flap: time between changes
	Delay             Span     `toml:"delay,omitempty"`  // link: one way; discovery-lag: on top; clock-step: how far
	Loss              float64  `toml:"loss,omitempty"`   // link: share of segments lost; each costs a retransmission
	State             string   `toml:"state,omitempty"`  // link: "", half-open, reset or black-hole; peers: "" or black-hole; clock-step: "" (forward) or back
	Peers             []string `toml:"to,omitempty"`     // peers: the other ends; all nodes if empty
	Direction         string   `toml:"way,omitempty"`    // peers: "out" or "in", of who; both if empty
	Jitter            Span     `toml:"jitter,omitempty"` // peers: up to so much on top, so that datagrams overtake one another
	DuplicateFraction float64  `toml:"double,omitempty"` // peers: share of datagrams that come twice
	SystemCall        string   `toml:"call,omitempty"`   // system-calls: which kind, as package sysfault names them
	Errno             string   `toml:"error,omitempty"`  // system-calls: the error's name, such as ENOBUFS
}

// Requirements is what must hold after the run. A rule that breaks always fails it.
type Requirements struct {
	MinMeasure     float64 `toml:"measure,omitempty"`        // the service measure, at least; 0 to 1
	MinServed      float64 `toml:"served,omitempty"`         // share of orders served at any time, at least
	MaxRefused     float64 `toml:"refused_most,omitempty"`   // share of tries refused, at most; 0: any
	AllowPauseLoss bool    `toml:"stops_may_lose,omitempty"` // a request whose time ends while its node stands still may be lost
	RequireFaults  bool    `toml:"faults_happen,omitempty"`  // each fault must be seen to happen in the history
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

// Servers lists all servers, hall by hall, the machine kinds mixed as the file
// names them in order of their names.
func (s *Scenario) Servers() []Server {
	var out []Server
	pod := 0
	for _, h := range s.Zones {
		size, n := h.PodSize, 0
		if size == 0 {
			size = 4
		}
		for _, kind := range kindNames {
			for range h.Servers[kind] {
				n++
				out = append(out, Server{Name: fmt.Sprintf("%s.%d", h.Name, n), Zone: h.Name, Kind: kind, Pod: pod + (n-1)/size})
			}
		}
		pod += (n + size - 1) / size
	}
	return out
}

var kindNames = []string{"fast-6", "std-6", "slow-6"}

// Nodes lists all nodes, those that join later after the others.
func (s *Scenario) Nodes() []Node {
	var out []Node
	add := func(hall string, n int) {
		for range n {
			out = append(out, Node{Name: fmt.Sprintf("n%d", len(out)), Zone: hall, Number: len(out)})
		}
	}
	for _, h := range s.Zones {
		add(h.Name, h.Nodes)
	}
	for _, h := range s.Zones {
		add(h.Name, h.JoiningNodes)
	}
	return out
}

// InitialNodes is how many nodes run from the beginning: all that their settings know of.
func (s *Scenario) InitialNodes() int {
	n := 0
	for _, h := range s.Zones {
		n += h.Nodes
	}
	return n
}

// Select gives the servers and nodes that a fault names, halls spelt out.
func (s *Scenario) Select(who []string) (servers []Server, nodes []Node) {
	in := func(name, hall string) bool {
		for _, w := range who {
			if w == name || w == hall {
				return true
			}
		}
		return false
	}
	for _, x := range s.Servers() {
		if in(x.Name, x.Zone) {
			servers = append(servers, x)
		}
	}
	for _, x := range s.Nodes() {
		if in(x.Name, x.Zone) {
			nodes = append(nodes, x)
		}
	}
	return servers, nodes
}

// End is when the last fault is over, or the load, if that is later.
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

// PeerPaths lists the ways of datagrams that a fault of peers, or a split, changes: from
// node to node, by number.
func (s *Scenario) PeerPaths(f *Fault) [][2]int {
	_, who := s.Select(f.Targets)
	_, to := s.Select(f.Peers)
	if len(f.Peers) == 0 {
		to = s.Nodes()
	}
	if f.Kind == FaultPartition {
		to = slices.DeleteFunc(s.Nodes(), func(n Node) bool { return slices.Contains(who, n) })
	}
	var out [][2]int
	for _, a := range who {
		for _, b := range to {
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
