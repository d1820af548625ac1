// Package readings distributes measurements of the servers' waiting times in a fleet of
// nodes, at a cost per server that does not grow with the number of nodes: it decides which
// node probes which server when, what is sent to the other nodes, and how much weight a
// reading has at its age. It does no I/O, reads no clock and starts no goroutine.
//
// Each node probes so rarely that all nodes of a server together probe it once per
// ProbeInterval; the result is sent to the others. There is no coordinator, so no failover
// is needed when a node fails: the other nodes' readings merely get older until it returns.
// A reading's weight decays with its age, and a server without a recent reading is assumed
// to be like the others.
package readings

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// Time is a reading of the caller's monotonic clock.
type Time = time.Duration

const (
	// ProbeInterval is the mean time between two readings of a server over all nodes.
	ProbeInterval = 400 * time.Millisecond
	// WeightDecayTime is the age at which a reading's weight has dropped to 1/e.
	WeightDecayTime = 700 * time.Millisecond
	// MaxAge is the age beyond which a reading has no weight.
	MaxAge = 3 * WeightDecayTime
	// NoReadingAge marks a message without a reading.
	NoReadingAge = 60 * time.Second
	// MaxProbesInFlight bounds a node's unanswered probes.
	MaxProbesInFlight = 4

	jitter = 0.5 // of the probe interval: nodes that start together do not probe together
)

// Reading is a measurement of a server's wait.
type Reading struct {
	Wait       float64 // s, from the arrival of a request to its execution
	MeasuredAt Time    // 0: never
	ProbedAt   Time    // this node's last probe, with any result; 0: never
}

// Update replaces an older reading and reports whether it did.
func (r *Reading) Update(wait float64, at Time) bool {
	if at <= r.MeasuredAt || !(wait >= 0) || math.IsInf(wait, 0) {
		return false
	}
	r.Wait, r.MeasuredAt = wait, at
	return true
}

// Weight returns the weight of a reading at its age, from 1 to 0.
func (r *Reading) Weight(now Time) float64 {
	if r.MeasuredAt == 0 || now-r.MeasuredAt > MaxAge {
		return 0
	}
	return math.Exp(-max(0, now-r.MeasuredAt).Seconds() / WeightDecayTime.Seconds())
}

// Estimate returns the expected wait: the mean of all servers, shifted to the reading by
// its weight.
func (r *Reading) Estimate(now Time, mean float64) float64 {
	return mean + r.Weight(now)*(r.Wait-mean)
}

// sinceProbe returns the time since the last known probe by any node.
func (r *Reading) sinceProbe(now Time) Time { return now - max(r.MeasuredAt, r.ProbedAt) }

// Staler returns the reading whose server was probed or reported less recently.
func Staler(now Time, a, b *Reading) *Reading {
	if b.sinceProbe(now) > a.sinceProbe(now) {
		return b
	}
	return a
}

const (
	timeoutFactor  = 1.5                    // estimated wait as a multiple of the time of a probe that was given up
	minRefusalTime = 100 * time.Millisecond // refusals that arrive sooner do not depend on the wait
)

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	Elapsed        time.Duration
	OK             bool    // the server answered
	Refused        bool    // the server refused to answer
	Queued         float64 // requests waiting there; negative: not reported
	WaitPerRequest float64 // s, wait that each of them adds
}

// Wait returns the wait in s at the probed server, and false if the result says nothing
// about it. A deep probe waits like a request, so the elapsed time describes the queue at
// its arrival and the report the queue at its answer; the result is their mean. A shallow
// probe returns at once, so only the report counts. A probe that the server gave up after
// some time has waited at least that long; ignoring it would drop the longest waits.
func (p ProbeResult) Wait() (float64, bool) {
	switch {
	case p.OK:
		elapsed, reported := p.Elapsed.Seconds(), p.Queued*p.WaitPerRequest
		switch {
		case p.Queued < 0:
			return elapsed, true
		case 2*elapsed < reported:
			return reported, true
		}
		return (elapsed + reported) / 2, true
	case p.Refused && p.Elapsed >= minRefusalTime:
		return timeoutFactor * p.Elapsed.Seconds(), true
	}
	return 0, false
}

