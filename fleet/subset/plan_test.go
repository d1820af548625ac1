package subset

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var large = flag.Bool("subset-large", false, "tables of fleets up to 1,000 processes and 10,000 servers")

func fleetOf(n int) (out []Process) {
	for i := range n {
		out = append(out, Process{ID: uint32(i)})
	}
	return out
}

func serversOf(n int) (out []Server) {
	for i := range n {
		out = append(out, Server{Key: uint64(1_000_003 * (i + 1)), RelativeSize: 1})
	}
	return out
}

func plan(set Settings, procs []Process, servers []Server) *Plan {
	p := NewPlanner(set)
	p.SetFleet(procs)
	return p.Plan(servers)
}

// edges is who uses what.
type edges map[[2]uint64]bool

func (pl *Plan) edges(servers []Server) edges {
	out := edges{}
	for s := range servers {
		for _, id := range pl.Users(s) {
			out[[2]uint64{servers[s].Key, uint64(id)}] = true
		}
	}
	return out
}

// changed counts those that are in one alone, but for those of a process or server that
// is itself in one alone.
func changed(a, b edges, but func([2]uint64) bool) (n int) {
	for _, x := range [][2]edges{{a, b}, {b, a}} {
		for e := range x[0] {
			if !x[1][e] && !but(e) {
				n++
			}
		}
	}
	return n
}

// Whatever the fleet is like: all work out the same; a server has as many users as is
// asked for and a process as many servers; the doubted keep their places and have
// stand-ins; and a process knows what it takes next.
func TestPlansKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{UsersPerServer: rapid.IntRange(1, 12).Draw(t, "users"), MinServers: rapid.IntRange(1, 6).Draw(t, "least")}
		doubted := map[uint32]bool{}
		var procs []Process
		for _, id := range rapid.SliceOfNDistinct(rapid.Uint32Range(0, 5000), 1, 120, rapid.ID[uint32]).Draw(t, "ids") {
			doubted[id] = rapid.IntRange(0, 9).Draw(t, "doubt") == 0
			procs = append(procs, Process{id, doubted[id]})
		}
		var servers []Server
		for _, key := range rapid.SliceOfNDistinct(rapid.Uint64Range(0, 1<<40), 1, 60, rapid.ID[uint64]).Draw(t, "keys") {
			servers = append(servers, Server{key, rapid.SampledFrom([]float64{0, 1, 1, 2.5, 20}).Draw(t, "size")})
		}
		p := NewPlanner(set)
		p.SetFleet(procs)
		pl := p.Plan(servers)
		uses := 0
		for s := range servers {
			users, want, certain := pl.Users(s), p.wants(&servers[s]), 0
			uses += len(users)
			for _, id := range users {
				if !doubted[id] {
					certain++
				}
			}
			if certain < want && len(users) < min(mostTimes*want, len(procs)) {
				t.Fatalf("%d of %d users are certain, %d are wanted", certain, len(users), want)
			}
			if slices.Sort(users); len(slices.Compact(users)) != len(pl.Users(s)) {
				t.Fatalf("a user twice: %v", users)
			}
		}
		for _, x := range procs {
			mine, next := pl.ServersFor(x.ID)
			uses -= len(mine)
			all := slices.Sorted(slices.Values(slices.Concat(mine, next)))
			if len(mine) < min(set.MinServers, len(servers)) || len(all) != len(servers) || len(slices.Compact(all)) != len(servers) {
				t.Fatalf("%d has %v and then %v", x.ID, mine, next)
			}
			if slices.ContainsFunc(mine, func(s int32) bool { return !slices.Contains(pl.Users(int(s)), x.ID) }) {
				t.Fatal("a set and the users differ")
			}
		}
		if uses != 0 {
			t.Fatalf("%d more uses by servers than by processes", uses)
		}
		// whoever lists them, in whatever order, and whatever was planned before
		q := NewPlanner(set)
		q.SetFleet(procs[:1])
		q.Plan(servers)
		mixed, other := slices.Clone(procs), slices.Clone(servers)
		slices.Reverse(mixed)
		slices.Reverse(other)
		q.SetFleet(mixed)
		if changed(pl.edges(servers), q.Plan(other).edges(other), func([2]uint64) bool { return false }) > 0 {
			t.Fatal("two processes work out different sets from the same view")
		}
	})
}

