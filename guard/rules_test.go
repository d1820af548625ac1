package guard

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRepeatsGoOnlyWhereTheirKeyIsKnown(t *testing.T) {
	here := Place{Zone: "a", Cell: 1}
	sameCell, sameZone, elsewhere := here, Place{Zone: "a", Cell: 2}, Place{Zone: "b", Cell: 3}
	const window = 8 * time.Second
	for _, c := range []struct {
		name    string
		rules   Repeats
		to      Place
		after   time.Duration
		repeat  bool
		refusal bool
	}{
		{"safe", Repeats{Effect: Safe}, elsewhere, time.Hour, true, true},
		{"unsafe", Repeats{Effect: Unsafe, Scope: ScopeAll, Window: window}, here, 0, false, false},
		{"keyed, cell", Repeats{Keyed, ScopeCell, window}, sameCell, window - 1, true, false},
		{"keyed, cell, window over", Repeats{Keyed, ScopeCell, window}, sameCell, window, false, false},
		{"keyed, another cell", Repeats{Keyed, ScopeCell, window}, sameZone, 0, false, false},
		{"keyed, zone", Repeats{Keyed, ScopeZone, window}, sameZone, 0, true, false},
		{"keyed, another zone", Repeats{Keyed, ScopeZone, window}, elsewhere, 0, false, false},
		{"keyed, all", Repeats{Keyed, ScopeAll, window}, elsewhere, 0, true, true},
		{"keyed, all, window over", Repeats{Keyed, ScopeAll, window}, elsewhere, window, false, true},
		{"keyed, no window", Repeats{Keyed, ScopeAll, 0}, here, 0, false, true},
	} {
		sent := 5 * time.Second
		if got := c.rules.MayRepeat(here, sent, c.to, sent+c.after); got != c.repeat {
			t.Errorf("%s: may repeat: %v", c.name, got)
		}
		if got := c.rules.MayRefuse(); got != c.refusal {
			t.Errorf("%s: may refuse: %v", c.name, got)
		}
	}
}

func TestEachReasonAloneWithholdsAnAttempt(t *testing.T) {
	now := time.Now()
	good := func() Attempt { return Attempt{Now: now, Deadline: now.Add(time.Second), Latest: now.Add(time.Second)} }
	lastMoment := HoldUp // a process that is held up for so long writes at the end of the window
	if got := good().MayWrite(); got != Permitted {
		t.Fatalf("nothing is wrong: %v", got)
	}
	for want, spoil := range map[Withheld]func(*Attempt){
		WithheldOver:       func(a *Attempt) { a.RequestOver = true },
		WithheldCancelled:  func(a *Attempt) { a.Cancelled = true },
		WithheldDraining:   func(a *Attempt) { a.ServerClosed = true },
		WithheldWindow:     func(a *Attempt) { a.Latest = now.Add(lastMoment) },
		WithheldLate:       func(a *Attempt) { a.Deadline = now },
		WithheldStoodStill: func(a *Attempt) { a.StoodStill = true },
		WithheldBodySpent:  func(a *Attempt) { a.BodySpent = true },
	} {
		a := good()
		spoil(&a)
		if got := a.MayWrite(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if Withheld(len(WithheldWords)).String() != "unknown" || WithheldBodySpent.String() != "body_spent" {
		t.Error("reasons and words do not match")
	}
}

// A process that is held up for the whole of HoldUp has still told its server no more than
// the client's time and the slack of the protocol.
func TestTheTimeToTellAllowsForAHoldUp(t *testing.T) {
	const slack = 150 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-1e6, 10e9).Draw(t, "left"))
		told := TimeToTell(left)
		if told < time.Millisecond || told%time.Millisecond != 0 {
			t.Fatalf("told %v", told)
		}
		if left > 2*time.Millisecond && told > left {
			t.Fatalf("told %v of %v", told, left)
		}
		if late := toldMargin / 2; left >= 100*time.Millisecond && told > left-HoldUp-late+slack {
			t.Fatalf("told %v of %v: too much %v later", told, left, HoldUp+late)
		}
		if left > 20*time.Millisecond && told < left*8/10 {
			t.Fatalf("told %v of %v: too little", told, left)
		}
	})
}

// Whatever a connection is at, it is never cut with a request on it that has been read, or
// of which a part has.
func TestNoConnectionIsCutUnderARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Connection{Ended: rapid.Bool().Draw(t, "ended"), RequestOpen: rapid.Bool().Draw(t, "open"), Receiving: rapid.Bool().Draw(t, "receiving"),
			HeadRead: rapid.Bool().Draw(t, "head"), PartRead: rapid.Bool().Draw(t, "part"), Unread: rapid.Bool().Draw(t, "unread")}
		switch c.End() {
		case Cut:
			if c.Ended || c.RequestOpen || c.HeadRead || c.PartRead || c.Unread {
				t.Fatalf("%+v is cut", c)
			}
		case AnswerFirst:
			if c.Ended || c.RequestOpen && !c.Receiving || !c.RequestOpen && !c.PartRead {
				t.Fatalf("%+v is answered", c)
			}
		case Keep:
			if c == (Connection{}) {
				t.Fatal("an unused connection is kept")
			}
		}
	})
}