const (
	// MaxRatio is the largest multiple of its service time that an attempt counts as, so
	// that an expensive request or a faulty peer has little effect. A failed attempt counts
	// as MaxRatio.
	MaxRatio = 6.0
	// SlowdownDecayTime is the age at which an attempt's weight in a server's slowdown has
	// dropped to 1/e.
	SlowdownDecayTime = 5 * time.Second

	priorAttempts   = 4.0 // weight of the prior that a server is like the others, in attempts
	maxPeerAttempts = 4.0 // attempts per peer report: limits what one peer can do
	maxPeerRatio    = 4.0 // ratio per peer report: a peer that is wrong is one of many
)

// Slowdown estimates how slowly a server works from the attempts of all nodes: the time
// they took beyond the wait, as a multiple of the service time of a mean request. Only attempts that were not
// reported yet are sent to peers, so that each counts once everywhere.
type Slowdown struct {
	sum, weight               float64
	updatedAt                 Time
	unreportedSum, unreported float64
}

// Record adds an attempt of this node.
func (s *Slowdown) Record(now Time, ratio float64) {
	ratio = min(ratio, MaxRatio)
	s.add(now, ratio, 1)
	s.unreportedSum, s.unreported = s.unreportedSum+ratio, s.unreported+1
}

// RecordPeer adds attempts reported by a peer.
func (s *Slowdown) RecordPeer(now Time, ratio, count float64) {
	if ratio >= 0 && count > 0 {
		s.add(now, min(ratio, maxPeerRatio), min(count, maxPeerAttempts))
	}
}

func (s *Slowdown) add(now Time, ratio, count float64) {
	decay := math.Exp(-(now - s.updatedAt).Seconds() / SlowdownDecayTime.Seconds())
	s.sum, s.weight, s.updatedAt = s.sum*decay+ratio*count, s.weight*decay+count, now
}

// TakeUnreported returns the mean ratio and the number of the attempts not yet reported to
// peers, and marks them as reported.
func (s *Slowdown) TakeUnreported() (ratio, unreported float64) {
	ratio, unreported = s.unreportedSum/max(1, s.unreported), s.unreported
	s.unreportedSum, s.unreported = 0, 0
	return ratio, unreported
}

// Factor returns the estimated multiple of the service time: 1 without samples.
func (s *Slowdown) Factor(now Time) float64 {
	decay := math.Exp(-(now - s.updatedAt).Seconds() / SlowdownDecayTime.Seconds())
	return (priorAttempts + s.sum*decay) / (priorAttempts + s.weight*decay)
}

// ProbeSchedule schedules a node's probes.
type ProbeSchedule struct {
	next     Time
	inFlight int
}

// Due reports whether this node is to probe a server now. servers and nodes are the numbers
// of servers and of nodes that probe equally often, random is a random number in [0,1). Due
// must be called every few milliseconds; missed probes are not made up for.
func (s *ProbeSchedule) Due(now Time, servers int, nodes, random float64) bool {
	if now < s.next || servers <= 0 || s.inFlight >= MaxProbesInFlight {
		return false
	}
	interval := float64(ProbeInterval) * max(1, nodes) / float64(servers)
	if s.next == 0 { // spreads the first probes of nodes that start together
		s.next = now + Time(random*interval)
		return false
	}
	s.next = now + Time(interval*(1-jitter+2*jitter*random))
	s.inFlight++
	return true
}

// Done records the end of a probe.
func (s *ProbeSchedule) Done() { s.inFlight = max(0, s.inFlight-1) }

