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

// Vectors survive an encoding round trip in 24 bytes, and Compare is antisymmetric and
// reflexive.
func TestVectorEncodingAndOrder(t *testing.T) {
	opposite := map[Relation]Relation{Same: Same, Older: Newer, Newer: Older, Incomparable: Incomparable}
	rapid.Check(t, func(r *rapid.T) {
		v, o := drawVector(r, "v"), drawVector(r, "o")
		raw := v.Append(nil)
		if back, err := ParseVector(raw); err != nil || back != v || len(raw) != VectorSize {
			r.Fatalf("%+v was decoded as %+v, %v, from %d bytes", v, back, err, len(raw))
		}
		if _, err := ParseVector(raw[:VectorSize-1]); err == nil {
			r.Fatal("a truncated vector is accepted")
		}
		// The distance at which numbers that wrap around have no order.
		unordered := v.List.Generation-o.List.Generation == 1<<31 || v.List.Epoch-o.List.Epoch == 1<<15
		if !unordered && v.Compare(o) != opposite[o.Compare(v)] {
			r.Fatalf("not antisymmetric: %v and %v", v.Compare(o), o.Compare(v))
		}
		if v.Compare(v) != Same {
			r.Fatal("a vector is not the same as itself")
		}
	})
	old, young := List{Epoch: 3, Generation: 900}, List{Epoch: 4, Generation: 1}
	if old.Compare(young) != Older || young.Compare(old) != Newer {
		t.Error("a higher generation of an older epoch is newer")
	}
	if (List{1, 7, 5}).Compare(List{1, 7, 6}) != Incomparable || (List{1, 1<<32 - 1, 5}).Compare(List{1, 2, 5}) != Older {
		t.Error("wrong order of two contents of one generation or of a generation that wraps around")
	}
}

// Timestamps increase along any chain of messages if no clock is too far ahead to be
// accepted.
func TestClockPreservesCausality(t *testing.T) {
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
				r.Fatalf("timestamp %d after %d", s, last)
			}
			last = s
			at = rapid.IntRange(0, n-1).Draw(r, "to")
			now += time.Duration(rapid.IntRange(0, 3).Draw(r, "delay")) * time.Millisecond
			if !clocks[at].Observe(now+skew[at], s) {
				r.Fatal("a timestamp within the limit is rejected")
			}
		}
	})
	var c HybridClock
	if c.Observe(time.Hour, TimestampOf(time.Hour+MaxClockLead+time.Second)) || c.Rejected != 1 || c.Now(time.Hour) != TimestampOf(time.Hour) {
		t.Error("a clock too far ahead advances this one")
	}
}

// A record stays within its limits and counts every send and every dropped entry.
func TestRecordIsBoundedAndCountsEverySend(t *testing.T) {
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
		t.Errorf("%d sends, %d merged and %d separate versions of %d", sum, rec.Merged.Intervals, len(rec.Intervals), versions)
	}
	if len(rec.Intervals) > MaxIntervals || len(rec.Withdrawals) > MaxWithdrawals || len(rec.Servers) > MaxWithdrawals+1 || len(rec.Pauses) > MaxChanges {
		t.Errorf("%d versions, %d withdrawals, %d servers, %d pauses", len(rec.Intervals), len(rec.Withdrawals), len(rec.Servers), len(rec.Pauses))
	}
	if want := uint64(versions - MaxWithdrawals + 2*(versions-MaxChanges)); rec.Dropped != want {
		t.Errorf("%d dropped, counted %d", want, rec.Dropped)
	}
	raw, err := AppendLine(nil, &rec)
	back, _ := ReadLines(raw)
	if err != nil || len(back) != 1 || len(back[0].Servers) != len(rec.Servers) || back[0].Servers[7].Buckets[0].From.Time() != rec.Servers[7].Buckets[0].From.Time() {
		t.Errorf("record changed in an encoding round trip: %v", err)
	}
	next := NewRecorder("n0", 0, now+time.Second, clock)
	next.AddPredecessor(rec)
	if predecessors := next.Snapshot(now + 2*time.Second).Predecessors; len(predecessors) != 1 || predecessors[0].Sends != 3*versions {
		t.Errorf("wrong summary of the predecessor: %+v", predecessors)
	}
}

