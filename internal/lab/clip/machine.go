// Package clip is a stand-in clip server. Server is the model: it does no I/O
// and reads no clock, so the same model serves the in-memory run under virtual
// time and, behind Listener, real sockets.
package clip

import (
	"fmt"
	"time"
)

// Machine says what a clip server can do.
type Machine struct {
	Kind           string
	Cores          int     // 1 or more
	Speed          float64 // of a core; work is stated for speed 1
	Slots          int     // requests in work at once; more than Cores share them
	MaxQueue       int     // requests that may wait for a slot; beyond it they are turned away
	MaxConnections int     // open connections; beyond it a new one is turned away
	HandshakeWork  time.Duration
	ProbeWork      time.Duration // work of one probe
	ReportInterval time.Duration // how often the load report is made anew
	ColdFraction   float64       // part of its capacity that a started process has, 0 to 1
	WarmupTime     time.Duration // until it is warm; in between the part grows evenly
	CancelsRunning bool          // a cancel stops running work too, not only waiting work
}

// MachineKinds are the brief's three machines, each figure within its range. Speeds
// differ from server to server; SpeedRange gives the range of a kind.
var MachineKinds = map[string]Machine{
	"fast-6": {Kind: "fast-6", Cores: 6, Speed: 1.3},
	"std-6":  {Kind: "std-6", Cores: 6, Speed: 0.97},
	"slow-6": {Kind: "slow-6", Cores: 6, Speed: 0.7},
}

// SpeedRange holds the least and the greatest speed of a kind's core.
var SpeedRange = map[string][2]float64{"fast-6": {1.1, 1.5}, "std-6": {0.85, 1.1}, "slow-6": {0.59, 0.8}}

// NewMachine gives a machine of a kind with the common figures of the brief filled in.
func NewMachine(kind string) (Machine, error) {
	m, known := MachineKinds[kind]
	if !known {
		return Machine{}, fmt.Errorf("unknown machine kind %q; there are fast-6, std-6 and slow-6", kind)
	}
	m.Slots, m.MaxQueue, m.MaxConnections = m.Cores, 16*m.Cores, 15*m.Cores
	m.HandshakeWork, m.ProbeWork, m.ReportInterval = 18*time.Millisecond, 4*time.Millisecond, 200*time.Millisecond
	m.ColdFraction, m.WarmupTime = 0.32, 8300*time.Millisecond
	return m, nil
}

// Capacity is the work of speed 1 that a warm machine does in a second, in
// seconds.
func (m Machine) Capacity() float64 { return float64(m.Cores) * m.Speed }

// OverloadLimit says when a cold server falls over: sent more than Factor times what it
// can do within Time, by all nodes together, with Spare work beyond that.
type OverloadLimit struct {
	Factor    float64
	Window    time.Duration
	Allowance time.Duration
}
