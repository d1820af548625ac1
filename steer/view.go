package steer

import (
	"cmp"
	"math"
	"reflect"
	"slices"

	"ivylock/balance"
	"ivylock/fleet/subset"
)

const (
	coldPart   = 1.0      // of what a cold server can do now, that it is sent: what the stated multiple allows beyond that is for what reports do not say yet
	subsetOff  = 0.05     // by which a server's part may be off where proxies know a part of the servers
	wholeFrom  = 1.0 / 16 // of all requests, from which on a proxy is told of all servers
	coldStart  = 4.0      // requests a second that a warm server is taken to answer while none has shown it
	fullPart   = 0.85     // of a hall's capacity up to which it stands in for others
	keepFirst  = 0.95     // of its requests that a hall keeps when it gets short: what it answers lags too much to go by
	keepLess   = 0.95     // of that part, each step while none of its servers is normal
	keepMore   = 1.03     // each step while one is
	keepLeast  = 0.05
	fillWeight = 1.5  // of a hall's requests in parts of its servers' H, from which on they tell of no room
	spare      = 2.0  // times a proxy's even part of all that may be out
	silentFor  = 3.0  // s in which a silent server holds what it is sent, until it is excluded
	firstOut   = 1024 // before anything is known
	leastOut   = 8    // requests that a proxy may have out at least
)

// publish composes a state when one is due and differs from the last.
func (m *Module) publish() {
	due := m.urgent || m.dirty && (m.last == nil || m.now-m.lastAt >= m.set.WeightInterval)
	if !due || len(m.order) == 0 && m.last == nil && !m.confirmed {
		return
	}
	urgent := m.urgent
	m.urgent, m.dirty = false, false
	st := m.compose()
	if !urgent {
		m.lastAt = m.now
	}
	if m.last != nil {
		st.Version = m.last.Version
		if reflect.DeepEqual(st, m.last) {
			return
		}
	}
	st.Version++
	m.last = st
	m.out = append(m.out, Publish{State: st, Urgent: urgent})
}

// hall is what a view needs to know of one.
type hall struct {
	zone     string
	servers  []*server
	usable   int
	capacity float64            // requests a second; infinite where nothing is known
	demand   float64            // of the proxies in it, with a reserve for those that have not reported
	asked    float64            // requests a second that come to the proxies in it, dropped ones too
	traffic  float64            // the most that all proxies together may send to it
	share    map[string]float64 // of its requests, where they go
	next     map[string]float64 // of their further attempts, where the first did not go; it adds up to 1, or is empty
}

