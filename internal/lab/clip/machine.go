// Package clip models a clip server. Server does no I/O and reads no clock, so the same model
// serves the in-memory run under virtual time and, through package clipserver, real sockets.
package clip

import (
	"fmt"
	"time"
)

// Machine describes the capacity of a clip server.
type Machine struct {
	Kind           string
	Cores          int     // 1 or more
	Speed          float64 // of a core; work is stated for speed 1
	Slots          int     // requests processed at once; more than Cores share the cores
	MaxQueue       int     // requests that may wait for a slot; further ones are rejected
	MaxConnections int     // open connections; requests on further ones are rejected
	HandshakeWork  time.Duration
	ProbeWork      time.Duration
	ReportInterval time.Duration // how often the load report is renewed
	ColdFraction   float64       // fraction of its capacity that a process has at its start, 0 to 1
	WarmupTime     time.Duration // until it has its full capacity; the fraction grows linearly
	CancelsRunning bool          // a cancellation also stops running work, not only queued work
}

// MachineKinds are the kinds of machines, with a typical speed each. Speeds differ from server to
// server; SpeedRange gives the range of a kind.
var MachineKinds = map[string]Machine{
	"fast-6": {Kind: "fast-6", Cores: 6, Speed: 1.3},
	"std-6":  {Kind: "std-6", Cores: 6, Speed: 0.97},
	"slow-6": {Kind: "slow-6", Cores: 6, Speed: 0.7},
}

// SpeedRange holds the minimum and maximum speed of a core, by kind.
var SpeedRange = map[string][2]float64{"fast-6": {1.1, 1.5}, "std-6": {0.85, 1.1}, "slow-6": {0.59, 0.8}}

// NewMachine returns a machine of a kind with the parameters that all kinds share.
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

// Capacity is the work, in seconds on a core of speed 1, that a warm machine does in a second.
func (m Machine) Capacity() float64 { return float64(m.Cores) * m.Speed }

// OverloadLimit defines when a cold server goes down under overload: when all nodes together send it more than Factor
// times the work that it can do within Window, plus Allowance.
type OverloadLimit struct {
	Factor    float64
	Window    time.Duration
	Allowance time.Duration
}
