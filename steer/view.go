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
	// Fraction of its current capacity that a cold server is sent. The margin up to OverloadFactor
	// covers traffic that has not been reported yet.
	coldLoadFraction = 1.0

	maxSubsetDeviation = 0.05     // relative deviation of a server's load that subsetting may cause
	fullViewFraction   = 1.0 / 16 // fraction of all requests from which a proxy sees all servers
	assumedPeakRate    = 4.0      // requests/s of a warm server while no peak rate is known
	maxFillFraction    = 0.85     // fraction of a zone's capacity up to which it takes other zones' requests

	// Fraction of its own requests that a zone keeps when it starts to spill over.
	initialLocalFraction = 0.95

	localDecrease        = 0.95 // factor per step while none of the zone's servers is normal
	localIncrease        = 1.03 // factor per step while one is
	minLocalFraction     = 0.05
	fillWeight           = 1.5  // a zone filled to 1/fillWeight of its high marks has no headroom
	requestLimitHeadroom = 2.0  // multiple of what all servers can hold, divided evenly among proxies
	silentHoldSeconds    = 3.0  // time that requests to a silent server stay open until its exclusion
	initialRequestLimit  = 1024 // open requests of one proxy while no base delay is known
	minRequestLimit      = 8    // open requests of one proxy
)

// publish composes a state if one is due, and publishes it if it differs from the last.
func (m *Module) publish() {
	due := m.urgent || m.dirty && (m.lastState == nil || m.now-m.publishedAt >= m.settings.WeightInterval)
	if !due || len(m.sortedServers) == 0 && m.lastState == nil && !m.confirmed {
		return
	}
	urgent := m.urgent
	m.urgent, m.dirty = false, false
	state := m.compose()
	if !urgent {
		m.publishedAt = m.now
	}
	if m.lastState != nil {
		state.Version = m.lastState.Version
		if reflect.DeepEqual(state, m.lastState) {
			return
		}
	}
	state.Version++
	m.lastState = state
	m.actions = append(m.actions, Publish{State: state, Urgent: urgent})
}

// zoneState summarizes a zone while a state is composed.
type zoneState struct {
	name       string
	servers    []*server
	usable     int
	capacity   float64            // requests/s; infinite if unknown
	demand     float64            // requests/s that its proxies send, estimated for proxies without a report
	arrivals   float64            // requests/s that arrive at its proxies, dropped ones included
	maxTraffic float64            // requests/s that all proxies together may send to it at most
	split      map[string]float64 // fraction of its requests by destination zone
	retrySplit map[string]float64 // fraction of its retries by zone that split leaves out; sums to 1 or is empty
}

// zoneStates summarizes each zone and splits its requests among zones.
func (m *Module) zoneStates() map[string]*zoneState {
	zones := map[string]*zoneState{}
	zoneOf := func(name string) *zoneState {
		zone := zones[name]
		if zone == nil {
			zone = &zoneState{name: name, split: map[string]float64{}, retrySplit: map[string]float64{}}
			zones[name] = zone
		}
		return zone
	}
	for _, s := range m.sortedServers {
		zone := zoneOf(s.Zone)
		zone.servers = append(zone.servers, s)
		if m.usable(s) {
			zone.usable++
			if peak := m.peakRateOf(s); peak > 0 {
				zone.capacity += peak * m.warmupFraction(s)
			} else {
				zone.capacity = math.Inf(1)
			}
		}
	}
	sendRate, arrivals, reporting := 0.0, 0.0, 0.0
	var silentZones []string
	for _, proxy := range m.sortedProxies {
		if proxy.reportedAt == 0 {
			silentZones = append(silentZones, proxy.zone)
			continue
		}
		arrivalRate := proxy.arrivalRate()
		sendRate, arrivals, reporting = sendRate+proxy.sendRate, arrivals+arrivalRate, reporting+1
		zoneOf(proxy.zone).demand += proxy.sendRate
		zoneOf(proxy.zone).arrivals += arrivalRate
	}
	if reporting > 0 {
		for _, name := range silentZones {
			zoneOf(name).demand += sendRate / reporting
			zoneOf(name).arrivals += arrivals / reporting
		}
	}
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		m.splitRequests(zones[name], zones, names)
	}
	for _, name := range names {
		m.splitRetries(zones[name], zones, names)
	}
	for _, name := range names {
		for _, to := range names {
			// Requests dropped now may be admitted at any time, and retries come on top of them.
			zones[to].maxTraffic += zones[name].arrivals *
				(zones[name].split[to]*(1+RetryBudgetPercent/100.0) + zones[name].retrySplit[to]*RetryBudgetPercent/100)
		}
	}
	return zones
}

