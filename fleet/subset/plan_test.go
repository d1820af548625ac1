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

func plan(settings Settings, processes []Process, servers []Server) *Plan {
	p := NewPlanner(settings)
	p.SetFleet(processes)
	return p.Plan(servers)
}

// edges is a set of pairs of a server's key and a process that uses it.
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

// changed counts the edges that only one of two sets has, without the excepted ones.
func changed(a, b edges, except func([2]uint64) bool) (n int) {
	for _, x := range [][2]edges{{a, b}, {b, a}} {
		for e := range x[0] {
			if !x[1][e] && !except(e) {
				n++
			}
		}
	}
	return n
}

// In any fleet, servers must have enough users and processes enough servers, suspected users
// must have substitutes, and equal views must give equal sets.
func TestPlanBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{UsersPerServer: rapid.IntRange(1, 12).Draw(t, "users"), MinServers: rapid.IntRange(1, 6).Draw(t, "least")}
		suspected := map[uint32]bool{}
		var processes []Process
		for _, id := range rapid.SliceOfNDistinct(rapid.Uint32Range(0, 5000), 1, 120, rapid.ID[uint32]).Draw(t, "ids") {
			suspected[id] = rapid.IntRange(0, 9).Draw(t, "doubt") == 0
			processes = append(processes, Process{id, suspected[id]})
		}
		var servers []Server
		for _, key := range rapid.SliceOfNDistinct(rapid.Uint64Range(0, 1<<40), 1, 60, rapid.ID[uint64]).Draw(t, "keys") {
			servers = append(servers, Server{key, rapid.SampledFrom([]float64{0, 1, 1, 2.5, 20}).Draw(t, "size")})
		}
		p := NewPlanner(settings)
		p.SetFleet(processes)
		pl := p.Plan(servers)
		uses := 0
		for s := range servers {
			users, want, healthy := pl.Users(s), p.wantedUsers(&servers[s]), 0
			uses += len(users)
			for _, id := range users {
				if !suspected[id] {
					healthy++
				}
			}
			if healthy < want && len(users) < min(maxUsersFactor*want, len(processes)) {
				t.Fatalf("%d of %d users are not suspected, want %d", healthy, len(users), want)
			}
			if slices.Sort(users); len(slices.Compact(users)) != len(pl.Users(s)) {
				t.Fatalf("duplicate user: %v", users)
			}
		}
		for _, x := range processes {
			own, others := pl.ServersFor(x.ID)
			uses -= len(own)
			all := slices.Sorted(slices.Values(slices.Concat(own, others)))
			if len(own) < min(settings.MinServers, len(servers)) || len(all) != len(servers) || len(slices.Compact(all)) != len(servers) {
				t.Fatalf("process %d has servers %v and others %v", x.ID, own, others)
			}
			if slices.ContainsFunc(own, func(s int32) bool { return !slices.Contains(pl.Users(int(s)), x.ID) }) {
				t.Fatal("a process uses a server that does not list it as user")
			}
		}
		if uses != 0 {
			t.Fatalf("servers list %d more uses than processes", uses)
		}
		// Independent of order and of earlier plans.
		q := NewPlanner(settings)
		q.SetFleet(processes[:1])
		q.Plan(servers)
		mixed, other := slices.Clone(processes), slices.Clone(servers)
		slices.Reverse(mixed)
		slices.Reverse(other)
		q.SetFleet(mixed)
		if changed(pl.edges(servers), q.Plan(other).edges(other), func([2]uint64) bool { return false }) > 0 {
			t.Fatal("the same view gives different sets")
		}
	})
}

// A process or server that leaves must change few connections of the others, within the bound
// of docs/subsets.md.
func TestChurnIsBounded(t *testing.T) {
	for _, c := range [][2]int{{24, 60}, {80, 60}, {300, 175}} {
		settings := Settings{UsersPerServer: 9, MinServers: 4}
		processes, servers := fleetOf(c[0]), serversOf(c[1])
		before := plan(settings, processes, servers).edges(servers)
		maxByProcess, maxByServer := 0, 0
		for k := range 20 {
			i := k * len(processes) / 20
			gone := processes[i].ID
			maxByProcess = max(maxByProcess, changed(before, plan(settings, slices.Delete(slices.Clone(processes), i, i+1), servers).edges(servers), func(e [2]uint64) bool { return e[1] == uint64(gone) }))
			j := k * len(servers) / 20
			key, less := servers[j].Key, slices.Delete(slices.Clone(servers), j, j+1)
			maxByServer = max(maxByServer, changed(before, plan(settings, processes, less).edges(less), func(e [2]uint64) bool { return e[0] == key }))
		}
		t.Logf("%d processes, %d servers, %d connections: connections of others changed: %d at most when a process leaves, %d when a server leaves", c[0], c[1], len(before), maxByProcess, maxByServer)
		if maxByProcess > 2*len(before)/c[0]+10 || maxByServer > 2*len(before)/c[1] {
			t.Errorf("%d and %d of %d connections of others change", maxByProcess, maxByServer, len(before))
		}
	}
}

