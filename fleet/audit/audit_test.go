package audit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"ivylock/fleet/version"
)

const began = 1_800_000_000 * time.Second

// proc is a process of a made-up fleet whose truth is known.
type proc struct {
	clock *version.HybridClock
	rec   *version.Recorder
	skew  time.Duration
	n     int
	now   time.Duration
	list  version.List
}

func (p *proc) wall() time.Duration { return p.now + p.skew }

// fleetOf makes processes of one list that hear one another.
func fleetOf(n int, skew func(i int) time.Duration) []*proc {
	out := make([]*proc, n)
	for i := range out {
		p := &proc{clock: &version.HybridClock{}, n: i, now: began}
		if skew != nil {
			p.skew = skew(i)
		}
		p.rec = version.NewRecorder(fmt.Sprintf("n%d", i), i, p.wall(), p.clock)
		out[i] = p
		p.acts(40)
	}
	return out
}

func (p *proc) acts(generation uint32) {
	p.list = version.List{Generation: generation, Digest: generation}
	p.rec.RecordVersion(p.wall(), version.Vector{List: p.list, Format: version.FormatVersion})
	p.rec.RecordConfirmed(p.wall())
	p.rec.RecordApplied(p.list)
}

// hears takes a word of another process, as package follow does.
func (p *proc) hears(o *proc) {
	v := version.Vector{List: o.list, Format: version.FormatVersion, Clock: o.clock.Now(o.wall())}
	p.clock.Observe(p.wall(), v.Clock)
	p.rec.RecordPeer(p.wall(), o.n, v)
}

func at(all []*proc, d time.Duration) {
	for _, p := range all {
		p.now = began + d
	}
}

func talk(all []*proc, rng *rand.Rand, deaf func(i int) bool) {
	for _, p := range all {
		for range 8 {
			if o := all[rng.IntN(len(all))]; o != p && (deaf == nil || !deaf(p.n) && !deaf(o.n)) {
				p.hears(o)
			}
		}
	}
}

// A process whose clock is behind that of the one it hears sends to a server as soon as its source gives it back: the
// word of that is not stamped later than sends that follow it. Sends before it are found.
func TestSendsAfterAServersReturnAreNotTooLate(t *testing.T) {
	for _, x := range []struct {
		after time.Duration
		found int
	}{{time.Millisecond, 0}, {-20 * time.Millisecond, 1}, {-time.Second, 1}} {
		all := fleetOf(2, func(i int) time.Duration { return time.Duration(i) * 15 * time.Millisecond })
		p := all[0]
		p.acts(41)
		p.rec.RecordWithdrawal(p.wall(), "s-1", version.Draining, p.list, version.OwnSource)
		sent := func() { p.rec.SendCounter("s-1").Add(p.wall() + x.after) }
		at(all, 6*time.Second)
		if x.after < 0 {
			sent()
		}
		p.hears(all[1])
		p.acts(42)
		p.rec.RecordRestored(p.wall(), "s-1", p.list)
		if x.after > 0 {
			sent()
		}
		at(all, 7*time.Second)
		if got := New([]version.Record{p.rec.Snapshot(p.wall())}, DefaultOptions()).LateSends(); len(got) != x.found {
			t.Errorf("sent %v after its return: %+v", x.after, got)
		}
	}
}

