// Package readings decides how a fleet of nodes knows how long its servers make requests wait,
// at a cost that does not grow with the number of nodes: who asks which server
// when, what is told to the other nodes, and how much a reading is worth by its
// age. It does no I/O, reads no clock and starts no goroutine.
//
// A node asks by itself so seldom that all nodes which use a server ask it once
// in each Interval together; the answer is told to all. Nobody is in charge, so
// nothing is taken over when a node dies: the others' readings get that much
// older, until it is back. A reading that comes late or not at all is an older
// one, and an old one says no more than that the server is like the others.
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
	// ProbeInterval is the time between two readings of a server, in the mean and
	// over all nodes.
	ProbeInterval = 400 * time.Millisecond
	// WeightDecayTime is the age at which a reading has lost all but a third of its
	// weight: the time in which a crowded server of a few cores drains or fills.
	WeightDecayTime = 700 * time.Millisecond
	// MaxAge is the age from which on a reading says nothing of its server.
	MaxAge = 3 * WeightDecayTime
	// NoReadingAge is the age of what is no reading.
	NoReadingAge = 60 * time.Second
	// MaxProbesInFlight is how many probes a node has out at most: a server that does not
	// answer holds up one of them.
	MaxProbesInFlight = 4

	jitter = 0.5 // of the time between two probes: nodes that started together do not ask together
)

// Reading is what a server said of itself, or what is made of that by now.
type Reading struct {
	Wait       float64 // s; how long a request waits there before it is worked on
	MeasuredAt Time    // when it was told; 0: never
	ProbedAt   Time    // when this node asked last, whatever came of it; 0: never
}

// Update puts a reading in the place of an older one. It tells whether it is newer.
func (r *Reading) Update(wait float64, at Time) bool {
	if at <= r.MeasuredAt || !(wait >= 0) || math.IsInf(wait, 0) {
		return false
	}
	r.Wait, r.MeasuredAt = wait, at
	return true
}

// Weight is what a reading counts for at its age, from 1 to 0.
func (r *Reading) Weight(now Time) float64 {
	if r.MeasuredAt == 0 || now-r.MeasuredAt > MaxAge {
		return 0
	}
	return math.Exp(-max(0, now-r.MeasuredAt).Seconds() / WeightDecayTime.Seconds())
}

// Estimate is the wait to expect: the reading by its weight, for the rest the
// mean of all servers.
func (r *Reading) Estimate(now Time, mean float64) float64 {
	return mean + r.Weight(now)*(r.Wait-mean)
}

// old is the time since anyone is known to have asked.
func (r *Reading) old(now Time) Time { return now - max(r.MeasuredAt, r.ProbedAt) }

// Staler tells which of two servers is to be asked: the one that was heard of
// or asked longer ago.
func Staler(now Time, a, b *Reading) *Reading {
	if b.old(now) > a.old(now) {
		return b
	}
	return a
}

const (
	censored = 1.5                    // times the time that a probe took in vain, that the wait is taken to be
	vain     = 100 * time.Millisecond // a probe that fails sooner was not let wait
)

// ProbeResult is what came of asking a server.
type ProbeResult struct {
	Elapsed        time.Duration
	OK             bool    // it answered
	Refused        bool    // it said that it could not answer
	Queued         float64 // requests that it said wait there; negative: it did not say
	WaitPerRequest float64 // s; what one of them makes the next wait
}

// Wait is how long a request waits at a server that was asked, in s; false: what
// came tells nothing of it. A deep probe waits as a request does, so the time
// that it took counts, which is of when it came, and what it tells, which is of
// when it was answered: their mean. A shallow one is back at once, so what it
// tells counts alone.
// One that was given up by the server after a time has waited that long at
// least: left out, the longest waits would be missing.
func (p ProbeResult) Wait() (float64, bool) {
	switch {
	case p.OK:
		took, told := p.Elapsed.Seconds(), p.Queued*p.WaitPerRequest
		switch {
		case p.Queued < 0:
			return took, true
		case 2*took < told:
			return told, true
		}
		return (took + told) / 2, true
	case p.Refused && p.Elapsed >= vain:
		return censored * p.Elapsed.Seconds(), true
	}
	return 0, false
}

const (
	// MaxRatio is what an attempt counts at most, as a multiple of its plain work: a
	// heavy request, or a teller that is wrong, must not sway a fleet. One that
	// brought no answer counts as that.
	MaxRatio = 6.0
	// SlowdownDecayTime is the age at which an attempt has lost all but a third of its
	// weight in a server's pace: it is tried anew well within what troubles last.
	SlowdownDecayTime = 5 * time.Second

	neutral = 4.0 // attempts' worth of evidence that a server is like the others
	mostOf  = 4.0 // attempts that one word of another node counts for, at most: a vote
	worstOf = 4.0 // what they count for at most: one teller that is wrong is one of many
)

// Slowdown is what attempts say of how fast a server works, whoever made them: the
// time that they took beyond the wait, as multiples of what their plain work
// takes. Only what is not yet told goes to other nodes, so each attempt counts
// once everywhere.
type Slowdown struct {
	sum, weight   float64
	at            Time
	untold, count float64
}

// Update adds an attempt of this node's own.
func (p *Slowdown) Record(now Time, ratio float64) {
	ratio = min(ratio, MaxRatio)
	p.add(now, ratio, 1)
	p.untold, p.count = p.untold+ratio, p.count+1
}

