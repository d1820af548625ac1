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
	Name   string  `toml:"name"`
	About  string  `toml:"about,omitempty"`
	Seed   int64   `toml:"seed"`
	Length Span    `toml:"length"` // of the load; 1 s to 10 min
	Load   Load    `toml:"load"`
	Client Client  `toml:"clients"`
	Hosts  Hosts   `toml:"discovery"`
	Net    Net     `toml:"net"`
	Halls  []Hall  `toml:"hall"`
	Faults []Fault `toml:"fault"`
	Must   Must    `toml:"must"`
	Quota  float64 `toml:"quota,omitempty"`    // of the one tenant whose requests all are, a second; 0: there is no tenant
	Oper   string  `toml:"operator,omitempty"` // more lines of the operators' [fleet]; with fleet alone
	Fleet  bool    `toml:"fleet,omitempty"`    // nodes tell one another what they act on, as the operator's [fleet] has them do
}

// Load is what clients ask for, by the brief's class table.
type Load struct {
	Rate    float64            `toml:"rate"`              // first tries a second over all halls; 0.1 to 20,000
	RampTo  float64            `toml:"ramp_to,omitempty"` // the rate at the end; 0: steady
	Shares  map[string]float64 `toml:"shares,omitempty"`  // by class; those left out keep the brief's
	WorkPer float64            `toml:"work,omitempty"`    // scales all work; 0: 1
}

// Client is how clients behave.
type Client struct {
	Retries  int     `toml:"retries,omitempty"`   // of their own, 0 to 2
	TryShare float64 `toml:"try_share,omitempty"` // of the deadline, after which a try is given up: 0.5 to 0.8; 0: 0.65
	Backoff  Span    `toml:"backoff,omitempty"`   // the first wait, which doubles
	Honour   float64 `toml:"honour,omitempty"`    // share of clients that follow Retry-After, 0 to 1
	Leaves   float64 `toml:"leaves,omitempty"`    // share of tries whose client goes away early, 0 to 1
	Pieces   float64 `toml:"pieces,omitempty"`    // share of tries that are written slowly, in pieces, 0 to 1
	Late     int     `toml:"late,omitempty"`      // connections of each kind to a node that is told to end, on which requests are sent until it is killed: 0 to 20
}

// Hosts is how discovery behaves.
type Hosts struct {
	Lag Span `toml:"lag,omitempty"` // until a change is told
}

// Net is the network between the stand-ins, one way.
type Net struct {
	SameHall  Span    `toml:"same_hall,omitempty"`
	CrossHall Span    `toml:"cross_hall,omitempty"`
	Client    Span    `toml:"client,omitempty"`
	Messages  Span    `toml:"messages,omitempty"`      // datagrams between nodes
	Lost      float64 `toml:"messages_lost,omitempty"` // share of them, 0 to 1
}

// Hall is one hall with its nodes and servers.
type Hall struct {
	Name    string         `toml:"name"`
	Nodes   int            `toml:"nodes"`
	Joins   int            `toml:"joins,omitempty"` // nodes that do not run until a fault has them join; numbered after all others
	Servers map[string]int `toml:"servers"`         // by machine kind
	PodSize int            `toml:"pod_size,omitempty"`
}

// What a fault does.
const (
	WhatSilent    = "silent"            // a machine is cut off and comes back cold
	WhatHang      = "hang"              // takes requests and answers none
	WhatHeavy     = "heavy"             // a part of one class costs many times its work
	WhatLost      = "hall-lost"         // all servers of a hall are cut off and come back cold
	WhatLostNodes = "hall-lost-nodes"   // the same, and its nodes are killed
	WhatKill      = "kill"              // a node or server process is killed; it starts again at the end
	WhatTerm      = "restart"           // a planned restart of a node: SIGTERM, then a new process
	WhatDrain     = "drain"             // a server drains, and is up again at the end
	WhatReplace   = "replace"           // a server's process is replaced under a new id at the old address
	WhatLink      = "link"              // the links of a node or server change
	WhatSpoil     = "spoil"             // a part of a server's answers is spoilt
	WhatSlow      = "slow-reader"       // clients read their answers slowly
	WhatOutage    = "discovery-outage"  // discovery is down
	WhatLag       = "discovery-lag"     // changes are told so much later
	WhatForget    = "discovery-restart" // discovery starts again at a lower generation
	WhatFlap      = "flap"              // a server goes up and down on the list while its process runs on
	WhatStop      = "stop"              // a node's process stands still (SIGSTOP), and goes on at the end
	WhatCut       = "cut-discovery"     // nothing passes between a node and discovery
	WhatPeers     = "peers"             // the ways of datagrams between nodes change
	WhatSplit     = "split"             // no datagram passes between some nodes and the others
	WhatJoin      = "join"              // nodes start that did not run, with newer settings; for good
	WhatLeave     = "leave"             // nodes end in order, for good
	WhatHold      = "hold"              // a node's process stands still for 0.15 s at most, also while another fault acts on it
	WhatReload    = "reload"            // a node gets a new configuration (SIGHUP), with another address of discovery
	WhatMute      = "watch-silent"      // the open watches of nodes fall silent
	WhatIdle      = "idle-close"        // servers close their idle connections
	WhatClock     = "clock-step"        // the wall clock of nodes' machines steps, for good; wants nodes built with -tags faults
	WhatNoFiles   = "no-descriptors"    // a node's process gets no further descriptor (EMFILE), for 0.15 s at most
	WhatCalls     = "system-calls"      // a part of a node's system calls of a kind fails
)