// halls sums up each hall and says which part of its requests goes where.
func (m *Module) halls() map[string]*hall {
	halls := map[string]*hall{}
	of := func(z string) *hall {
		h := halls[z]
		if h == nil {
			h = &hall{zone: z, share: map[string]float64{}, next: map[string]float64{}}
			halls[z] = h
		}
		return h
	}
	for _, s := range m.order {
		h := of(s.Zone)
		h.servers = append(h.servers, s)
		if m.usable(s) {
			h.usable++
			if p := m.peakOf(s); p > 0 {
				h.capacity += p * m.warmth(s)
			} else {
				h.capacity = math.Inf(1)
			}
		}
	}
	rate, asked, told := 0.0, 0.0, 0.0
	var untold []string
	for _, p := range m.present {
		if p.at == 0 {
			untold = append(untold, p.zone)
			continue
		}
		in := p.asked()
		rate, asked, told = rate+p.rate, asked+in, told+1
		of(p.zone).demand += p.rate
		of(p.zone).asked += in
	}
	if told > 0 {
		for _, z := range untold {
			of(z).demand += rate / told
			of(z).asked += asked / told
		}
	}
	zones := make([]string, 0, len(halls))
	for z := range halls {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	for _, z := range zones {
		m.spill(halls[z], halls, zones)
	}
	for _, z := range zones {
		m.stand(halls[z], halls, zones)
	}
	for _, z := range zones {
		for _, to := range zones {
			// What is dropped now may be let in at any time, and comes on top of
			// itself where attempts are made again.
			halls[to].traffic += halls[z].asked * (halls[z].share[to]*(1+RetryBudgetPercent/100.0) + halls[z].next[to]*RetryBudgetPercent/100)
		}
	}
	return halls
}

// stand says which halls take the further attempts of a hall's requests: those
// that its first attempts do not go to, by the room that they have. Those with
// none but cold servers do not: nobody could drop for their sake.
func (m *Module) stand(h *hall, halls map[string]*hall, zones []string) {
	all := 0.0
	for _, z := range zones {
		o := halls[z]
		if h.share[z] > 0 || !slices.ContainsFunc(o.servers, func(s *server) bool { return m.usable(s) && !s.cold }) {
			continue
		}
		h.next[z] = math.Max(1, m.spare(o))
		all += h.next[z]
	}
	for z := range h.next {
		h.next[z] /= all
	}
}

// spill says which part of a hall's requests other halls take. A hall that is
// short keeps what it can carry; the rest goes where there is room.
func (m *Module) spill(h *hall, halls map[string]*hall, zones []string) {
	keep, short := m.keep[h.zone]
	if h.usable == 0 {
		keep, short = 0, true
	}
	if !short {
		h.share[h.zone] = 1
		return
	}
	room, all := map[string]float64{}, 0.0
	for _, z := range zones {
		o := halls[z]
		if z == h.zone || o.usable == 0 {
			continue
		}
		r := m.spare(o)
		if h.usable == 0 {
			r = math.Max(r, 1) // somebody must, whoever has room
		}
		room[z], all = r, all+r
	}
	if all == 0 {
		keep = 1 // nobody has room
	}
	if keep > 0 {
		h.share[h.zone] = keep
	}
	for _, z := range zones {
		if r := room[z]; r > 0 && keep < 1 {
			h.share[z] = (1 - keep) * r / all
		}
	}
}

// spare is how many more requests a second a hall can take in.
func (m *Module) spare(o *hall) float64 {
	return math.Max(0, fullPart*math.Min(o.capacity*m.room(o), 1e9)-o.demand)
}

// room is how far a hall may be filled beyond the rates that were seen: those
// are what its servers were sent, not what they can do, while one is normal. How
// much more that is shows in how far its servers are from their H.
func (m *Module) room(h *hall) float64 {
	if !m.calm(h) {
		return 1
	}
	held, most := 0.0, 0.0
	for _, s := range h.servers {
		if m.usable(s) {
			held, most = held+s.load, most+m.high(s)
		}
	}
	return 1 + math.Max(0, 1-fillWeight*held/math.Max(1, most))
}

// calm says whether a warm server of a hall is normal and nothing is shed for
// the hall's sake: it may be that alone which keeps them normal.
func (m *Module) calm(h *hall) bool {
	if d := m.shed[h.zone]; d != nil && d.q2 > 0 {
		return false
	}
	return slices.ContainsFunc(h.servers, func(s *server) bool { return m.usable(s) && s.mode == balance.Normal && !s.cold })
}

// share renews, once in WeightInterval, the parts that halls keep of their own
// requests, by steps: less while none of its servers is normal, more while one
// is. It is short until it keeps all.
func (m *Module) share() {
	if m.shared != 0 && m.now-m.shared < m.set.WeightInterval {
		return
	}
	m.shared = m.now
	halls := m.halls()
	for z, h := range halls {
		if h.usable == 0 || h.demand == 0 {
			continue
		}
		room := false
		for other, o := range halls {
			room = room || other != z && o.usable > 0 && m.spare(o) > 0
		}
		keep, short := m.keep[z]
		before := keep
		switch calm := m.calm(h); {
		case calm && !short:
			continue
		case !calm && !room:
			continue // guards against a part that falls for nothing and then comes down on others at once
		case calm:
			keep *= keepMore
		case !short:
			keep = keepFirst
		default:
			keep *= keepLess
		}
		if keep = math.Max(keepLeast, keep); keep >= 1 {
			delete(m.keep, z)
		} else {
			m.keep[z] = keep
		}
		m.dirty = m.dirty || keep != before
	}
}

// peakOf is the rate of a warm server: its own, or that of the others by its
// size where it has shown none yet; 0 where nothing is known, but for a cold one,
// which must not be taken for one without a bound.
func (m *Module) peakOf(s *server) float64 {
	if s.peak > 0 && s.answers >= learnCount {
		return s.peak
	}
	p := math.Max(m.unit*s.size, s.peak)
	if p == 0 && s.cold {
		p = coldStart
	}
	return p
}

// locality gives the endpoints of a hall, and the part of its requests that
// must be dropped as only cold servers are left for them. What all proxies
// together may send to a cold server, dropped requests let in again and further
// attempts included, is what it can do now by the rates of warm ones: so it falls
// over only if OverloadFactor times as much comes as was reported.
func (m *Module) locality(h *hall) ([]Endpoint, float64) {
	weights := make([]float64, len(h.servers))
	most := make([]float64, len(h.servers)) // part of the traffic
	total, parts := 0.0, 0.0
	for i, s := range h.servers {
		if !m.usable(s) {
			continue
		}
		weights[i], most[i] = s.weight*m.warmth(s), math.Inf(1)
		if p := m.peakOf(s); s.cold && p > 0 && h.traffic > 0 {
			most[i] = coldPart * m.warmth(s) * p / h.traffic
		}
		total, parts = total+weights[i], parts+most[i]
	}
	drop := 0.0
	if parts < 1 && h.usable > 0 { // none is warm, and together they may not take all
		copy(weights, most)
		drop = 1 - parts
	} else {
		fill(weights, most)
	}
	sets := m.divideServers(h, weights)
	top := 0.0
	for _, w := range weights {
		top = math.Max(top, w)
	}
	var out []Endpoint
	for i, s := range h.servers {
		e := Endpoint{ID: s.ID, Addr: s.Addr, Cell: s.Cell, Weight: 1}
		if sets != nil {
			e.Groups = sets[i]
		}
		switch {
		case s.Draining:
			e.Health = Draining
		case s.excluded:
			e.Health = Excluded
		default:
			// Cold ones are rounded down and others up, so that a cold server's
			// part does not grow by it.
			w := weights[i] / top * MaxWeight
			if s.cold {
				w = math.Floor(w)
			}
			e.Weight = uint32(math.Min(MaxWeight, math.Max(1, math.Ceil(w))))
		}
		out = append(out, e)
	}
	return out, drop
}

// divideServers says which groups of proxies are told of which servers of a
// hall, and changes the weights so that each server still gets its part. nil:
// all are told of all, as the hall is small, or no weights would do.
func (m *Module) divideServers(h *hall, weights []float64) []subset.GroupSet {
	n := subset.GroupsPerServer(len(h.servers), m.set.SubsetSize)
	if m.set.SubsetSize == 0 || n == subset.GroupCount {
		return nil
	}
	var share [subset.GroupCount + 1]float64
	all, sum := 0.0, 0.0
	for _, p := range m.present {
		x := p.asked() * m.shareOf(p.zone, h.zone)
		if all += x; p.whole {
			share[subset.GroupCount] += x
		} else {
			share[p.group] += x
		}
	}
	for _, w := range weights {
		sum += w
	}
	if all == 0 || sum == 0 {
		return nil
	}
	for g := range share {
		share[g] /= all
	}
	sets, want := make([]subset.GroupSet, len(weights)), make([]float64, len(weights))
	for i, s := range h.servers {
		sets[i], want[i] = s.groups.First(n), weights[i]/sum
	}
	balanced, worst := subset.BalanceGroups(sets, want, share)
	if worst > subsetOff {
		return nil
	}
	copy(weights, balanced)
	return sets
}

// shareOf is what part of a hall's requests goes to another, as it was decided
// for the state that is being composed.
func (m *Module) shareOf(from, to string) float64 {
	if h := m.composing[from]; h != nil {
		return h.share[to]
	}
	return 0
}

// asked is what comes to a proxy a second, as it said last.
func (p *proxy) asked() float64 { return math.Max(p.in1+p.in2, p.rate/(1+RetryBudgetPercent/100.0)) }

// wholes says which proxies are told of all servers.
func (m *Module) wholes() []ProxyID {
	if m.set.SubsetSize == 0 {
		return nil
	}
	all := 0.0
	for _, p := range m.present {
		all += p.asked()
	}
	var out []ProxyID
	for _, p := range m.present {
		if part := p.asked() / math.Max(1, all); part > wholeFrom {
			p.whole = true
		} else if part < wholeFrom/2 {
			p.whole = false
		}
		if p.whole {
			out = append(out, p.id)
		}
	}
	return out
}

// fill lowers weights until none is more than its most, a part of their sum:
// what one may not have, the others get. The parts add up to 1 or more.
func fill(weights, most []float64) {
	order := make([]int, 0, len(weights))
	rest := 0.0 // the weights of those that keep theirs
	for i, w := range weights {
		if rest += w; w > 0 && !math.IsInf(most[i], 1) {
			order = append(order, i)
		}
	}
	// Whoever is furthest over its part first; ties by place, so that the same
	// weights give the same result.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(weights[b]*most[a], weights[a]*most[b])
	})
	held := 0.0 // parts of those that have their most
	n := 0
	for ; n < len(order); n++ {
		i := order[n]
		if weights[i]*(1-held) <= most[i]*rest {
			break
		}
		held, rest = held+most[i], rest-weights[i]
	}
	for _, i := range order[:n] {
		weights[i] = most[i] * rest / math.Max(1e-9, 1-held)
	}
}