// RecordPeer adds attempts that another node tells of.
func (p *Slowdown) RecordPeer(now Time, ratio, count float64) {
	if ratio >= 0 && count > 0 {
		p.add(now, min(ratio, worstOf), min(count, mostOf))
	}
}

func (p *Slowdown) add(now Time, ratio, count float64) {
	old := math.Exp(-(now - p.at).Seconds() / SlowdownDecayTime.Seconds())
	p.sum, p.weight, p.at = p.sum*old+ratio*count, p.weight*old+count, now
}

// TakeUnreported gives what other nodes have not been told, and takes it for told.
func (p *Slowdown) TakeUnreported() (ratio, count float64) {
	ratio, count = p.untold/max(1, p.count), p.count
	p.untold, p.count = 0, 0
	return ratio, count
}

// Factor is how many times the plain work takes there, to the best of what is
// known: 1 without evidence.
func (p *Slowdown) Factor(now Time) float64 {
	old := math.Exp(-(now - p.at).Seconds() / SlowdownDecayTime.Seconds())
	return (neutral + p.sum*old) / (neutral + p.weight*old)
}

// ProbeSchedule is a node's part in asking.
type ProbeSchedule struct {
	next Time
	out  int
}

// Due tells whether it is this node's turn to ask one server. all is how many
// servers there are, nodes how many equal nodes ask; draw is a random number in
// [0,1). It is to be called at least every few milliseconds; a turn that was
// missed is not made up for.
func (d *ProbeSchedule) Due(now Time, all int, nodes, draw float64) bool {
	if now < d.next || all <= 0 || d.out >= MaxProbesInFlight {
		return false
	}
	each := float64(ProbeInterval) * max(1, nodes) / float64(all)
	if d.next == 0 { // the first turns of nodes that start together are spread over a whole round
		d.next = now + Time(draw*each)
		return false
	}
	d.next = now + Time(each*(1-jitter+2*jitter*draw))
	d.out++
	return true
}

// Done takes the end of a probe.
func (d *ProbeSchedule) Done() { d.out = max(0, d.out-1) }

// PeerReading is a reading as nodes tell it to one another.
type PeerReading struct {
	Server uint32
	Wait   float64 // s
	Age    time.Duration
	// Ratio and Count are what attempts of the sender took there since it told of
	// them last, in multiples of their plain work, and how many they were.
	Ratio, Attempts float64
}

// PeerState is what a node remembers of another one that tells it of readings.
type PeerState struct {
	stamp uint16
	at    Time // when it was heard last; 0: never
}

// Accept tells whether a datagram is newer than all that came from its sender: one
// that the network doubled, or brought late, is not, and what attempts it tells
// of would count twice. A sender that was not heard for a time is believed anew.
func (t *PeerState) Accept(now Time, stamp uint16) bool {
	if t.at != 0 && now-t.at < SlowdownDecayTime && int16(stamp-t.stamp) <= 0 {
		return false
	}
	t.stamp, t.at = stamp, now
	return true
}

// The form: a byte that names it; the sender's clock in milliseconds, of which two
// bytes; what the plain work of a mean request takes by its sender's answers, in
// tenths of a millisecond, 0 if it has none; then for each
// reading the server's number, the wait and the age in milliseconds, how many attempts
// the sender tells of, and what they took, in sixteenths of their plain work. All in
// network order.
const (
	form = 0xB2
	head = 5
	each = 10
	part = 16
	// MaxReadings is how many readings one datagram of 256 bytes holds.
	MaxReadings = (256 - head) / each
)

var (
	errForm = errors.New("no readings")
	errOld  = errors.New("older than what its sender told before")
)

// Encode appends readings to a datagram that is empty; it leaves out what is
// over Most.
func Encode(to []byte, now Time, work float64, said ...PeerReading) []byte {
	to = binary.BigEndian.AppendUint16(append(to, form), uint16(now/time.Millisecond))
	to = binary.BigEndian.AppendUint16(to, millis(10*work))
	for _, s := range said[:min(len(said), MaxReadings)] {
		to = binary.BigEndian.AppendUint32(to, s.Server)
		to = binary.BigEndian.AppendUint16(to, millis(s.Wait))
		to = binary.BigEndian.AppendUint16(to, millis(s.Age.Seconds()))
		to = append(to, small(s.Attempts), small(s.Ratio*part))
	}
	return to
}

func small(v float64) byte { return byte(math.Min(math.MaxUint8, math.Max(0, math.Round(v)))) }

func millis(seconds float64) uint16 {
	return uint16(math.Min(math.MaxUint16, math.Max(0, math.Round(1000*seconds))))
}

// Decode calls take with each reading of a datagram and gives the plain work of a
// mean request, in s. One that is not in this form is an error, as is one that its
// sender's Teller has no need of; nothing of it is taken.
func Decode(data []byte, now Time, from *PeerState, take func(PeerReading)) (work float64, err error) {
	if len(data) < head+each || data[0] != form || (len(data)-head)%each != 0 || len(data) > head+MaxReadings*each {
		return 0, errForm
	}
	if !from.Accept(now, binary.BigEndian.Uint16(data[1:])) {
		return 0, errOld
	}
	for b := data[head:]; len(b) > 0; b = b[each:] {
		take(PeerReading{Server: binary.BigEndian.Uint32(b), Wait: float64(binary.BigEndian.Uint16(b[4:])) / 1000,
			Age:      time.Duration(binary.BigEndian.Uint16(b[6:])) * time.Millisecond,
			Attempts: float64(b[8]), Ratio: float64(b[9]) / part})
	}
	return float64(binary.BigEndian.Uint16(data[3:])) / 10000, nil
}
