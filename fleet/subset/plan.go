// Package subset decides which servers each process of a fleet uses, so that no server
// has connections of all and no process has few choices. Each process works it out
// alone; the same view gives the same sets, and close views give close ones. It does no
// I/O, reads no clock and starts no goroutine. docs/subsets.md has the ways weighed and
// the bounds.
//
// Each server is used by so many processes: those that come first for it by rendezvous
// hashing (Thaler and Ravishankar, 1998). So who comes or goes changes nothing for the
// others but that a place is taken or left. A process that would have too few takes the
// least used servers for which it is among the first. What is left to chance, how many
// servers a process has, is taken out by the servers' weights (Even) or by what each
// process sees of its servers.
//
// GroupCount of proxies are a view of the same: a group is a process whose set its proxies
// are told.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// Settings are the same at all processes.
type Settings struct {
	UsersPerServer int // processes that use a server of the mean size
	MinServers     int // servers that a process uses at least, if there are so many
}

// Process is one that uses servers.
type Process struct {
	ID        uint32
	Suspected bool // it may be dead: it keeps its places, and for each there is a stand-in
}

// Server is one that is used.
type Server struct {
	Key          uint64
	RelativeSize float64 // as a multiple of the mean one's; 0: not known
}

// mostTimes is how many times as many processes as are wanted a server has at most where
// others are in doubt: whatever each process doubts, only these use it. So the fleet's
// connections there are bounded without talk.
const mostTimes = 3

// kept is how many processes are ranked for a server at least: those beyond never use it
// by rank.
const kept = 64

// Planner plans for a fleet, and remembers who comes first for which server. It is not
// safe for concurrent use.
type Planner struct {
	set    Settings
	procs  []Process
	index  map[uint32]int32
	firsts map[uint64][]int32 // by server; the first so many processes for it
}

// NewPlanner makes a planner for no process yet.
func NewPlanner(set Settings) *Planner {
	return &Planner{set: set, index: map[uint32]int32{}, firsts: map[uint64][]int32{}}
}