// A file that is truncated at any byte can be read up to its last complete record.
func TestTruncatedFileKeepsWholeRecords(t *testing.T) {
	clock := &HybridClock{}
	now := 1_800_000_000 * time.Second
	var raw []byte
	var ends []int
	for incarnation := range 3 {
		r := NewRecorder("n0", 0, now+time.Duration(incarnation)*time.Hour, clock)
		r.SendCounter("s-1").Add(now)
		rec := r.Snapshot(now + time.Duration(incarnation)*time.Hour)
		var err error
		if raw, err = AppendLine(raw, &rec); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(raw))
	}
	for length := range len(raw) + 1 {
		want := 0
		for _, end := range ends {
			if length >= end {
				want++
			}
		}
		records, damaged := ReadLines(raw[:length])
		if boundary := length == 0 || length == ends[0] || length == ends[1] || length == ends[2]; len(records) != want || (damaged == 0) != boundary {
			t.Fatalf("truncated at %d: %d records and %d damaged lines, want %d", length, len(records), damaged, want)
		}
	}
	for at := range raw { // a flipped bit damages no other record
		corrupted := append([]byte(nil), raw...)
		corrupted[at] ^= 1
		if records, damaged := ReadLines(corrupted); len(records) < 1 || len(records)+damaged < 3 && raw[at] != '\n' {
			t.Fatalf("bit flipped at %d: %d records, %d damaged lines", at, len(records), damaged)
		}
	}
}

func TestEvaluateProxyState(t *testing.T) {
	for want, x := range map[ProxyState]struct {
		Control
		since     time.Duration
		lateSends uint64
	}{
		ProxyUnknown:      {Control: Control{Published: 3}},
		ProxyCurrent:      {Control: Control{Sent: 3, Accepted: 3}},
		ProxyPending:      {Control: Control{Sent: 3, Accepted: 2}, since: time.Second},
		ProxyUnresponsive: {Control: Control{Sent: 3, Accepted: 2}, since: 6 * time.Second},
		ProxyRejecting:    {Control: Control{Sent: 3, Accepted: 2, Rejected: 3}, since: 6 * time.Second},
		ProxyNotApplying:  {Control: Control{Sent: 3, Accepted: 3}, lateSends: 4},
	} {
		if got := x.Evaluate(time.Hour, time.Hour-x.since, 5*time.Second, x.lateSends); got != want {
			t.Errorf("%+v is %v, want %v", x, got, want)
		}
	}
}

// Versions of two services, or of two incarnations of one, are compared by the lists
// that they are based on; within one incarnation by number.
func TestCompareVersionsAcrossServices(t *testing.T) {
	control := func(service string, incarnation Timestamp, accepted uint64, epoch uint16, generation, digest uint32) Control {
		return Control{Service: service, Incarnation: incarnation, Accepted: accepted, BasedOn: List{epoch, generation, digest}}
	}
	for _, x := range []struct {
		a, b Control
		want Relation
	}{
		{control("a", 1, 7, 0, 40, 4), control("a", 1, 9, 0, 41, 5), Older},
		{control("a", 2, 1, 0, 41, 5), control("a", 1, 900, 0, 41, 5), Same}, // restarted at a lower version
		{control("a", 2, 1, 0, 42, 6), control("a", 1, 900, 0, 41, 5), Newer},
		{control("a", 2, 1, 0, 40, 4), control("b", 1, 900, 0, 41, 5), Older},
		{control("a", 2, 1, 0, 41, 5), control("b", 1, 900, 1, 41, 5), Same}, // same list, one more restart counted
		{control("a", 2, 1, 0, 42, 6), control("b", 1, 900, 1, 3, 5), Incomparable},
		{control("a", 2, 1, 0, 42, 0), control("b", 1, 900, 0, 3, 5), Incomparable}, // unknown list
		{control("a", 2, 1, 0, 41, 6), control("b", 1, 900, 0, 41, 5), Incomparable},
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

func BenchmarkSendCounterAdd(b *testing.B) {
	s := NewRecorder("n0", 0, time.Hour, &HybridClock{}).SendCounter("s-1")
	now := time.Hour
	b.ReportAllocs()
	for b.Loop() {
		now += 50 * time.Microsecond
		s.Add(now)
	}
}
