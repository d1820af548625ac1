package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// In a crowd no attempt goes on once its answer is worth nothing, and none is begun then; where late answers are worth
// something, or the aim grows with the work of a request, which nobody knows, that is not before the deadline.
func TestAnAttemptLastsAsLongAsItsAnswerIsWorthSomething(t *testing.T) {
	for name, c := range map[string]struct {
		late, stretch float64
		most          time.Duration
	}{"the aim is all": {0, 0, time.Second}, "late answers count": {0.5, 0, 4 * time.Second}, "the aim is stretched": {0, 3, 4 * time.Second}} {
		s := crowdSettings()
		s.Classes = []balance.Class{{Name: "x", Value: 1, TargetLatency: time.Second, Deadline: 4 * time.Second, Effect: balance.Safe, LateValueFraction: c.late, TargetWorkFactor: c.stretch}}
		m := balance.New(s, 1)
		m.Handle(time.Hour, balance.ListUpdate{Kind: balance.ListFull, Entries: []balance.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}, {ID: 5}}})
		sends := 0
		for _, a := range m.Handle(time.Hour, balance.RequestArrived{ID: "r", Class: "x", ClientTimeout: 4 * time.Second}) {
			if send, is := a.(balance.Send); is {
				if sends++; send.Timeout != c.most {
					t.Errorf("%s: an attempt lasts %v, want %v", name, send.Timeout, c.most)
				}
			}
		}
		if sends != 1 {
			t.Errorf("%s: %d attempts", name, sends)
		}
	}
}

// What a tenant sends over its share goes behind all else as far as the settings say that it is worth less, and not at all
// where it is worth the same.
func TestRequestsOverAShareAreWorthWhatTheSettingsSay(t *testing.T) {
	part := map[float64]float64{} // of what is in time, that is of the one over its share
	for _, worth := range []float64{0.05, 0.5, 1} {
		s := rigSettings()
		s.OverQuotaValueFactor, s.Tenants = worth, []balance.Tenant{{Name: "club", Quota: 1}}
		r := newRig(t, s, 4)
		free := map[balance.ServerID]time.Duration{}
		r.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) { // one request at a time, 20 ms each
			free[id] = max(free[id], r.now) + 20*time.Millisecond
			return free[id] - r.now, balance.OK
		}
		answered := map[string]float64{}
		for end := r.now + 20*time.Second; r.now < end; {
			for _, r.tenant = range []string{"club", ""} {
				before := r.refused + r.failed
				r.run(10*time.Millisecond, 400, "dear") // of 200 that the servers can do
				answered[r.tenant] += 4 - float64(r.refused+r.failed-before)
			}
		}
		part[worth] = answered["club"] / (answered["club"] + answered[""])
	}
	t.Logf("part of what is answered by what they are worth: %v", part)
	if part[0.05] > 0.4 || part[0.5] < part[0.05]+0.02 || part[1] < part[0.5]+0.02 || part[1] < 0.45 || part[1] > 0.55 {
		t.Errorf("part of what is answered, by what they are worth: %v", part)
	}
}

// Of servers that are as quick as one another those of the own zone get more, the more crossing costs; where it costs
// nothing all get the same, and a server that is much slower gets less although it is near.
func TestCrossingZonesCountsAsWhatItCosts(t *testing.T) {
	part := map[float64]float64{}
	for _, price := range []float64{0, 0.02, 0.1} {
		for _, slow := range []bool{false, true} {
			s := rigSettings()
			s.Zone, s.Penalties.CrossZone = "z", price
			r := newRig(t, s, 0)
			var list []balance.Server
			for i := range 6 {
				list = append(list, balance.Server{ID: balance.ServerID(i + 1), Zone: []string{"z", "y", "x"}[i%3]})
			}
			r.feed(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
			plain := r.delay
			r.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
				if slow && id%3 == 1 {
					return 200 * time.Millisecond, balance.OK
				}
				return plain(id)
			}
			r.run(20*time.Second, 100, "cheap")
			own := float64(r.sent[1]+r.sent[4]) / 2000
			if !slow {
				part[price] = own
			} else if own > 0.2 {
				t.Errorf("at a price of %v slow servers of the own zone get %.2f", price, own)
			}
		}
	}
	if part[0] < 0.28 || part[0] > 0.38 || part[0.02] < part[0]+0.05 || part[0.1] < part[0.02] || part[0.1] > 0.9 {
		t.Errorf("part of the own zone, of 0.33, by the price: %v", part)
	}
	t.Log(part)
}
