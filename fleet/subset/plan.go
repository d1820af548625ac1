// Package subset decides which servers each process of a fleet uses, so that no server has
// connections from all processes and no process has few servers. Each process computes the
// sets alone: equal views give equal sets, and similar views give similar ones. The package
// does no I/O, reads no clock and starts no goroutine. docs/subsets.md describes the
// alternatives and the bounds.
//
// Each server is used by the processes that rank highest for it by rendezvous hashing (Thaler
// and Ravishankar, 1998), so a process that joins or leaves changes little for the others. A
// process with too few servers is also given the least used ones for which it ranks high. The
// remaining differences between the sizes of sets are compensated by the servers' weights
// (BalanceWeights) or by what each process observes of its servers.
//
// For proxies the same is done by groups: a group is a process, and its proxies receive its
// set.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// Settings of a plan. They must be the same at all processes.
type Settings struct {
	UsersPerServer int // processes that use a server of mean size
	MinServers     int // servers that a process uses, if there are as many
}

// Process is a process that uses servers.
type Process struct {
	ID        uint32
	Suspected bool // possibly dead: it keeps its servers, and each of them gets another user
}

// Server is a server to use.
type Server struct {
	Key          uint64
	RelativeSize float64 // multiple of the mean size; 0: not known
}

// maxUsersFactor bounds the users of a server, as a multiple of the wanted number, when
// processes are suspected. All processes choose the users from the same highest ranked ones,
// so the server's connections are bounded even if each suspects different processes.
const maxUsersFactor = 3

// minRanked is the minimum number of processes that are ranked for a server; those beyond it
// are never assigned by rank.
const minRanked = 64

// Planner computes plans for a fleet and caches rankings. It is not safe for concurrent use.
type Planner struct {
	settings  Settings
	processes []Process
	indexByID map[uint32]int32
	rankings  map[uint64][]int32 // by server key: the highest ranked processes
}

// NewPlanner creates a planner without processes.
func NewPlanner(settings Settings) *Planner {
	return &Planner{settings: settings, indexByID: map[uint32]int32{}, rankings: map[uint64][]int32{}}
}