// PeerReading is a reading as nodes send it to each other.
type PeerReading struct {
	Server uint32
	Wait   float64 // s
	Age    time.Duration
	// Ratio is the mean time of the sender's attempts there since its last report, as a
	// multiple of their service time, and Attempts their number.
	Ratio, Attempts float64
}

// PeerState is the state that a node keeps of a peer that sends readings.
type PeerState struct {
	stamp      uint16 // of the last accepted datagram: the sender's clock in ms, low two bytes
	receivedAt Time   // time of the last accepted datagram; 0: never
}

// Accept reports whether a datagram is newer than all before it from the same sender.
// Duplicate and reordered datagrams are rejected, because their attempts would count twice.
// After SlowdownDecayTime without an accepted datagram any stamp is accepted, because the
// sender may have restarted.
func (p *PeerState) Accept(now Time, stamp uint16) bool {
	if p.receivedAt != 0 && now-p.receivedAt < SlowdownDecayTime && int16(stamp-p.stamp) <= 0 {
		return false
	}
	p.stamp, p.receivedAt = stamp, now
	return true
}

// Datagram format, in network byte order: format byte; the low two bytes of the sender's
// clock in ms; the service time of a mean request by the sender's answers in 0.1 ms, 0 if
// unknown; then per reading the server's number, wait in ms, age in ms, number of attempts,
// and their ratio in 1/16.
const (
	formatID   = 0xB2
	headerSize = 5
	entrySize  = 10
	ratioScale = 16
	// MaxReadings is the number of readings that fit in a datagram of 256 bytes.
	MaxReadings = (256 - headerSize) / entrySize
)

var (
	errFormat   = errors.New("not a datagram of readings")
	errOutdated = errors.New("older than an earlier datagram from the same sender")
)

// Encode appends readings to an empty datagram, at most MaxReadings.
func Encode(data []byte, now Time, serviceTime float64, entries ...PeerReading) []byte {
	data = binary.BigEndian.AppendUint16(append(data, formatID), uint16(now/time.Millisecond))
	data = binary.BigEndian.AppendUint16(data, toMillis(10*serviceTime))
	for _, entry := range entries[:min(len(entries), MaxReadings)] {
		data = binary.BigEndian.AppendUint32(data, entry.Server)
		data = binary.BigEndian.AppendUint16(data, toMillis(entry.Wait))
		data = binary.BigEndian.AppendUint16(data, toMillis(entry.Age.Seconds()))
		data = append(data, toByte(entry.Attempts), toByte(entry.Ratio*ratioScale))
	}
	return data
}

func toByte(v float64) byte { return byte(math.Min(math.MaxUint8, math.Max(0, math.Round(v)))) }

func toMillis(seconds float64) uint16 {
	return uint16(math.Min(math.MaxUint16, math.Max(0, math.Round(1000*seconds))))
}

// Decode calls accept for each reading in a datagram and returns the service time of a mean
// request in s. It returns an error for malformed datagrams and for those that the sender's
// PeerState rejects, and reads nothing from them.
func Decode(data []byte, now Time, sender *PeerState, accept func(PeerReading)) (serviceTime float64, err error) {
	if len(data) < headerSize+entrySize || data[0] != formatID || (len(data)-headerSize)%entrySize != 0 ||
		len(data) > headerSize+MaxReadings*entrySize {
		return 0, errFormat
	}
	if !sender.Accept(now, binary.BigEndian.Uint16(data[1:])) {
		return 0, errOutdated
	}
	for entries := data[headerSize:]; len(entries) > 0; entries = entries[entrySize:] {
		accept(PeerReading{Server: binary.BigEndian.Uint32(entries),
			Wait:     float64(binary.BigEndian.Uint16(entries[4:])) / 1000,
			Age:      time.Duration(binary.BigEndian.Uint16(entries[6:])) * time.Millisecond,
			Attempts: float64(entries[8]), Ratio: float64(entries[9]) / ratioScale})
	}
	return float64(binary.BigEndian.Uint16(data[3:])) / 10000, nil
}