// SetFleet says who is there, each ID once. It tells whether that changes anything.
func (p *Planner) SetFleet(procs []Process) bool {
	procs = slices.Clone(procs)
	slices.SortFunc(procs, func(a, b Process) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(procs, p.procs) {
		return false
	}
	if !slices.EqualFunc(procs, p.procs, func(a, b Process) bool { return a.ID == b.ID }) {
		clear(p.firsts)
		p.index = make(map[uint32]int32, len(procs)) // plans keep the former one
		for i, x := range procs {
			p.index[x.ID] = int32(i)
		}
	}
	p.procs = procs
	return true
}

// SetSettings changes the settings of the plans to come.
func (p *Planner) SetSettings(set Settings) { p.set = set }

// ProcessCount is how many there are.
func (p *Planner) ProcessCount() int { return len(p.procs) }

// Has tells whether a process is among them.
func (p *Planner) Has(id uint32) bool {
	_, has := p.index[id]
	return has
}

// wants is how many processes are to use a server.
func (p *Planner) wants(s *Server) int {
	return min(len(p.procs), min(p.set.UsersPerServer, len(p.procs))*int(math.Max(1, s.RelativeSize)))
}

// rank gives the first processes for a server, in order.
func (p *Planner) rank(s *Server) []int32 {
	n := min(len(p.procs), max(kept, mostTimes*p.wants(s)))
	if first := p.firsts[s.Key]; len(first) >= n {
		return first
	}
	type ranked struct {
		score uint64
		i     int32
	}
	all := make([]ranked, len(p.procs))
	for i, x := range p.procs {
		all[i] = ranked{Score(s.Key, uint64(x.ID)), int32(i)}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	first := make([]int32, n)
	for k := range first {
		first[k] = all[k].i
	}
	p.firsts[s.Key] = first
	return first
}

// Plan says who uses which server.
type Plan struct {
	procs  []Process
	index  map[uint32]int32
	users  [][]int32 // by server; in order of rank, those with too few others last
	sets   [][]int32 // by process
	keys   []uint64  // by server
	firsts [][]int32 // by server: who comes first
}

// Plan gives the sets for some servers, each key once. Who is not among them any more is
// forgotten.
func (p *Planner) Plan(servers []Server) *Plan {
	pl := &Plan{procs: p.procs, index: p.index, users: make([][]int32, len(servers)), sets: make([][]int32, len(p.procs)), firsts: make([][]int32, len(servers))}
	if len(p.procs) == 0 {
		return pl
	}
	for i := range servers {
		pl.keys = append(pl.keys, servers[i].Key)
	}
	p.forget(pl.keys)
	order := make([]int32, len(servers)) // one that is the same whoever lists them
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortFunc(order, func(a, b int32) int { return cmp.Compare(mix(servers[a].Key), mix(servers[b].Key)) })
	for _, s := range order {
		pl.use(p, s, &servers[s])
	}
	pl.fill(min(p.set.MinServers, len(order)), order)
	return pl
}

// forget drops what is remembered of servers that are not planned for any more, once that
// is much.
func (p *Planner) forget(keys []uint64) {
	if len(p.firsts) <= 2*len(keys)+64 {
		return
	}
	known := make(map[uint64]bool, len(keys))
	for _, key := range keys {
		known[key] = true
	}
	for key := range p.firsts {
		if !known[key] {
			delete(p.firsts, key)
		}
	}
}

// use gives a server its users: the first so many. The doubted do not count, so that each
// has a stand-in, as far as mostTimes goes.
func (pl *Plan) use(p *Planner, s int32, server *Server) {
	want := p.wants(server)
	first, certain := p.rank(server), 0
	pl.firsts[s] = first
	users := make([]int32, 0, want+2)
	for _, i := range first {
		if certain == want || len(users) == mostTimes*want {
			break
		}
		users = append(users, i)
		pl.sets[i] = append(pl.sets[i], s)
		if !p.procs[i].Suspected {
			certain++
		}
	}
	pl.users[s] = users
}

// fill gives the processes that have too few servers the least used ones of those for
// which they are among the first, so that those stay even too; of all, where these are
// not enough.
func (pl *Plan) fill(least int, order []int32) {
	near := make([][]place, len(pl.procs)) // for which processes with few are among the first
	for _, s := range order {
		for at, i := range pl.firsts[s] {
			if len(pl.sets[i]) < least {
				near[i] = append(near[i], place{int32(at), s})
			}
		}
	}
	var all []place
	for _, s := range order {
		all = append(all, place{0, s})
	}
	for i := range near {
		for _, from := range [][]place{near[i], all} {
			for len(pl.sets[i]) < least && pl.take(int32(i), from) {
			}
		}
	}
}

// take gives a process the least used server of some that it does not have, the one for
// which it comes first among equals. False: it has all of them.
func (pl *Plan) take(i int32, from []place) bool {
	best := place{0, -1}
	for _, x := range from {
		n := len(pl.users[x.s])
		if best.s >= 0 && (n > len(pl.users[best.s]) || n == len(pl.users[best.s]) && x.at >= best.at) || slices.Contains(pl.sets[i], x.s) {
			continue
		}
		best = x
	}
	if best.s < 0 {
		return false
	}
	pl.sets[i], pl.users[best.s] = append(pl.sets[i], best.s), append(pl.users[best.s], i)
	return true
}

// place is how many come before a process for a server.
type place struct{ at, s int32 }

func (pl *Plan) sort(all []place, id uint32) {
	slices.SortFunc(all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(Score(pl.keys[a.s], uint64(id)), Score(pl.keys[b.s], uint64(id))))
	})
}

// UsersPerServer lists the processes that use a server, by its place in the list, in order of
// rank.
func (pl *Plan) Users(server int) []uint32 {
	out := make([]uint32, len(pl.users[server]))
	for k, i := range pl.users[server] {
		out[k] = pl.procs[i].ID
	}
	return out
}

// NextUsers lists the processes that come next for a server after its users, so many.
func (pl *Plan) NextUsers(server, n int) (out []uint32) {
	for _, i := range pl.firsts[server] {
		if len(out) < n && !slices.Contains(pl.users[server], i) {
			out = append(out, pl.procs[i].ID)
		}
	}
	return out
}

// GroupSet lists the servers that a process uses, by their places in the list, and then all
// the others, each in the order of its own rank for them, should it have more to do than its
// set is for. A process that is not in the fleet's view has no set.
func (pl *Plan) ServersFor(id uint32) (set, next []int32) {
	i, is := pl.index[id]
	if is {
		set = pl.sets[i]
	}
	var mine, rest []place
	for s := range pl.keys {
		at := math.MaxInt32
		if k := slices.Index(pl.firsts[s], i); is && k >= 0 {
			at = k
		}
		if slices.Contains(set, int32(s)) {
			mine = append(mine, place{int32(at), int32(s)})
		} else {
			rest = append(rest, place{int32(at), int32(s)})
		}
	}
	pl.sort(mine, id)
	pl.sort(rest, id)
	return servers(mine), servers(rest)
}

func servers(all []place) (out []int32) {
	for _, x := range all {
		out = append(out, x.s)
	}
	return out
}
