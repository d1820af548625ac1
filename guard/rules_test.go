package guard

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetriesStayWithinKeyScope(t *testing.T) {
	origin := Location{Zone: "a", Cell: 1}
	sameCell, sameZone, elsewhere := origin, Location{Zone: "a", Cell: 2}, Location{Zone: "b", Cell: 3}
	const window = 8 * time.Second
	for _, test := range []struct {
		name    string
		rules   RetryRules
		to      Location
		after   time.Duration
		retry   bool
		refusal bool
	}{
		{"safe", RetryRules{Effect: Safe}, elsewhere, time.Hour, true, true},
		{"unsafe", RetryRules{Effect: Unsafe, Scope: ScopeAll, Window: window}, origin, 0, false, false},
		{"keyed, cell", RetryRules{Keyed, ScopeCell, window}, sameCell, window - 1, true, false},
		{"keyed, cell, window expired", RetryRules{Keyed, ScopeCell, window}, sameCell, window, false, false},
		{"keyed, another cell", RetryRules{Keyed, ScopeCell, window}, sameZone, 0, false, false},
		{"keyed, zone", RetryRules{Keyed, ScopeZone, window}, sameZone, 0, true, false},
		{"keyed, another zone", RetryRules{Keyed, ScopeZone, window}, elsewhere, 0, false, false},
		{"keyed, all", RetryRules{Keyed, ScopeAll, window}, elsewhere, 0, true, true},
		{"keyed, all, window expired", RetryRules{Keyed, ScopeAll, window}, elsewhere, window, false, true},
		{"keyed, no window", RetryRules{Keyed, ScopeAll, 0}, origin, 0, false, true},
	} {
		sent := 5 * time.Second
		if got := test.rules.MayRetry(origin, sent, test.to, sent+test.after); got != test.retry {
			t.Errorf("%s: may retry: %v", test.name, got)
		}
		if got := test.rules.MayRefuse(); got != test.refusal {
			t.Errorf("%s: may refuse: %v", test.name, got)
		}
	}
}

func TestEachReasonWithholdsAnAttempt(t *testing.T) {
	now := time.Now()
	permitted := func() Attempt {
		return Attempt{Now: now, Deadline: now.Add(time.Second), DedupWindowEnd: now.Add(time.Second), ClientSeenAt: now.Add(-ClientPresenceAge)}
	}
	lastMoment := MaxProcessPause // after a pause this long the write is at the end of the window
	if got := permitted().CheckWrite(); got != Permitted {
		t.Fatalf("a permitted attempt: %v", got)
	}
	for want, invalidate := range map[WithholdReason]func(*Attempt){
		WithheldRequestDone:    func(attempt *Attempt) { attempt.RequestDone = true },
		WithheldCancelled:      func(attempt *Attempt) { attempt.Cancelled = true },
		WithheldDraining:       func(attempt *Attempt) { attempt.ServerUnavailable = true },
		WithheldWindowExpired:  func(attempt *Attempt) { attempt.DedupWindowEnd = now.Add(lastMoment) },
		WithheldDeadlinePassed: func(attempt *Attempt) { attempt.Deadline = now },
		WithheldProcessPaused:  func(attempt *Attempt) { attempt.ProcessPaused = true },
		WithheldBodyConsumed:   func(attempt *Attempt) { attempt.BodyConsumed = true },
		WithheldClientUnverified: func(attempt *Attempt) {
			attempt.ClientSeenAt = now.Add(-ClientPresenceAge - 1)
		},
	} {
		attempt := permitted()
		invalidate(&attempt)
		if got := attempt.CheckWrite(); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	}
	if WithholdReason(len(WithholdReasonNames)).String() != "unknown" ||
		WithheldBodyConsumed.String() != "body_spent" || WithheldClientUnverified.String() != "client_unverified" {
		t.Error("reasons and names do not match")
	}
}

func TestWaitForPresenceOfClientIsBounded(t *testing.T) {
	for waited, want := range map[time.Duration]bool{0: true, 999 * time.Millisecond: true, time.Second: false, time.Minute: false} {
		if got := MayAwaitPresence(waited, time.Second); got != want {
			t.Errorf("after %v of 1 s: %v", waited, got)
		}
	}
	if MayAwaitPresence(0, 0) {
		t.Error("a client without time is waited for")
	}
}

// After a process pause of MaxProcessPause, the time limit passed on to a server must still be
// within the client's time plus the protocol's slack.
func TestForwardedTimeoutAllowsForProcessPause(t *testing.T) {
	const slack = 150 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		left := time.Duration(rapid.Int64Range(-1e6, 10e9).Draw(t, "left"))
		forwarded := ForwardedTimeout(left)
		if forwarded < time.Millisecond || forwarded%time.Millisecond != 0 {
			t.Fatalf("forwarded %v", forwarded)
		}
		if left > 2*time.Millisecond && forwarded > left {
			t.Fatalf("forwarded %v of %v", forwarded, left)
		}
		if delay := writeMargin / 2; left >= 100*time.Millisecond && forwarded > left-MaxProcessPause-delay+slack {
			t.Fatalf("forwarded %v of %v: too much after a delay of %v", forwarded, left, MaxProcessPause+delay)
		}
		if left > 20*time.Millisecond && forwarded < left*8/10 {
			t.Fatalf("forwarded %v of %v: too little", forwarded, left)
		}
	})
}

// No connection may be closed without an answer while a request, or part of one, has been
// read from it.
func TestNoConnectionClosesWithOpenRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		conn := Connection{Closed: rapid.Bool().Draw(t, "closed"), RequestOpen: rapid.Bool().Draw(t, "open"),
			ReceivingBody: rapid.Bool().Draw(t, "receiving"),
			HeadPending:   rapid.Bool().Draw(t, "head"), PartialRequest: rapid.Bool().Draw(t, "partial request"),
			UnreadData: rapid.Bool().Draw(t, "unread")}
		switch conn.CloseMode() {
		case CloseNow:
			if conn.Closed || conn.RequestOpen || conn.HeadPending || conn.PartialRequest || conn.UnreadData {
				t.Fatalf("%+v is closed at once", conn)
			}
		case RejectThenClose:
			if conn.Closed || conn.RequestOpen && !conn.ReceivingBody || !conn.RequestOpen && !conn.PartialRequest {
				t.Fatalf("%+v is rejected", conn)
			}
		case KeepOpen:
			if conn == (Connection{}) {
				t.Fatal("an unused connection is kept open")
			}
		}
	})
}
