package guard

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRepeatsGoOnlyWhereTheirKeyIsKnown(t *testing.T) {
	here := Location{Zone: "a", Cell: 1}
	sameCell, sameZone, elsewhere := here, Location{Zone: "a", Cell: 2}, Location{Zone: "b", Cell: 3}
	const window = 8 * time.Second
	for _, c := range []struct {
		name    string
		rules   RetryRules
		to      Location
		after   time.Duration
		repeat  bool
		refusal bool
	}{
		{"safe", RetryRules{Effect: Safe}, elsewhere, time.Hour, true, true},
		{"unsafe", RetryRules{Effect: Unsafe, Scope: ScopeAll, Window: window}, here, 0, false, false},
		{"keyed, cell", RetryRules{Keyed, ScopeCell, window}, sameCell, window - 1, true, false},
		{"keyed, cell, window over", RetryRules{Keyed, ScopeCell, window}, sameCell, window, false, false},
		{"keyed, another cell", RetryRules{Keyed, ScopeCell, window}, sameZone, 0, false, false},
		{"keyed, zone", RetryRules{Keyed, ScopeZone, window}, sameZone, 0, true, false},
		{"keyed, another zone", RetryRules{Keyed, ScopeZone, window}, elsewhere, 0, false, false},
		{"keyed, all", RetryRules{Keyed, ScopeAll, window}, elsewhere, 0, true, true},
		{"keyed, all, window over", RetryRules{Keyed, ScopeAll, window}, elsewhere, window, false, true},
		{"keyed, no window", RetryRules{Keyed, ScopeAll, 0}, here, 0, false, true},
	} {
		sent := 5 * time.Second
		if got := c.rules.MayRetry(here, sent, c.to, sent+c.after); got != c.repeat {
			t.Errorf("%s: may repeat: %v", c.name, got)
		}
		if got := c.rules.MayRefuse(); got != c.refusal {
			t.Errorf("%s: may refuse: %v", c.name, got)
		}
	}
}

func TestEachReasonAloneWithholdsAnAttempt(t *testing.T) {
	now := time.Now()
	good := func() Attempt {
		return Attempt{Now: now, Deadline: now.Add(time.Second), DedupWindowEnd: now.Add(time.Second)}
	}
	lastMoment := MaxProcessPause // a process that is held up for so long writes at the end of the window
	if got := good().CheckWrite(); got != Permitted {
		t.Fatalf("nothing is wrong: %v", got)
	}
	for want, spoil := range map[WithholdReason]func(*Attempt){
		WithheldRequestDone:    func(a *Attempt) { a.RequestDone = true },
		WithheldCancelled:      func(a *Attempt) { a.Cancelled = true },
		WithheldDraining:       func(a *Attempt) { a.ServerUnavailable = true },
		WithheldWindowExpired:  func(a *Attempt) { a.DedupWindowEnd = now.Add(lastMoment) },
		WithheldDeadlinePassed: func(a *Attempt) { a.Deadline = now },
		WithheldProcessPaused:  func(a *Attempt) { a.ProcessPaused = true },
		WithheldBodyConsumed:   func(a *Attempt) { a.BodyConsumed = true },
	} {
		a := good()
		spoil(&a)
		if got := a.CheckWrite(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if WithholdReason(len(WithholdReasonNames)).String() != "unknown" || WithheldBodyConsumed.String() != "body_spent" {
		t.Error("reasons and words do not match")
	}
}

// A process that is held up for the whole of MaxProcessPause has still told its server no more than
// the client's time and the slack of the protocol.
func TestTheTimeToTellAllowsForAHoldUp(t *testing.T) {
	const slack = 150 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-1e6, 10e9).Draw(t, "left"))
		told := ForwardedTimeout(left)
		if told < time.Millisecond || told%time.Millisecond != 0 {
			t.Fatalf("told %v", told)
		}
		if left > 2*time.Millisecond && told > left {
			t.Fatalf("told %v of %v", told, left)
		}
		if late := toldMargin / 2; left >= 100*time.Millisecond && told > left-MaxProcessPause-late+slack {
			t.Fatalf("told %v of %v: too much %v later", told, left, MaxProcessPause+late)
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
		c := Connection{Closed: rapid.Bool().Draw(t, "ended"), RequestOpen: rapid.Bool().Draw(t, "open"), ReceivingBody: rapid.Bool().Draw(t, "receiving"),
			HeadPending: rapid.Bool().Draw(t, "head"), PartialRequest: rapid.Bool().Draw(t, "part"), UnreadData: rapid.Bool().Draw(t, "unread")}
		switch c.CloseMode() {
		case CloseNow:
			if c.Closed || c.RequestOpen || c.HeadPending || c.PartialRequest || c.UnreadData {
				t.Fatalf("%+v is cut", c)
			}
		case RejectThenClose:
			if c.Closed || c.RequestOpen && !c.ReceivingBody || !c.RequestOpen && !c.PartialRequest {
				t.Fatalf("%+v is answered", c)
			}
		case KeepOpen:
			if c == (Connection{}) {
				t.Fatal("an unused connection is kept")
			}
		}
	})
}