// Balanced loads, set sizes and users must stay within the bounds of docs/subsets.md.
func TestServerLoadsAreEven(t *testing.T) {
	cells := [][2]int{{12, 12}, {80, 60}, {300, 175}}
	if *large {
		cells = [][2]int{{3, 4}, {12, 12}, {40, 30}, {80, 60}, {300, 4}, {4, 300}, {300, 175}, {1000, 200}, {1000, 10000}}
	}
	for _, c := range cells {
		for _, largeSize := range []float64{1, 20} { // relative size of the first server
			servers := serversOf(c[1])
			servers[0].RelativeSize = largeSize
			pl := plan(Settings{UsersPerServer: 9, MinServers: 4}, fleetOf(c[0]), servers)
			processLoads, targets, least, most := make([]float64, c[0]), make([]float64, c[1]), c[1], 0
			for i, set := range pl.sets {
				processLoads[i], least, most = 1/float64(c[0]), min(least, len(set)), max(most, len(set))
			}
			equalWeightLoad, users := 0.0, [2]int{c[0], 0}
			for s := range servers {
				targets[s] = servers[s].RelativeSize / (float64(c[1]) + largeSize - 1)
				load := 0.0
				for _, i := range pl.users[s] {
					load += processLoads[i] / float64(len(pl.sets[i]))
				}
				equalWeightLoad, users = max(equalWeightLoad, load/targets[s]), [2]int{min(users[0], len(pl.users[s])), max(users[1], len(pl.users[s]))}
			}
			_, maxError := BalanceWeights(pl.users, targets, processLoads)
			t.Logf("%d processes, %d servers, one of size %v: sets of %d to %d servers, users %v, maximum load %.2f with equal weights, %.3f balanced",
				c[0], c[1], largeSize, least, most, users, equalWeightLoad, 1+maxError)
			if maxError > 0.05 || largeSize == 1 && equalWeightLoad > 1.7 || largeSize > 1 && users[1] < min(c[0], 100) {
				t.Error("out of bounds")
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

// Whichever processes each process suspects, no server may exceed its bound of users, and in a
// partition each server must have users on both sides.
func TestUsersPerServerAreBoundedUnderSuspicion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, servers := rapid.IntRange(12, 60).Draw(t, "processes"), serversOf(rapid.IntRange(12, 40).Draw(t, "servers"))
		settings := Settings{UsersPerServer: rapid.IntRange(2, 9).Draw(t, "users")}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		split := rapid.Bool().Draw(t, "split")
		if split {
			// With 27 ranked processes, a side has none of them with a probability of one in a million.
			settings.UsersPerServer = 9
		}
		sides := make([]bool, n)
		for i := range sides {
			sides[i] = rng.IntN(2) == 0
		}
		users, usersBySide := make([]int, len(servers)), make([][2]int, len(servers))
		for self := range n {
			processes := fleetOf(n)
			for i := range processes {
				processes[i].Suspected = i != self && (split && sides[i] != sides[self] || !split && rng.IntN(3) > 0)
			}
			own, _ := plan(settings, processes, servers).ServersFor(uint32(self))
			for _, s := range own {
				users[s]++
				if sides[self] {
					usersBySide[s][1]++
				} else {
					usersBySide[s][0]++
				}
			}
		}
		sideSizes := [2]int{}
		for _, side := range sides {
			if side {
				sideSizes[1]++
			} else {
				sideSizes[0]++
			}
		}
		for s, k := range users {
			if k > maxUsersFactor*settings.UsersPerServer {
				t.Fatalf("server %d has %d users, %d wanted", s, k, settings.UsersPerServer)
			}
			for side, sideSize := range sideSizes {
				if split && 5*sideSize >= 2*n && usersBySide[s][side] < 1 {
					t.Fatalf("server %d has %d users on a side of %d", s, usersBySide[s][side], sideSize)
				}
			}
		}
	})
}