// splitRetries splits the retries of a zone's requests among the zones that its first attempts do
// not go to, by spare capacity. Zones with only cold servers are left out, as no drop ratio would
// protect them from the retries.
func (m *Module) splitRetries(from *zoneState, zones map[string]*zoneState, names []string) {
	total := 0.0
	for _, name := range names {
		to := zones[name]
		if from.split[name] > 0 || !slices.ContainsFunc(to.servers, func(s *server) bool { return m.usable(s) && !s.cold }) {
			continue
		}
		from.retrySplit[name] = math.Max(1, m.spareCapacity(to))
		total += from.retrySplit[name]
	}
	for name := range from.retrySplit {
		from.retrySplit[name] /= total
	}
}

// splitRequests splits a zone's requests. An overloaded zone keeps its local fraction; the rest
// goes to zones with spare capacity.
func (m *Module) splitRequests(from *zoneState, zones map[string]*zoneState, names []string) {
	local, spilling := m.localFraction[from.name]
	if from.usable == 0 {
		local, spilling = 0, true
	}
	if !spilling {
		from.split[from.name] = 1
		return
	}
	spareByZone, total := map[string]float64{}, 0.0
	for _, name := range names {
		to := zones[name]
		if name == from.name || to.usable == 0 {
			continue
		}
		spare := m.spareCapacity(to)
		if from.usable == 0 {
			spare = math.Max(spare, 1) // a zone without usable servers needs a destination
		}
		spareByZone[name], total = spare, total+spare
	}
	if total == 0 {
		local = 1 // no spare capacity anywhere
	}
	if local > 0 {
		from.split[from.name] = local
	}
	for _, name := range names {
		if spare := spareByZone[name]; spare > 0 && local < 1 {
			from.split[name] = (1 - local) * spare / total
		}
	}
}

// spareCapacity returns how many more requests per second a zone can take.
func (m *Module) spareCapacity(zone *zoneState) float64 {
	return math.Max(0, maxFillFraction*math.Min(zone.capacity*m.headroom(zone), 1e9)-zone.demand)
}

// headroom returns the factor by which a zone's load may exceed the rates seen so far. While a
// server is normal, those rates show what the servers were sent, not what they can do; the
// distance to their high marks shows how much more they can take.
func (m *Module) headroom(zone *zoneState) float64 {
	if !m.uncongested(zone) {
		return 1
	}
	inFlight, highSum := 0.0, 0.0
	for _, s := range zone.servers {
		if m.usable(s) {
			inFlight, highSum = inFlight+s.smoothedInFlight, highSum+m.highMark(s)
		}
	}
	return 1 + math.Max(0, 1-fillWeight*inFlight/math.Max(1, highSum))
}

// uncongested reports whether a warm server of the zone is normal and no requests are shed for the
// zone: shedding may be the only reason that servers are normal.
func (m *Module) uncongested(zone *zoneState) bool {
	if shedding := m.sheddingByZone[zone.name]; shedding != nil && shedding.dropOther > 0 {
		return false
	}
	return slices.ContainsFunc(zone.servers, func(s *server) bool {
		return m.usable(s) && s.mode == balance.Normal && !s.cold
	})
}

// updateSpillover adjusts, once per WeightInterval, the fraction of its own requests that each
// zone keeps: it decreases while none of the zone's servers is normal and increases while one is.
// A zone spills over until it keeps all of them.
func (m *Module) updateSpillover() {
	if m.spilloverAt != 0 && m.now-m.spilloverAt < m.settings.WeightInterval {
		return
	}
	m.spilloverAt = m.now
	zones := m.zoneStates()
	for name, zone := range zones {
		if zone.usable == 0 || zone.demand == 0 {
			continue
		}
		otherHasRoom := false
		for otherName, otherZone := range zones {
			otherHasRoom = otherHasRoom || otherName != name && otherZone.usable > 0 && m.spareCapacity(otherZone) > 0
		}
		local, spilling := m.localFraction[name]
		before := local
		switch uncongested := m.uncongested(zone); {
		case uncongested && !spilling:
			continue
		case !uncongested && !otherHasRoom:
			continue // guards against a fraction that falls without effect and then shifts load all at once
		case uncongested:
			local *= localIncrease
		case !spilling:
			local = initialLocalFraction
		default:
			local *= localDecrease
		}
		if local = math.Max(minLocalFraction, local); local >= 1 {
			delete(m.localFraction, name)
		} else {
			m.localFraction[name] = local
		}
		m.dirty = m.dirty || local != before
	}
}

