package version

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawVector(r *rapid.T, name string) Vector {
	return Vector{List: List{rapid.Uint16().Draw(r, name+" epoch"), rapid.Uint32().Draw(r, name+" generation"), rapid.Uint32Range(0, 2).Draw(r, name+" digest")},
		Settings: rapid.Uint16Range(0, 2).Draw(r, name+" settings"), Build: 1, Format: rapid.Uint8().Draw(r, name+" form"),
		Clock: Timestamp(rapid.Uint64Range(0, 1<<56-1).Draw(r, name+" clock"))}
}

// What is written is what is read, in 24 bytes; and the order is one: it turns round
// with its sides, and a vector is the same as itself alone.
func TestVectors(t *testing.T) {
	opposite := map[Relation]Relation{Same: Same, Older: Newer, Newer: Older, Incomparable: Incomparable}
	rapid.Check(t, func(r *rapid.T) {
		v, o := drawVector(r, "v"), drawVector(r, "o")
		raw := v.Append(nil)
		if back, err := ParseVector(raw); err != nil || back != v || len(raw) != VectorSize {
			r.Fatalf("%+v came back as %+v, %v, of %d bytes", v, back, err, len(raw))
		}
		if _, err := ParseVector(raw[:VectorSize-1]); err == nil {
			r.Fatal("a vector that is cut short is read")
		}
		half := v.List.Generation-o.List.Generation == 1<<31 || v.List.Epoch-o.List.Epoch == 1<<15 // as far as numbers that wrap can be apart
		if !half && v.Compare(o) != opposite[o.Compare(v)] {
			r.Fatalf("%v one way and %v the other", v.Compare(o), o.Compare(v))
		}
		if v.Compare(v) != Same {
			r.Fatal("not the same as itself")
		}
	})
	old, young := List{Epoch: 3, Generation: 900}, List{Epoch: 4, Generation: 1}
	if old.Compare(young) != Older || young.Compare(old) != Newer {
		t.Error("a higher generation of an older epoch wins")
	}
	if (List{1, 7, 5}).Compare(List{1, 7, 6}) != Incomparable || (List{1, 1<<32 - 1, 5}).Compare(List{1, 2, 5}) != Older {
		t.Error("two contents of one generation, or a generation that wraps")
	}
}

// Along any chain of messages stamps rise, whatever the clocks show, as long as no
// clock is too far ahead to be believed.
func TestCausesComeBeforeEffects(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(r, "processes")
		clocks, skew := make([]HybridClock, n), make([]time.Duration, n)
		for i := range skew {
			skew[i] = time.Duration(rapid.IntRange(0, 9000).Draw(r, "skew")) * time.Millisecond
		}
		now, last := 1_800_000_000*time.Second, Timestamp(0)
		at := 0
		for range rapid.IntRange(2, 30).Draw(r, "messages") {
			s := clocks[at].Now(now + skew[at])
			if s <= last {
				r.Fatalf("stamp %d after %d", s, last)
			}
			last = s
			at = rapid.IntRange(0, n-1).Draw(r, "to")
			now += time.Duration(rapid.IntRange(0, 3).Draw(r, "delay")) * time.Millisecond
			if !clocks[at].Observe(now+skew[at], s) {
				r.Fatal("a clock within the bound is not believed")
			}
		}
	})
	var c HybridClock
	if c.Observe(time.Hour, TimestampOf(time.Hour+MaxClockLead+time.Second)) || c.Rejected != 1 || c.Now(time.Hour) != TimestampOf(time.Hour) {
		t.Error("a clock too far ahead carries this one along")
	}
}

// However many versions, servers and withdrawals there are, a record stays within its
// bounds, and no send and no drop goes uncounted.
func TestARecordIsBoundedAndLosesNoSend(t *testing.T) {
	clock := &HybridClock{}
	now := 1_800_000_000 * time.Second
	r := NewRecorder("n0", 0, now, clock)
	const versions = 1000
	for i := range versions {
		now += time.Second
		r.RecordVersion(now, Vector{List: List{Generation: uint32(i), Digest: uint32(i)}})
		name := fmt.Sprintf("s-%d", i)
		for range 3 {
			r.SendCounter(name).Add(now)
		}
		r.RecordWithdrawal(now, name, Removed, List{Generation: uint32(i)}, OwnSource)
		r.RecordMode(now, "held", "")
		r.RecordPause(now, time.Second)
		r.RecordPeer(now, i*2, Vector{})
	}
	rec := r.Snapshot(now)
	sum := rec.Merged.Sends
	for _, a := range rec.Intervals {
		sum += a.Sends
	}
	if sum != 3*versions || rec.Merged.Intervals+uint64(len(rec.Intervals)) != versions {
		t.Errorf("%d sends and %d+%d versions of %d", sum, rec.Merged.Intervals, len(rec.Intervals), versions)
	}
	if len(rec.Intervals) > MaxIntervals || len(rec.Withdrawals) > MaxWithdrawals || len(rec.Servers) > MaxWithdrawals+1 || len(rec.Pauses) > MaxChanges {
		t.Errorf("%d versions, %d withdrawals, %d servers, %d stops", len(rec.Intervals), len(rec.Withdrawals), len(rec.Servers), len(rec.Pauses))
	}
	if want := uint64(versions - MaxWithdrawals + 2*(versions-MaxChanges)); rec.Dropped != want {
		t.Errorf("%d dropped, %d counted", want, rec.Dropped)
	}
	raw, err := AppendLine(nil, &rec)
	back, _ := ReadLines(raw)
	if err != nil || len(back) != 1 || len(back[0].Servers) != len(rec.Servers) || back[0].Servers[7].Buckets[0].From.Time() != rec.Servers[7].Buckets[0].From.Time() {
		t.Errorf("what was read is not what was written: %v", err)
	}
	next := NewRecorder("n0", 0, now+time.Second, clock)
	next.AddPredecessor(rec)
	if b := next.Snapshot(now + 2*time.Second).Predecessors; len(b) != 1 || b[0].Sends != 3*versions {
		t.Errorf("the next process knows of the former one: %+v", b)
	}
}