// One that comes or goes changes its own connections; of the others' as many as are to
// stand in for it, and those of processes that have too few: the bound on churn of
// docs/subsets.md.
func TestWhoComesOrGoesChangesLittle(t *testing.T) {
	for _, c := range [][2]int{{24, 60}, {80, 60}, {300, 175}} {
		set := Settings{UsersPerServer: 9, MinServers: 4}
		procs, servers := fleetOf(c[0]), serversOf(c[1])
		before := plan(set, procs, servers).edges(servers)
		worstP, worstS := 0, 0
		for k := range 20 {
			i := k * len(procs) / 20
			gone := procs[i].ID
			worstP = max(worstP, changed(before, plan(set, slices.Delete(slices.Clone(procs), i, i+1), servers).edges(servers), func(e [2]uint64) bool { return e[1] == uint64(gone) }))
			j := k * len(servers) / 20
			key, less := servers[j].Key, slices.Delete(slices.Clone(servers), j, j+1)
			worstS = max(worstS, changed(before, plan(set, procs, less).edges(less), func(e [2]uint64) bool { return e[0] == key }))
		}
		t.Logf("%d processes, %d servers, %d connections: of others' change %d at worst as a process goes, %d as a server does", c[0], c[1], len(before), worstP, worstS)
		if worstP > 2*len(before)/c[0]+10 || worstS > 2*len(before)/c[1] {
			t.Errorf("%d and %d of %d change", worstP, worstS, len(before))
		}
	}
}

// Loads by weights, and sets and users, at the sizes of docs/subsets.md.
func TestLoadsAreEven(t *testing.T) {
	cells := [][2]int{{12, 12}, {80, 60}, {300, 175}}
	if *large {
		cells = [][2]int{{3, 4}, {12, 12}, {40, 30}, {80, 60}, {300, 4}, {4, 300}, {300, 175}, {1000, 200}, {1000, 10000}}
	}
	for _, c := range cells {
		for _, big := range []float64{1, 20} { // the size of the first server
			servers := serversOf(c[1])
			servers[0].RelativeSize = big
			pl := plan(Settings{UsersPerServer: 9, MinServers: 4}, fleetOf(c[0]), servers)
			flow, want, least, most := make([]float64, c[0]), make([]float64, c[1]), c[1], 0
			for i, set := range pl.sets {
				flow[i], least, most = 1/float64(c[0]), min(least, len(set)), max(most, len(set))
			}
			alike, users := 0.0, [2]int{c[0], 0}
			for s := range servers {
				want[s] = servers[s].RelativeSize / (float64(c[1]) + big - 1)
				load := 0.0
				for _, i := range pl.users[s] {
					load += flow[i] / float64(len(pl.sets[i]))
				}
				alike, users = max(alike, load/want[s]), [2]int{min(users[0], len(pl.users[s])), max(users[1], len(pl.users[s]))}
			}
			_, worst := BalanceWeights(pl.users, want, flow)
			t.Logf("%d processes, %d servers, one of size %v: sets of %d to %d, users %v, load of the fullest %.2f where all are drawn alike, %.3f by weights",
				c[0], c[1], big, least, most, users, alike, 1+worst)
			if worst > 0.05 || big == 1 && alike > 1.7 || big > 1 && users[1] < min(c[0], 100) {
				t.Error("out of its bounds")
			}
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	p, servers := NewPlanner(Settings{UsersPerServer: 9, MinServers: 4}), serversOf(175)
	p.SetFleet(fleetOf(300))
	p.Plan(servers)
	b.ReportAllocs()
	for b.Loop() {
		p.Plan(servers)
	}
}

// Whatever each process doubts of the others, no server has more users than most times
// those that are wanted, and of a fleet that is split in two each server has users on both
// sides.
func TestServersAreBoundedWhateverIsDoubted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, servers := rapid.IntRange(12, 60).Draw(t, "processes"), serversOf(rapid.IntRange(12, 40).Draw(t, "servers"))
		set := Settings{UsersPerServer: rapid.IntRange(2, 9).Draw(t, "users")}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		split := rapid.Bool().Draw(t, "split")
		if split { // that a side has none of the first 27 has a chance of one in a million
			set.UsersPerServer = 9
		}
		sides := make([]bool, n)
		for i := range sides {
			sides[i] = rng.IntN(2) == 0
		}
		users, by := make([]int, len(servers)), make([][2]int, len(servers))
		for self := range n {
			procs := fleetOf(n)
			for i := range procs {
				procs[i].Suspected = i != self && (split && sides[i] != sides[self] || !split && rng.IntN(3) > 0)
			}
			mine, _ := plan(set, procs, servers).ServersFor(uint32(self))
			for _, s := range mine {
				users[s]++
				if sides[self] {
					by[s][1]++
				} else {
					by[s][0]++
				}
			}
		}
		all := [2]int{}
		for _, side := range sides {
			if side {
				all[1]++
			} else {
				all[0]++
			}
		}
		for s, k := range users {
			if k > mostTimes*set.UsersPerServer {
				t.Fatalf("server %d has %d users, %d are wanted", s, k, set.UsersPerServer)
			}
			for side, there := range all {
				if split && 5*there >= 2*n && by[s][side] < 1 {
					t.Fatalf("server %d has %d users on a side of %d", s, by[s][side], there)
				}
			}
		}
	})
}