// Of 300 processes with clocks off by up to 2 s, one by an hour, and a tenth of the
// records missing, the audit finds each that sent too late and each that is behind,
// says unknown where it has nothing to go by, and says nothing that is not so.
func TestThreeHundredProcesses(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 3))
		all := fleetOf(300, func(i int) time.Duration {
			if i == 77 {
				return time.Hour
			}
			return time.Duration(rng.IntN(4000)-2000) * time.Millisecond
		})
		behind, late := map[int]bool{}, map[int]bool{}
		for range 3 { // words go round until the clocks are in line
			talk(all, rng, nil)
		}
		at(all, 10*time.Second)
		for range 3 {
			talk(all, rng, nil)
		}
		for len(behind) < 10 {
			behind[rng.IntN(300)] = true
		}
		delete(behind, 77)
		for _, p := range all {
			if !behind[p.n] {
				p.now += time.Duration(rng.IntN(200)) * time.Millisecond
				p.acts(41)
				p.rec.RecordWithdrawal(p.wall(), "s-1", version.Draining, p.list, version.OwnSource)
			}
		}
		at(all, 12*time.Second)
		for n := range behind {
			if rng.IntN(2) == 0 {
				late[n] = true
				all[n].rec.SendCounter("s-1").Add(all[n].wall())
			}
		}
		at(all, 20*time.Second)
		talk(all, rng, nil)
		var records []version.Record
		missing := map[int]bool{}
		for _, p := range all {
			if rng.IntN(10) == 0 {
				missing[p.n] = true
				continue
			}
			records = append(records, p.rec.Snapshot(p.wall()), p.rec.Snapshot(p.wall())) // one of them twice
		}
		o := DefaultOptions()
		o.FleetSize = 300
		a := New(records, o)
		said := map[int]bool{}
		for _, b := range a.LateSends() {
			said[b.Number] = true
			if !late[b.Number] {
				t.Errorf("seed %d: %s is said to have sent too late: %v", seed, b.Process, b.Evidence)
			}
		}
		right := 0
		for _, p := range a.Processes() {
			if late[p.Number] && !missing[p.Number] && !said[p.Number] {
				t.Errorf("seed %d: %s sent too late and is not named", seed, p.Process)
			}
			is := p.State == Behind
			switch {
			case p.State == StateUnknown:
				if !missing[p.Number] {
					t.Errorf("seed %d: %s is unknown although its record is there: %s", seed, p.Process, p.Why)
				}
			case is != behind[p.Number]:
				t.Errorf("seed %d: %s is said to be %s (%s): %s", seed, p.Process, p.State, p.Confidence, p.Why)
			default:
				right++
			}
		}
		if right < 285 {
			t.Errorf("seed %d: %d of 300 judged", seed, right)
		}
		var c Propagation
		for _, x := range a.Propagations() {
			if x.Version.Generation == 41 {
				c = x
			}
		}
		if c.ToAll != -1 || c.ToNineTenths < 0 || c.ToNineTenths > 600*time.Millisecond || len(c.NotReached) == 0 {
			t.Errorf("seed %d: the change: %+v", seed, c)
		}
	}
}

// Why a process is behind, and that nothing is claimed without evidence.
func TestWhyAProcessIsBehind(t *testing.T) {
	for _, x := range []struct {
		name string
		do   func(p *proc) (ended, gone bool) // what happens to process 4 from 10 s on; gone: no record after it
		deaf bool
		want State
		sure Confidence
		why  string
	}{
		{"cut off from its source", func(*proc) (bool, bool) { return false, false }, false, Behind, Certain, "cut off from its source"},
		{"cut off from all", func(*proc) (bool, bool) { return false, false }, true, Behind, Certain, "cut off: neither"},
		{"stopped", func(p *proc) (bool, bool) {
			p.now += 9 * time.Second
			p.rec.RecordPause(p.wall(), 9*time.Second)
			return false, false
		}, false, Behind, Certain, "stopped: it stood still for 9s"},
		{"starved", func(p *proc) (bool, bool) {
			for range 5 {
				p.now += 900 * time.Millisecond
				p.rec.RecordPause(p.wall(), 700*time.Millisecond)
			}
			return false, false
		}, false, Behind, Certain, "starved"},
		{"led by neighbours", func(p *proc) (bool, bool) {
			p.rec.RecordApplied(version.List{Generation: 41})
			return false, false
		}, false, LedByPeers, Certain, "cut off from its source"},
		{"refuses what it is told", func(p *proc) (bool, bool) {
			p.now = began + 19*time.Second
			p.rec.RecordRefusal(p.wall(), "s-7", version.List{Generation: 41}, 2)
			return false, false
		}, false, Behind, Certain, "refuses it: 1 withdrawals that others tell it of, s-7"},
		{"crashed", func(*proc) (bool, bool) { return false, true }, true, StateUnknown, Unknown, "crashed, is stopped"},
		{"ended", func(*proc) (bool, bool) { return true, true }, true, Ended, Certain, "in order"},
	} {
		all := fleetOf(6, nil)
		rng := rand.New(rand.NewPCG(5, 5))
		for range 4 {
			talk(all, rng, nil)
		}
		at(all, 10*time.Second)
		early := all[4].rec.Snapshot(all[4].wall())
		ended, gone := x.do(all[4])
		early.Ended = ended
		for _, p := range all {
			if p.n != 4 {
				p.now = began + 10*time.Second
				p.acts(41)
			}
		}
		at(all, 20*time.Second)
		for range 4 {
			talk(all, rng, func(i int) bool { return x.deaf && i == 4 })
		}
		var records []version.Record
		for _, p := range all {
			if p.n != 4 {
				p.rec.RecordConfirmed(p.wall())
			}
			if r := p.rec.Snapshot(p.wall()); p.n == 4 && gone {
				records = append(records, early)
			} else {
				records = append(records, r)
			}
		}
		a := New(records, DefaultOptions())
		p := a.Processes()[4]
		if p.State != x.want || p.Confidence != x.sure || !strings.Contains(p.Why, x.why) {
			t.Errorf("%s: %s (%s): %s", x.name, p.State, p.Confidence, p.Why)
		}
		if other := a.Processes()[2]; other.State != UpToDate {
			t.Errorf("%s: a process that is not: %+v", x.name, other)
		}
	}
}