// peakRateOf returns a server's rate when warm: its own, or if it has shown none yet that of the
// others by base weight. If no rate is known it returns 0, but assumedPeakRate for a cold server,
// which must not count as unlimited.
func (m *Module) peakRateOf(s *server) float64 {
	if s.peakRate > 0 && s.answeredCount >= minAnswered {
		return s.peakRate
	}
	peak := math.Max(m.unitPeakRate*s.baseWeight, s.peakRate)
	if peak == 0 && s.cold {
		peak = assumedPeakRate
	}
	return peak
}

// locality returns a zone's endpoints, and the fraction of its requests to drop because only cold
// servers are left. Cold servers are sent at most their current capacity, estimated from the rates
// of warm ones and counting dropped requests and retries. So one fails only if OverloadFactor
// times the reported traffic arrives.
func (m *Module) locality(zone *zoneState) ([]Endpoint, float64) {
	weights := make([]float64, len(zone.servers))
	limits := make([]float64, len(zone.servers)) // as fractions of the zone's traffic
	total, limitSum := 0.0, 0.0
	for i, srv := range zone.servers {
		if !m.usable(srv) {
			continue
		}
		weights[i], limits[i] = srv.weight*m.warmupFraction(srv), math.Inf(1)
		if peak := m.peakRateOf(srv); srv.cold && peak > 0 && zone.maxTraffic > 0 {
			limits[i] = coldLoadFraction * m.warmupFraction(srv) * peak / zone.maxTraffic
		}
		total, limitSum = total+weights[i], limitSum+limits[i]
	}
	drop := 0.0
	if limitSum < 1 && zone.usable > 0 { // no warm server, and the cold ones cannot take all
		copy(weights, limits)
		drop = 1 - limitSum
	} else {
		capWeights(weights, limits)
	}
	groups := m.assignGroups(zone, weights)
	maxWeight := 0.0
	for _, w := range weights {
		maxWeight = math.Max(maxWeight, w)
	}
	var endpoints []Endpoint
	for i, srv := range zone.servers {
		endpoint := Endpoint{ID: srv.ID, Addr: srv.Addr, Cell: srv.Cell, Weight: 1}
		if groups != nil {
			endpoint.Groups = groups[i]
		}
		switch {
		case srv.Draining:
			endpoint.Health = Draining
		case srv.excluded:
			endpoint.Health = Excluded
		default:
			// Rounding down cold servers and up the others keeps a cold server's fraction from
			// growing.
			w := weights[i] / maxWeight * MaxWeight
			if srv.cold {
				w = math.Floor(w)
			}
			endpoint.Weight = uint32(math.Min(MaxWeight, math.Max(1, math.Ceil(w))))
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, drop
}

// assignGroups returns which proxy groups see which servers of a zone, and adjusts the weights so
// that each server keeps its fraction of the load. It returns nil if all proxies see all servers:
// the zone is small, or no weights keep the balance.
func (m *Module) assignGroups(zone *zoneState, weights []float64) []subset.GroupSet {
	groupCount := subset.GroupsPerServer(len(zone.servers), m.settings.SubsetSize)
	if m.settings.SubsetSize == 0 || groupCount == subset.GroupCount {
		return nil
	}
	var groupShares [subset.GroupCount + 1]float64
	total, sum := 0.0, 0.0
	for _, p := range m.sortedProxies {
		rate := p.arrivalRate() * m.zoneFraction(p.zone, zone.name)
		if total += rate; p.fullView {
			groupShares[subset.GroupCount] += rate
		} else {
			groupShares[p.group] += rate
		}
	}
	for _, w := range weights {
		sum += w
	}
	if total == 0 || sum == 0 {
		return nil
	}
	for g := range groupShares {
		groupShares[g] /= total
	}
	groups, wanted := make([]subset.GroupSet, len(weights)), make([]float64, len(weights))
	for i, s := range zone.servers {
		groups[i], wanted[i] = s.groupRanking.First(groupCount), weights[i]/sum
	}
	balanced, worst := subset.BalanceGroups(groups, wanted, groupShares)
	if worst > maxSubsetDeviation {
		return nil
	}
	copy(weights, balanced)
	return groups
}

// zoneFraction returns the fraction of one zone's requests that goes to another in the state being
// composed.
func (m *Module) zoneFraction(from, to string) float64 {
	if zone := m.composingZones[from]; zone != nil {
		return zone.split[to]
	}
	return 0
}

// arrivalRate returns the requests per second arriving at a proxy by its last report.
func (p *proxy) arrivalRate() float64 {
	return math.Max(p.priorityRate+p.otherRate, p.sendRate/(1+RetryBudgetPercent/100.0))
}

// fullViewProxies returns the proxies that see all servers. Two thresholds keep a proxy from
// switching back and forth.
func (m *Module) fullViewProxies() []ProxyID {
	if m.settings.SubsetSize == 0 {
		return nil
	}
	total := 0.0
	for _, p := range m.sortedProxies {
		total += p.arrivalRate()
	}
	var ids []ProxyID
	for _, p := range m.sortedProxies {
		if fraction := p.arrivalRate() / math.Max(1, total); fraction > fullViewFraction {
			p.fullView = true
		} else if fraction < fullViewFraction/2 {
			p.fullView = false
		}
		if p.fullView {
			ids = append(ids, p.id)
		}
	}
	return ids
}

// capWeights lowers weights until none exceeds its limit, which is a fraction of their sum; the
// other weights get the difference. The limits sum to 1 or more.
func capWeights(weights, limits []float64) {
	order := make([]int, 0, len(weights))
	uncapped := 0.0 // sum of the weights that are not lowered
	for i, w := range weights {
		if uncapped += w; w > 0 && !math.IsInf(limits[i], 1) {
			order = append(order, i)
		}
	}
	// The weight furthest over its limit comes first. The sort is stable, so that the same weights
	// give the same result.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(weights[b]*limits[a], weights[a]*limits[b])
	})
	capped := 0.0 // sum of the limits that are reached
	cappedCount := 0
	for ; cappedCount < len(order); cappedCount++ {
		i := order[cappedCount]
		if weights[i]*(1-capped) <= limits[i]*uncapped {
			break
		}
		capped, uncapped = capped+limits[i], uncapped-weights[i]
	}
	for _, i := range order[:cappedCount] {
		weights[i] = limits[i] * uncapped / math.Max(1e-9, 1-capped)
	}
}

