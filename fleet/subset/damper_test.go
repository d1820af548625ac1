package subset

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// When most of a fleet dies, the survivors must take over within 2 s without a burst of new
// connections, give back gradually, and keep each server within its bound of users.
func TestSurvivorsTakeOverGradually(t *testing.T) {
	const n, survivors, tick = 36, 11, 200 * time.Millisecond
	servers := serversOf(40)
	var all []uint32
	for i := range uint32(n) {
		all = append(all, i)
	}
	var dampers []*Damper
	var planners []*Planner
	for i := range uint32(survivors) {
		dampers = append(dampers, NewDamper(i, all))
		planners = append(planners, NewPlanner(Settings{UsersPerServer: 9, MinServers: 4}))
	}
	observations := func(dead bool, deadState State) (out []Observation) {
		for i := range uint32(n) {
			state := Present
			if dead && i >= survivors {
				state = deadState
			}
			out = append(out, Observation{i, state})
		}
		return out
	}
	used := func() edges {
		out := edges{}
		for i, p := range planners {
			if view, changed := dampers[i].View(); changed {
				p.SetFleet(view)
			}
			set, _ := p.Plan(servers).ServersFor(uint32(i))
			for _, s := range set {
				out[[2]uint64{uint64(s), uint64(i)}] = true
			}
		}
		return out
	}
	now := time.Hour
	simulate := func(dead bool, deadState State, length time.Duration) (total int, peak float64) {
		before := used()
		first, changes := before, []int{}
		for from := now; now < from+length; now += tick {
			for _, damper := range dampers {
				damper.Observe(now, observations(dead, deadState))
			}
			after := used()
			changes = append(changes, changed(before, after, func([2]uint64) bool { return false }))
			before = after
			users := map[uint64]int{}
			for e := range after {
				users[e[0]]++
			}
			for s := range servers {
				if k := users[uint64(s)]; k < 1 || k > maxUsersFactor*9+4 {
					t.Fatalf("server %d has %d users at %v", s, k, now)
				}
			}
		}
		total = changed(first, before, func([2]uint64) bool { return false })
		for _, k := range changes {
			peak = max(peak, float64(k)/float64(max(1, total)))
		}
		return total, peak
	}
	simulate(false, Present, 5*time.Second)
	added, addedPeak := simulate(true, Suspected, 2*time.Second)
	removalChanges, _ := simulate(true, Absent, 2*time.Second)
	dropped, droppedPeak := simulate(false, Present, 4*time.Second)
	t.Logf("%d connections changed in 2 s, peak fraction per tick %.2f; %d when the dead are removed; %d when they return, peak fraction %.2f", added, addedPeak, removalChanges, dropped, droppedPeak)
	if added < 150 || addedPeak > 0.25 || removalChanges > added/2 || dropped < 150 || droppedPeak > 0.35 {
		t.Error("out of bounds")
	}
	// Processes that left must not reappear in a view.
	for i := range dampers {
		if view, _ := dampers[i].View(); view != nil {
			t.Error("a view changes without a change of the roster")
		}
	}
}

// A view must follow lasting changes and ignore flapping.
func TestDamperSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		damper := NewDamper(1, []uint32{1, 2, 3, 4, 5})
		now := time.Hour
		for range rapid.IntRange(0, 30).Draw(t, "flaps") {
			var seen []Observation
			for id := range uint32(8) {
				if state := State(rapid.IntRange(0, 2).Draw(t, "state")); state != Absent {
					seen = append(seen, Observation{id, state})
				}
			}
			damper.Observe(now, seen)
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "later")) * time.Millisecond
		}
		last := []Observation{{1, Present}, {2, Present}, {3, Suspected}, {7, Present}}
		for range 40 {
			damper.Observe(now, last)
			now += 100 * time.Millisecond
		}
		damper.changed = true
		view, _ := damper.View()
		if len(view) != 4 || view[0].ID != 1 || view[2].ID != 3 || !view[2].Suspected || view[3].ID != 7 || len(damper.peers) != 4 {
			t.Fatalf("%v", view)
		}
	})
	damper := NewDamper(1, []uint32{1, 2})
	damper.View()
	for k := range 50 { // absent or back every 400 ms
		state := Present
		if k/4%2 == 0 {
			state = Suspected
		}
		damper.Observe(time.Hour+time.Duration(k)*100*time.Millisecond, []Observation{{1, Present}, {2, state}})
	}
	if _, changed := damper.View(); changed && damper.peers[2].current == Present {
		t.Error("a flapping process counts as present again")
	}
}