// One process that claims a huge version makes nobody else behind.
func TestOneAloneIsNotTheNewest(t *testing.T) {
	all := fleetOf(5, nil)
	rng := rand.New(rand.NewPCG(6, 6))
	for range 3 {
		talk(all, rng, nil)
	}
	at(all, 5*time.Second)
	all[2].acts(9000)
	talk(all, rng, nil)
	var records []version.Record
	for _, p := range all {
		p.rec.RecordConfirmed(p.wall())
		records = append(records, p.rec.Snapshot(p.wall()))
	}
	for _, p := range New(records, DefaultOptions()).Processes() {
		if p.State == Behind {
			t.Errorf("%s is said to be behind one that is alone", p.Process)
		}
	}
}

// Description a proxy acts on is told by the service that it asks now; that a service began
// anew at a lower version makes nobody behind, and who went back is named.
func TestProxiesOfSeveralServices(t *testing.T) {
	row := func(service string, life version.Timestamp, joined, left version.Timestamp, accepted uint64, generation uint32, state version.ProxyState) version.ProxyRecord {
		return version.ProxyRecord{Proxy: "p", Joined: joined, Left: left, State: state.String(), Control: version.Control{Service: service, Incarnation: life,
			Accepted: accepted, BasedOn: version.List{Generation: generation, Digest: generation}}}
	}
	service := func(name string, life version.Timestamp, generation uint32, rows ...version.ProxyRecord) version.Record {
		return version.Record{Process: name, Number: -1, ControlService: true, Incarnation: life, TakenAt: 1000 + life, Proxies: rows,
			Intervals: []version.Interval{{Version: version.Vector{List: version.List{Generation: generation, Digest: generation}}}}}
	}
	current, refuses := version.ProxyCurrent, version.ProxyRejecting
	for name, x := range map[string]struct {
		records []version.Record
		state   State
		back    int
		asks    string
	}{
		"begun anew":         {[]version.Record{service("a", 1, 41, row("a", 1, 1, 0, 900, 41, current)), service("a", 9, 41, row("a", 9, 10, 0, 2, 41, current)), service("b", 2, 41)}, UpToDate, 0, "a"},
		"moved":              {[]version.Record{service("a", 1, 41, row("a", 1, 1, 5, 900, 41, current)), service("b", 2, 41, row("b", 2, 6, 0, 3, 41, current))}, UpToDate, 0, "b"},
		"went back":          {[]version.Record{service("a", 1, 42, row("a", 1, 1, 5, 3, 42, current)), service("b", 2, 41, row("b", 2, 6, 0, 900, 41, current))}, Behind, 1, "b"},
		"its service is old": {[]version.Record{service("a", 1, 42), service("b", 2, 41, row("b", 2, 6, 0, 900, 41, current))}, Behind, 0, "b"},
		"refuses":            {[]version.Record{service("a", 1, 42, row("a", 1, 1, 0, 3, 42, refuses))}, Behind, 0, "a"},
		"has left":           {[]version.Record{service("a", 1, 42, row("a", 1, 1, 4, 3, 42, current))}, StateUnknown, 0, "a"},
		"not known":          {[]version.Record{service("a", 1, 42, row("a", 1, 1, 0, 3, 0, current))}, StateUnknown, 0, "a"},
	} {
		a := New(x.records, DefaultOptions())
		p := a.Proxies()
		if len(p) != 1 || p[0].State != x.state || p[0].Service != x.asks || len(a.Regressions()) != x.back {
			t.Errorf("%s: %+v, %d went back", name, p, len(a.Regressions()))
		}
	}
}
