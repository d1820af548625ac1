package subset

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Seven in ten of a fleet die at once: in 2 s those that are left have acted on it, no
// tenth of that time brings more than a quarter of the new connections, and when they are
// back as many go one after the other. At each moment a server has users, and no more
// than two views want.
func TestTheRestWidensInTurn(t *testing.T) {
	const n, left, tenth = 36, 11, 200 * time.Millisecond
	servers := serversOf(40)
	var all []uint32
	for i := range uint32(n) {
		all = append(all, i)
	}
	var settlers []*Damper
	var planners []*Planner
	for i := range uint32(left) {
		settlers = append(settlers, NewDamper(i, all))
		planners = append(planners, NewPlanner(Settings{UsersPerServer: 9, MinServers: 4}))
	}
	seen := func(dead bool, doubt State) (out []Observation) {
		for i := range uint32(n) {
			state := Present
			if dead && i >= left {
				state = doubt
			}
			out = append(out, Observation{i, state})
		}
		return out
	}
	used := func() edges {
		out := edges{}
		for i, p := range planners {
			if view, changed := settlers[i].View(); changed {
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
	play := func(dead bool, doubt State, length time.Duration) (total int, most float64) {
		before := used()
		first, parts := before, []int{}
		for from := now; now < from+length; now += tenth {
			for _, s := range settlers {
				s.Observe(now, seen(dead, doubt))
			}
			after := used()
			parts = append(parts, changed(before, after, func([2]uint64) bool { return false }))
			before = after
			users := map[uint64]int{}
			for e := range after {
				users[e[0]]++
			}
			for s := range servers {
				if k := users[uint64(s)]; k < 1 || k > mostTimes*9+4 {
					t.Fatalf("server %d has %d users at %v", s, k, now)
				}
			}
		}
		total = changed(first, before, func([2]uint64) bool { return false })
		for _, k := range parts {
			most = max(most, float64(k)/float64(max(1, total)))
		}
		return total, most
	}
	play(false, Present, 5*time.Second)
	wider, wave := play(true, Suspected, 2*time.Second)
	gone, _ := play(true, Absent, 2*time.Second)
	narrower, back := play(false, Present, 4*time.Second)
	t.Logf("%d connections more in 2 s, %.2f of them in a tenth of that at most; %d change when the dead are buried; %d less, %.2f", wider, wave, gone, narrower, back)
	if wider < 150 || wave > 0.25 || gone > wider/2 || narrower < 150 || back > 0.35 {
		t.Error("out of its bounds")
	}
	// who left before the others noticed is in nobody's view any more
	for i := range settlers {
		if view, _ := settlers[i].View(); view != nil {
			t.Error("a view changes though nothing does")
		}
	}
}

// However a roster flaps, a view acts on what lasts, in its time; who comes and goes
// faster than Held changes nothing but once.
func TestViewsSettle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewDamper(1, []uint32{1, 2, 3, 4, 5})
		now := time.Hour
		for range rapid.IntRange(0, 30).Draw(t, "flaps") {
			var seen []Observation
			for id := range uint32(8) {
				if state := State(rapid.IntRange(0, 2).Draw(t, "state")); state != Absent {
					seen = append(seen, Observation{id, state})
				}
			}
			s.Observe(now, seen)
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "later")) * time.Millisecond
		}
		last := []Observation{{1, Present}, {2, Present}, {3, Suspected}, {7, Present}}
		for range 40 {
			s.Observe(now, last)
			now += 100 * time.Millisecond
		}
		s.changed = true
		view, _ := s.View()
		if len(view) != 4 || view[0].ID != 1 || view[2].ID != 3 || !view[2].Suspected || view[3].ID != 7 || len(s.known) != 4 {
			t.Fatalf("%v", view)
		}
	})
	s := NewDamper(1, []uint32{1, 2})
	s.View()
	for k := range 50 { // every 400 ms it is away or back
		state := Present
		if k/4%2 == 0 {
			state = Suspected
		}
		s.Observe(time.Hour+time.Duration(k)*100*time.Millisecond, []Observation{{1, Present}, {2, state}})
	}
	if _, changed := s.View(); changed && s.known[2].is == Present {
		t.Error("one that comes and goes counts again before it has stayed")
	}
}
