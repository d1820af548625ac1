package balance_test

import (
	"testing"
	"time"

	"ivylock/balance"
)

// In a large fleet no attempt may start or continue once its answer has no value. If late
// answers have value, or the target depends on the unknown work of a request, that is not
// before the deadline.
func TestAttemptTimeoutFollowsAnswerValue(t *testing.T) {
	for name, test := range map[string]struct {
		late, stretch float64
		most          time.Duration
	}{"no value after the target": {0, 0, time.Second}, "late answers have value": {0.5, 0, 4 * time.Second},
		"the target depends on the work": {0, 3, 4 * time.Second}} {
		settings := largeFleetSettings()
		settings.Classes = []balance.Class{{Name: "x", Value: 1, TargetLatency: time.Second, Deadline: 4 * time.Second,
			Effect: balance.Safe, LateValueFraction: test.late, TargetWorkFactor: test.stretch}}
		module := balance.New(settings, 1)
		module.Handle(time.Hour, balance.ListUpdate{Kind: balance.ListFull,
			Entries: []balance.Server{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4}, {ID: 5}}})
		sends := 0
		for _, a := range module.Handle(time.Hour, balance.RequestArrived{ID: "r", Class: "x",
			ClientTimeout: 4 * time.Second}) {
			if send, is := a.(balance.Send); is {
				if sends++; send.Timeout != test.most {
					t.Errorf("%s: timeout %v, want %v", name, send.Timeout, test.most)
				}
			}
		}
		if sends != 1 {
			t.Errorf("%s: %d attempts", name, sends)
		}
	}
}

// Requests over a tenant's quota must be shed first to the degree that the settings reduce
// their value, and not at all at equal value.
func TestOverQuotaRequestsHaveReducedValue(t *testing.T) {
	fraction := map[float64]float64{} // fraction of the answers that belong to the tenant over its quota
	for _, factor := range []float64{0.05, 0.5, 1} {
		settings := testSettings()
		settings.OverQuotaValueFactor, settings.Tenants = factor, []balance.Tenant{{Name: "club", Quota: 1}}
		node := newHarness(t, settings, 4)
		free := map[balance.ServerID]time.Duration{}
		// One request at a time, 20 ms each.
		node.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
			free[id] = max(free[id], node.now) + 20*time.Millisecond
			return free[id] - node.now, balance.OK
		}
		answered := map[string]float64{}
		for end := node.now + 20*time.Second; node.now < end; {
			for _, node.tenant = range []string{"club", ""} {
				before := node.refused + node.failed
				node.run(10*time.Millisecond, 400, "dear") // the servers can serve 200 a second
				answered[node.tenant] += 4 - float64(node.refused+node.failed-before)
			}
		}
		fraction[factor] = answered["club"] / (answered["club"] + answered[""])
	}
	t.Logf("fraction of the answers by value factor: %v", fraction)
	if fraction[0.05] > 0.4 || fraction[0.5] < fraction[0.05]+0.02 || fraction[1] < fraction[0.5]+0.02 ||
		fraction[1] < 0.45 ||
		fraction[1] > 0.55 {
		t.Errorf("fraction of the answers by value factor: %v", fraction)
	}
}

// Among equally fast servers those of the own zone must get more load the higher the
// cross-zone penalty is, and equal load without a penalty; a much slower server must get
// less despite its zone.
func TestCrossZonePenaltyShiftsLoad(t *testing.T) {
	fraction := map[float64]float64{}
	for _, penalty := range []float64{0, 0.02, 0.1} {
		for _, slow := range []bool{false, true} {
			settings := testSettings()
			settings.Zone, settings.Penalties.CrossZone = "z", penalty
			node := newHarness(t, settings, 0)
			var list []balance.Server
			for i := range 6 {
				list = append(list, balance.Server{ID: balance.ServerID(i + 1), Zone: []string{"z", "y", "x"}[i%3]})
			}
			node.handle(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
			normalDelay := node.delay
			node.delay = func(id balance.ServerID) (time.Duration, balance.OutcomeCode) {
				if slow && id%3 == 1 {
					return 200 * time.Millisecond, balance.OK
				}
				return normalDelay(id)
			}
			node.run(20*time.Second, 100, "cheap")
			ownZone := float64(node.sent[1]+node.sent[4]) / 2000
			if !slow {
				fraction[penalty] = ownZone
			} else if ownZone > 0.2 {
				t.Errorf("at a penalty of %v slow servers of the own zone get %.2f", penalty, ownZone)
			}
		}
	}
	if fraction[0] < 0.28 || fraction[0] > 0.38 || fraction[0.02] < fraction[0]+0.05 ||
		fraction[0.1] < fraction[0.02] || fraction[0.1] > 0.9 {
		t.Errorf("fraction of the own zone, which has 0.33 of the servers, by penalty: %v", fraction)
	}
	t.Log(fraction)
}