// compose builds the state from the current decisions.
func (m *Module) compose() *State {
	state := &State{Confirmed: m.confirmed, Views: map[string]*View{}, FullViewProxies: m.fullViewProxies()}
	zones := m.zoneStates()
	m.composingZones = zones
	type zoneParts struct {
		endpoints               []Endpoint
		dropPriority, dropOther float64 // fractions of the zone's requests to drop
	}
	parts, names := map[string]zoneParts{}, make([]string, 0, len(zones))
	for name, zone := range zones {
		endpoints, coldDrop := m.locality(zone)
		built := zoneParts{endpoints: endpoints}
		built.dropPriority, built.dropOther = m.dropFractions(name, coldDrop, zones)
		parts[name] = built
		if len(zone.servers) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	limit := m.requestLimit()
	// addView adds the view of a zone whose requests are split as given.
	addView := func(zone string, split, retrySplit map[string]float64) {
		view := &View{Zone: zone, MaxRequests: limit}
		priorityRate, otherRate, total := m.zoneArrivals(zone)
		// Proxies drop before they choose a zone. So zone weights count admitted requests, and the
		// drop ratios are the fractions that no zone admits.
		sum, admittedPriority, admittedOther, maxAdmitted := 0.0, 0.0, 0.0, 0.0
		admitted := map[string]float64{}
		for _, name := range names {
			priorityFraction, otherFraction := split[name]*(1-parts[name].dropPriority), split[name]*(1-parts[name].dropOther)
			sum, admittedPriority, admittedOther =
				sum+split[name], admittedPriority+priorityFraction, admittedOther+otherFraction
			admitted[name] = (priorityRate*priorityFraction + otherRate*otherFraction) / total
			maxAdmitted = math.Max(maxAdmitted, admitted[name])
		}
		if sum > 0 {
			view.DropPriorityPPM, view.DropOtherPPM =
				ceilPercentPPM(1-admittedPriority/sum), ceilPercentPPM(1-admittedOther/sum)
		}
		// Priority 0 holds the destinations of split. Priority 1 holds those of retries, and zones
		// without usable servers, which are listed for their health only.
		for _, priority := range []uint32{0, 1} {
			for _, name := range names {
				fraction := split[name]
				if (fraction > 0) != (priority == 0) || priority == 1 && retrySplit[name] == 0 && zones[name].usable > 0 {
					continue
				}
				locality := Locality{Zone: name, Priority: priority, Weight: 1, Endpoints: parts[name].endpoints}
				switch {
				case priority == 0 && maxAdmitted > 0:
					locality.Weight = uint32(math.Max(1, admitted[name]/maxAdmitted*MaxWeight))
				case priority == 1:
					locality.Weight = uint32(math.Max(1, retrySplit[name]*MaxWeight))
				}
				view.Localities = append(view.Localities, locality)
			}
		}
		// Guards against priorities that do not start at 0.
		if len(view.Localities) > 0 && view.Localities[0].Priority != 0 {
			for i := range view.Localities {
				view.Localities[i].Priority = 0
			}
		}
		state.Views[zone] = view
	}
	for _, built := range parts {
		for _, endpoint := range built.endpoints {
			state.Subsetted = state.Subsetted || endpoint.Groups != 0
		}
	}
	// Proxies of unlisted zones spread their requests evenly over all usable servers.
	even := map[string]float64{}
	for _, name := range names {
		even[name] = float64(zones[name].usable)
	}
	addView("", even, nil)
	for name, zone := range zones {
		if name != "" {
			addView(name, zone.split, zone.retrySplit)
		}
	}
	return state
}

// zoneArrivals returns the requests per second arriving at a zone's proxies, or at all proxies if
// none there has reported any, and their sum, which is always positive.
func (m *Module) zoneArrivals(zone string) (priorityRate, otherRate, total float64) {
	for _, p := range m.sortedProxies {
		if p.zone == zone {
			priorityRate, otherRate = priorityRate+p.priorityRate, otherRate+p.otherRate
		}
	}
	if priorityRate+otherRate == 0 {
		for _, p := range m.sortedProxies {
			priorityRate, otherRate = priorityRate+p.priorityRate, otherRate+p.otherRate
		}
	}
	if priorityRate+otherRate == 0 {
		otherRate = 1
	}
	return priorityRate, otherRate, priorityRate + otherRate
}

// dropFractions returns the fractions of priority and other requests for a zone to drop: for load
// shedding, and for what its servers cannot take while all of them are cold.
func (m *Module) dropFractions(
	zone string, coldDrop float64, zones map[string]*zoneState,
) (dropPriority, dropOther float64) {
	if shedding := m.sheddingByZone[zone]; shedding != nil {
		dropPriority, dropOther = shedding.dropPriority, shedding.dropOther
	}
	if coldDrop > 0 {
		priorityRate, otherRate := m.arrivals(zone, zones)
		if priorityRate+otherRate == 0 {
			otherRate = 1
		}
		coldPriority, coldOther := balance.ShedSplit(coldDrop, priorityRate, otherRate)
		dropPriority, dropOther = math.Max(dropPriority, coldPriority), math.Max(dropOther, coldOther)
	}
	return dropPriority, dropOther
}

// ceilPercentPPM rounds a fraction up to whole per cent and returns it in parts per million.
func ceilPercentPPM(fraction float64) uint32 {
	return uint32(math.Ceil(math.Min(1, math.Max(0, fraction))*100-1e-9)) * 10_000
}

// requestLimit returns the limit of open requests of one proxy: its even share of what all servers
// can hold, with headroom for random variation, and at least what it sends until a silent server
// is excluded. Powers of two keep it from changing often.
func (m *Module) requestLimit() uint32 {
	if m.baseDelay == 0 {
		return initialRequestLimit
	}
	capacity, sendRate := 0.0, 0.0
	for _, s := range m.sortedServers {
		if m.usable(s) {
			capacity += blockFactor*m.highMark(s) + 1
		}
	}
	for _, p := range m.sortedProxies {
		sendRate += p.sendRate
	}
	perProxy := math.Max(minRequestLimit,
		math.Max(requestLimitHeadroom*capacity, silentHoldSeconds*sendRate)/math.Max(1, float64(len(m.sortedProxies))))
	return uint32(math.Exp2(math.Ceil(math.Log2(math.Min(perProxy, 1<<20)))))
}