// compose gives the state as it is decided now.
func (m *Module) compose() *State {
	st := &State{Confirmed: m.confirmed, Views: map[string]*View{}, FullViewProxies: m.wholes()}
	halls := m.halls()
	m.composing = halls
	type built struct {
		endpoints []Endpoint
		q1, q2    float64 // of the requests meant for it that are dropped
	}
	parts, zones := map[string]built{}, make([]string, 0, len(halls))
	for z, h := range halls {
		e, cold := m.locality(h)
		x := built{endpoints: e}
		x.q1, x.q2 = m.drops(z, cold, halls)
		parts[z] = x
		if len(h.servers) > 0 {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	limit := m.limit()
	view := func(zone string, share, next map[string]float64) {
		v := &View{Zone: zone, MaxRequests: limit}
		in1, in2, all := m.into(zone)
		// ProxyCount drop before they choose a hall. So the halls' weights are by
		// what is let in to each, and the drops are what is let in to none.
		sum, pass1, pass2, top := 0.0, 0.0, 0.0, 0.0
		pass := map[string]float64{}
		for _, z := range zones {
			p1, p2 := share[z]*(1-parts[z].q1), share[z]*(1-parts[z].q2)
			sum, pass1, pass2 = sum+share[z], pass1+p1, pass2+p2
			pass[z] = (in1*p1 + in2*p2) / all
			top = math.Max(top, pass[z])
		}
		if sum > 0 {
			v.DropPriorityPPM, v.DropOtherPPM = percent(1-pass1/sum), percent(1-pass2/sum)
		}
		for _, p := range []uint32{0, 1} {
			for _, z := range zones {
				part := share[z]
				if (part > 0) != (p == 0) || p == 1 && next[z] == 0 && halls[z].usable > 0 {
					continue
				}
				l := Locality{Zone: z, Priority: p, Weight: 1, Endpoints: parts[z].endpoints}
				switch {
				case p == 0 && top > 0:
					l.Weight = uint32(math.Max(1, pass[z]/top*MaxWeight))
				case p == 1:
					l.Weight = uint32(math.Max(1, next[z]*MaxWeight))
				}
				v.Localities = append(v.Localities, l)
			}
		}
		// Guards against priorities that do not begin with 0.
		if len(v.Localities) > 0 && v.Localities[0].Priority != 0 {
			for i := range v.Localities {
				v.Localities[i].Priority = 0
			}
		}
		st.Views[zone] = v
	}
	for _, x := range parts {
		for _, e := range x.endpoints {
			st.Subsetted = st.Subsetted || e.Groups != 0
		}
	}
	even := map[string]float64{}
	for _, z := range zones {
		even[z] = float64(halls[z].usable)
	}
	view("", even, nil)
	for z, h := range halls {
		if z != "" {
			view(z, h.share, h.next)
		}
	}
	return st
}

// into gives the requests a second that come to the proxies of a hall, or to
// all where none has reported any, and their sum, which is above 0.
func (m *Module) into(zone string) (in1, in2, all float64) {
	for _, p := range m.present {
		if p.zone == zone {
			in1, in2 = in1+p.in1, in2+p.in2
		}
	}
	if in1+in2 == 0 {
		for _, p := range m.present {
			in1, in2 = in1+p.in1, in2+p.in2
		}
	}
	if in1+in2 == 0 {
		in2 = 1
	}
	return in1, in2, in1 + in2
}

// drops gives the parts of priority and other requests meant for a hall that
// are dropped: what is shed for its sake, and what its servers can't take while
// all of them are cold.
func (m *Module) drops(zone string, cold float64, halls map[string]*hall) (q1, q2 float64) {
	if d := m.shed[zone]; d != nil {
		q1, q2 = d.q1, d.q2
	}
	if cold > 0 {
		in1, in2 := m.arrivals(zone, halls)
		if in1+in2 == 0 {
			in2 = 1
		}
		c1, c2 := balance.ShedSplit(cold, in1, in2)
		q1, q2 = math.Max(q1, c1), math.Max(q2, c2)
	}
	return q1, q2
}

// percent is a part in parts of a million, by steps of one per cent, upwards.
func percent(q float64) uint32 {
	return uint32(math.Ceil(math.Min(1, math.Max(0, q))*100-1e-9)) * 10_000
}

// limit is what one proxy may have out: its even part of what all servers may
// hold, with room for chance, and not less than what it sends while a silent
// server is still in use; by powers of two so that it seldom changes.
func (m *Module) limit() uint32 {
	if m.base == 0 {
		return firstOut
	}
	hold, rate := 0.0, 0.0
	for _, s := range m.order {
		if m.usable(s) {
			hold += blockPart*m.high(s) + 1
		}
	}
	for _, p := range m.present {
		rate += p.rate
	}
	each := math.Max(leastOut, math.Max(spare*hold, silentFor*rate)/math.Max(1, float64(len(m.present))))
	return uint32(math.Exp2(math.Ceil(math.Log2(math.Min(each, 1<<20)))))
}