// SetFleet sets the processes, which have distinct IDs. It reports whether they changed.
func (p *Planner) SetFleet(processes []Process) bool {
	processes = slices.Clone(processes)
	slices.SortFunc(processes, func(a, b Process) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(processes, p.processes) {
		return false
	}
	if !slices.EqualFunc(processes, p.processes, func(a, b Process) bool { return a.ID == b.ID }) {
		clear(p.rankings)
		p.indexByID = make(map[uint32]int32, len(processes)) // earlier plans keep the former map
		for i, x := range processes {
			p.indexByID[x.ID] = int32(i)
		}
	}
	p.processes = processes
	return true
}

// SetSettings sets the settings of later plans.
func (p *Planner) SetSettings(settings Settings) { p.settings = settings }

// ProcessCount returns the number of processes.
func (p *Planner) ProcessCount() int { return len(p.processes) }

// Has reports whether the fleet contains a process.
func (p *Planner) Has(id uint32) bool {
	_, has := p.indexByID[id]
	return has
}

// wantedUsers returns how many processes are to use a server.
func (p *Planner) wantedUsers(s *Server) int {
	return min(len(p.processes), min(p.settings.UsersPerServer, len(p.processes))*int(math.Max(1, s.RelativeSize)))
}

// rankProcesses returns the highest ranked processes for a server, in order.
func (p *Planner) rankProcesses(s *Server) []int32 {
	n := min(len(p.processes), max(minRanked, maxUsersFactor*p.wantedUsers(s)))
	if top := p.rankings[s.Key]; len(top) >= n {
		return top
	}
	type ranked struct {
		score uint64
		i     int32
	}
	all := make([]ranked, len(p.processes))
	for i, x := range p.processes {
		all[i] = ranked{Score(s.Key, uint64(x.ID)), int32(i)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	top := make([]int32, n)
	for k := range top {
		top[k] = all[k].i
	}
	p.rankings[s.Key] = top
	return top
}

// Plan is the assignment of servers to processes.
type Plan struct {
	processes []Process
	indexByID map[uint32]int32
	users     [][]int32 // by server; in order of rank, then those added by fillSets
	sets      [][]int32 // by process
	keys      []uint64  // by server
	rankings  [][]int32 // by server
}

// Plan computes the sets for servers with distinct keys.
func (p *Planner) Plan(servers []Server) *Plan {
	pl := &Plan{processes: p.processes, indexByID: p.indexByID, users: make([][]int32, len(servers)), sets: make([][]int32, len(p.processes)), rankings: make([][]int32, len(servers))}
	if len(p.processes) == 0 {
		return pl
	}
	for i := range servers {
		pl.keys = append(pl.keys, servers[i].Key)
	}
	p.forgetServers(pl.keys)
	order := make([]int32, len(servers)) // independent of the order of servers
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortFunc(order, func(a, b int32) int { return cmp.Compare(mix(servers[a].Key), mix(servers[b].Key)) })
	for _, s := range order {
		pl.assignUsers(p, s, &servers[s])
	}
	pl.fillSets(min(p.settings.MinServers, len(order)), order)
	return pl
}

// forgetServers drops cached rankings of servers not in keys, once there are many.
func (p *Planner) forgetServers(keys []uint64) {
	if len(p.rankings) <= 2*len(keys)+64 {
		return
	}
	known := make(map[uint64]bool, len(keys))
	for _, key := range keys {
		known[key] = true
	}
	for key := range p.rankings {
		if !known[key] {
			delete(p.rankings, key)
		}
	}
}

// assignUsers gives a server its highest ranked processes. Suspected ones do not count, so
// that each has a substitute, up to maxUsersFactor.
func (pl *Plan) assignUsers(planner *Planner, serverIndex int32, server *Server) {
	want := planner.wantedUsers(server)
	ranking, healthy := planner.rankProcesses(server), 0
	pl.rankings[serverIndex] = ranking
	users := make([]int32, 0, want+2)
	for _, i := range ranking {
		if healthy == want || len(users) == maxUsersFactor*want {
			break
		}
		users = append(users, i)
		pl.sets[i] = append(pl.sets[i], serverIndex)
		if !planner.processes[i].Suspected {
			healthy++
		}
	}
	pl.users[serverIndex] = users
}

// fillSets gives processes with too few servers the least used ones among those for which
// they rank high, or among all if these are not enough.
func (pl *Plan) fillSets(least int, order []int32) {
	candidates := make([][]candidate, len(pl.processes)) // by process with too few servers
	for _, s := range order {
		for rank, i := range pl.rankings[s] {
			if len(pl.sets[i]) < least {
				candidates[i] = append(candidates[i], candidate{int32(rank), s})
			}
		}
	}
	var all []candidate
	for _, s := range order {
		all = append(all, candidate{0, s})
	}
	for i := range candidates {
		for _, from := range [][]candidate{candidates[i], all} {
			for len(pl.sets[i]) < least && pl.addLeastUsed(int32(i), from) {
			}
		}
	}
}

// addLeastUsed gives a process the least used server that it does not use yet, among equals
// the one for which it ranks highest. It returns false if there is none.
func (pl *Plan) addLeastUsed(i int32, from []candidate) bool {
	best := candidate{0, -1}
	for _, x := range from {
		n := len(pl.users[x.server])
		if best.server >= 0 && (n > len(pl.users[best.server]) || n == len(pl.users[best.server]) && x.rank >= best.rank) || slices.Contains(pl.sets[i], x.server) {
			continue
		}
		best = x
	}
	if best.server < 0 {
		return false
	}
	pl.sets[i], pl.users[best.server] = append(pl.sets[i], best.server), append(pl.users[best.server], i)
	return true
}

// candidate is a server and the rank of a process for it.
type candidate struct{ rank, server int32 }

func (pl *Plan) sort(all []candidate, id uint32) {
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(Score(pl.keys[a.server], uint64(id)), Score(pl.keys[b.server], uint64(id))))
	})
}

// Users returns the processes that use a server, by its position in the list, in order of
// rank.
func (pl *Plan) Users(server int) []uint32 {
	out := make([]uint32, len(pl.users[server]))
	for k, i := range pl.users[server] {
		out[k] = pl.processes[i].ID
	}
	return out
}

// NextUsers returns the n processes that rank highest for a server after its users.
func (pl *Plan) NextUsers(server, n int) (out []uint32) {
	for _, i := range pl.rankings[server] {
		if len(out) < n && !slices.Contains(pl.users[server], i) {
			out = append(out, pl.processes[i].ID)
		}
	}
	return out
}

// ServersFor returns the positions of the servers that a process uses, and of all others,
// which it may use if it has more requests than its set can take; both in the order of its
// rank. A process outside the fleet has an empty set.
func (pl *Plan) ServersFor(id uint32) (set, others []int32) {
	i, known := pl.indexByID[id]
	if known {
		set = pl.sets[i]
	}
	var own, rest []candidate
	for s := range pl.keys {
		rank := math.MaxInt32
		if k := slices.Index(pl.rankings[s], i); known && k >= 0 {
			rank = k
		}
		if slices.Contains(set, int32(s)) {
			own = append(own, candidate{int32(rank), int32(s)})
		} else {
			rest = append(rest, candidate{int32(rank), int32(s)})
		}
	}
	pl.sort(own, id)
	pl.sort(rest, id)
	return serverIndices(own), serverIndices(rest)
}

func serverIndices(all []candidate) (out []int32) {
	for _, x := range all {
		out = append(out, x.server)
	}
	return out
}