// A file that breaks off at any byte is read up to its last whole record.
func TestAFileIsReadUpToItsLastWholeRecord(t *testing.T) {
	clock := &HybridClock{}
	now := 1_800_000_000 * time.Second
	var raw []byte
	var ends []int
	for life := range 3 {
		r := NewRecorder("n0", 0, now+time.Duration(life)*time.Hour, clock)
		r.SendCounter("s-1").Add(now)
		rec := r.Snapshot(now + time.Duration(life)*time.Hour)
		var err error
		if raw, err = AppendLine(raw, &rec); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(raw))
	}
	for cut := range len(raw) + 1 {
		want := 0
		for _, end := range ends {
			if cut >= end {
				want++
			}
		}
		found, spoilt := ReadLines(raw[:cut])
		if whole := cut == 0 || cut == ends[0] || cut == ends[1] || cut == ends[2]; len(found) != want || (spoilt == 0) != whole {
			t.Fatalf("cut at %d: %d records and %d spoilt lines, want %d", cut, len(found), spoilt, want)
		}
	}
	for at := range raw { // a flipped bit costs its record alone
		bad := append([]byte(nil), raw...)
		bad[at] ^= 1
		if found, spoilt := ReadLines(bad); len(found) < 1 || len(found)+spoilt < 3 && raw[at] != '\n' {
			t.Fatalf("flipped at %d: %d records, %d spoilt", at, len(found), spoilt)
		}
	}
}

func TestProxiesAreJudged(t *testing.T) {
	for want, x := range map[ProxyState]struct {
		Control
		since  time.Duration
		strays uint64
	}{
		ProxyUnknown:      {Control: Control{Published: 3}},
		ProxyCurrent:      {Control: Control{Sent: 3, Accepted: 3}},
		ProxyPending:      {Control: Control{Sent: 3, Accepted: 2}, since: time.Second},
		ProxyUnresponsive: {Control: Control{Sent: 3, Accepted: 2}, since: 6 * time.Second},
		ProxyRejecting:    {Control: Control{Sent: 3, Accepted: 2, Rejected: 3}, since: 6 * time.Second},
		ProxyNotApplying:  {Control: Control{Sent: 3, Accepted: 3}, strays: 4},
	} {
		if got := x.Evaluate(time.Hour, time.Hour-x.since, 5*time.Second, x.strays); got != want {
			t.Errorf("%+v is %v, want %v", x, got, want)
		}
	}
}

// Two services' versions, and those of two lives of one, are compared by the lists that
// they rest on, and numbers alone within one life.
func TestVersionsOfTwoServices(t *testing.T) {
	on := func(service string, life Timestamp, accepted uint64, epoch uint16, generation, digest uint32) Control {
		return Control{Service: service, Incarnation: life, Accepted: accepted, BasedOn: List{epoch, generation, digest}}
	}
	for _, x := range []struct {
		a, b Control
		want Relation
	}{
		{on("a", 1, 7, 0, 40, 4), on("a", 1, 9, 0, 41, 5), Older},
		{on("a", 2, 1, 0, 41, 5), on("a", 1, 900, 0, 41, 5), Same}, // began anew at a lower version
		{on("a", 2, 1, 0, 42, 6), on("a", 1, 900, 0, 41, 5), Newer},
		{on("a", 2, 1, 0, 40, 4), on("b", 1, 900, 0, 41, 5), Older},
		{on("a", 2, 1, 0, 41, 5), on("b", 1, 900, 1, 41, 5), Same}, // who counted one beginning more has the very same list
		{on("a", 2, 1, 0, 42, 6), on("b", 1, 900, 1, 3, 5), Incomparable},
		{on("a", 2, 1, 0, 42, 0), on("b", 1, 900, 0, 3, 5), Incomparable}, // not known
		{on("a", 2, 1, 0, 41, 6), on("b", 1, 900, 0, 41, 5), Incomparable},
	} {
		if got := x.a.Compare(x.b); got != x.want {
			t.Errorf("%+v against %+v is %v, want %v", x.a, x.b, got, x.want)
		}
	}
}

func FuzzReadLines(f *testing.F) {
	r := NewRecorder("n0", 0, time.Hour, &HybridClock{}).Snapshot(time.Hour)
	line, _ := AppendLine(nil, &r)
	f.Add(line)
	f.Fuzz(func(t *testing.T, raw []byte) { ReadLines(raw) })
}

func BenchmarkSent(b *testing.B) {
	s := NewRecorder("n0", 0, time.Hour, &HybridClock{}).SendCounter("s-1")
	now := time.Hour
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Microsecond
		s.Add(now)
	}
}