// Fault is one thing that goes wrong, from At on for a time.
type Fault struct {
	At     Span     `toml:"at"`
	For    Span     `toml:"for,omitempty"`
	What   string   `toml:"what"`
	Who    []string `toml:"who,omitempty"`    // servers (hall.1), nodes (n0) or halls
	Class  string   `toml:"class,omitempty"`  // heavy: which
	Part   float64  `toml:"part,omitempty"`   // heavy, spoil, slow-reader, system-calls: the share that is hit, 0 to 1
	Factor float64  `toml:"factor,omitempty"` // heavy: multiple of the usual work
	Every  Span     `toml:"every,omitempty"`  // flap: time between changes
	Delay  Span     `toml:"delay,omitempty"`  // link: one way; discovery-lag: on top; clock-step: how far
	Loss   float64  `toml:"loss,omitempty"`   // link: share of segments lost; each costs a retransmission
	State  string   `toml:"state,omitempty"`  // link: "", half-open, reset or black-hole; peers: "" or black-hole; clock-step: "" (forward) or back
	To     []string `toml:"to,omitempty"`     // peers: the other ends; all nodes if empty
	Way    string   `toml:"way,omitempty"`    // peers: "out" or "in", of who; both if empty
	Jitter Span     `toml:"jitter,omitempty"` // peers: up to so much on top, so that datagrams overtake one another
	Double float64  `toml:"double,omitempty"` // peers: share of datagrams that come twice
	Call   string   `toml:"call,omitempty"`   // system-calls: which kind, as package sysfault names them
	Error  string   `toml:"error,omitempty"`  // system-calls: the error's name, such as ENOBUFS
}

// Must is what must hold after the run. A rule that breaks always fails it.
type Must struct {
	Measure float64 `toml:"measure,omitempty"`        // the service measure, at least; 0 to 1
	Served  float64 `toml:"served,omitempty"`         // share of orders served at any time, at least
	Refused float64 `toml:"refused_most,omitempty"`   // share of tries refused, at most; 0: any
	Stops   bool    `toml:"stops_may_lose,omitempty"` // a request whose time ends while its node stands still may be lost
	Faults  bool    `toml:"faults_happen,omitempty"`  // each fault must be seen to happen in the history
}

// Server is one clip server of a scenario.
type Server struct {
	Name, Hall, Kind string
	Pod              int
}

// Node is one node of a scenario.
type Node struct {
	Name, Hall string
	Number     int
}

// Servers lists all servers, hall by hall, the machine kinds mixed as the file
// names them in order of their names.
func (s *Scenario) Servers() []Server {
	var out []Server
	pod := 0
	for _, h := range s.Halls {
		size, n := h.PodSize, 0
		if size == 0 {
			size = 4
		}
		for _, kind := range kindNames {
			for range h.Servers[kind] {
				n++
				out = append(out, Server{Name: fmt.Sprintf("%s.%d", h.Name, n), Hall: h.Name, Kind: kind, Pod: pod + (n-1)/size})
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
			out = append(out, Node{Name: fmt.Sprintf("n%d", len(out)), Hall: hall, Number: len(out)})
		}
	}
	for _, h := range s.Halls {
		add(h.Name, h.Nodes)
	}
	for _, h := range s.Halls {
		add(h.Name, h.Joins)
	}
	return out
}

// AtFirst is how many nodes run from the beginning: all that their settings know of.
func (s *Scenario) AtFirst() int {
	n := 0
	for _, h := range s.Halls {
		n += h.Nodes
	}
	return n
}

// Pick gives the servers and nodes that a fault names, halls spelt out.
func (s *Scenario) Pick(who []string) (servers []Server, nodes []Node) {
	in := func(name, hall string) bool {
		for _, w := range who {
			if w == name || w == hall {
				return true
			}
		}
		return false
	}
	for _, x := range s.Servers() {
		if in(x.Name, x.Hall) {
			servers = append(servers, x)
		}
	}
	for _, x := range s.Nodes() {
		if in(x.Name, x.Hall) {
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
	text := f.What
	if len(f.Who) > 0 {
		text += " " + strings.Join(f.Who, ",")
	}
	if f.Class != "" {
		text += " " + f.Class
	}
	if f.State != "" {
		text += " " + f.State
	}
	return text
}

// Ways lists the ways of datagrams that a fault of peers, or a split, changes: from
// node to node, by number.
func (s *Scenario) Ways(f *Fault) [][2]int {
	_, who := s.Pick(f.Who)
	_, to := s.Pick(f.To)
	if len(f.To) == 0 {
		to = s.Nodes()
	}
	if f.What == WhatSplit {
		to = slices.DeleteFunc(s.Nodes(), func(n Node) bool { return slices.Contains(who, n) })
	}
	var out [][2]int
	for _, a := range who {
		for _, b := range to {
			if a.Number == b.Number {
				continue
			}
			if f.Way != "in" {
				out = append(out, [2]int{a.Number, b.Number})
			}
			if f.Way != "out" {
				out = append(out, [2]int{b.Number, a.Number})
			}
		}
	}
	return out
}
