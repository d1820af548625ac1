package node

import (
	"context"
	"encoding/json"
	"log"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"ivylock/balance"
	"ivylock/fleet/follow"
	"ivylock/fleet/member"
	"ivylock/fleet/shares"
	"ivylock/fleet/version"
	"ivylock/internal/backend"
	"ivylock/internal/build"
	"ivylock/internal/console"
	"ivylock/internal/discovery"
	"ivylock/internal/figures"
	"ivylock/internal/recordfile"
	"ivylock/maintenance"
)

// FleetConfig switches on that a node tells the others what it acts on, and keeps up
// with them (docs/audit.md).
type FleetConfig struct {
	Member         member.Config // but for what the configuration says; Peers where there are ranges
	RecordFile     string        // takes the record; empty: the console alone tells it
	RecordInterval time.Duration // how often
}

const (
	holdsPerNarrow = 3 // calls of a watch that end within the time after which a node narrows
	closedHoldOff  = time.Second
	recordEndTime  = 100 * time.Millisecond // for the last record: the process has 0.2 s until SIGKILL then
	unreadTime     = 150 * time.Millisecond // after a stop, in which what came meanwhile is read
	spareTime      = 120 * time.Millisecond // that a request which waits must have left: longer than a tick
)

// fleet is the node's side of package member: it carries out what that decides. All
// but what is atomic is the loop's.
type fleet struct {
	cfg     *FleetConfig
	member  *member.Member
	agent   *follow.Agent // the member's
	waiting []*Request    // that came while the node waits to hear whether what it believes still holds
	changed bool
	used    uint64 // digest of the servers that may be used while it has narrowed
	turnAt  atomic.Int64
	wokeAt  atomic.Int64
	gap     atomic.Int64 // how long it stood still then
	shut    atomic.Bool
	write   func(path string, r *version.Record) error // appends to the record's file
}

// What the loop is told of the fleet.
type (
	fleetHeard   member.DatagramReceived
	recordWanted chan version.Record
)

// newFleet gives nil where the fleet is switched off or datagrams are not allowed.
func newFleet(cfg *Config, now balance.Time) *fleet {
	if cfg.Fleet == nil || cfg.PeerListen == "" || !cfg.Settings.MayMessage {
		return nil
	}
	f := &fleet{cfg: cfg.Fleet, write: recordfile.Append}
	c := cfg.Fleet.Member
	c.Name, c.Self, c.Nodes, c.Seed, c.SettingsDigest, c.BuildDigest = cfg.Name, cfg.Settings.Self, len(cfg.Peers), cfg.Seed, cfg.settingsDigest, build.Digest()
	for _, t := range cfg.Settings.Tenants {
		c.TenantQuotas = append(c.TenantQuotas, shares.Quota{Name: t.Name, Rate: t.Quota})
	}
	if len(c.AllowedPrefixes) > 0 {
		c.Addr = c.Peers[c.Self]
	}
	f.member = member.New(c, now)
	f.agent = f.member.Agent()
	f.turnAt.Store(int64(now))
	return f
}

// digestOf gives the digest of settings, without what differs from node to node.
func digestOf(settings []byte) uint16 {
	var all map[string]any
	if json.Unmarshal(settings, &all) != nil {
		return version.Digest(settings)
	}
	delete(all, "slot_no")
	delete(all, "zone")
	same, err := json.Marshal(all) // in the order of the keys
	if err != nil {
		return version.Digest(settings)
	}
	return version.Digest(same)
}

// hold is how long a call of the watch may wait: the answer shows that the list is
// current, also when there is no news.
func (f *fleet) hold() time.Duration { return f.cfg.Member.Follow.NarrowAfter / holdsPerNarrow }

// stoodStill tells whether the loop has not run for so long that what it believes
// must not be acted on before it has looked.
func (f *fleet) stoodStill(now balance.Time) bool {
	return now-balance.Time(f.turnAt.Load()) > f.cfg.Member.Follow.PauseThreshold
}

// PauseDelay is how long a request that is read now may have waited unread, as the whole
// process stood still: its time counts from its client's sending.
func (n *Node) PauseDelay() time.Duration {
	f := n.fleet
	if f == nil {
		return 0
	}
	now := n.now()
	if gap := now - balance.Time(f.turnAt.Load()); gap > f.cfg.Member.Follow.PauseThreshold {
		return gap // the loop has not found out yet
	}
	if now-balance.Time(f.wokeAt.Load()) < unreadTime {
		return time.Duration(f.gap.Load())
	}
	return 0
}

// turn marks a turn of the loop. After a gap the process stood still: all that it
// believes is old, and what has run out of time is answered first.
func (n *Node) turn() {
	if n.fleet == nil {
		return
	}
	now := n.now()
	gap := now - balance.Time(n.fleet.turnAt.Load())
	if gap > n.fleet.cfg.Member.Follow.PauseThreshold {
		n.fleet.gap.Store(int64(gap))
		n.fleet.wokeAt.Store(int64(now))
		for _, r := range n.requests {
			if time.Until(r.Deadline) <= 0 && n.finish(r, Response{Status: http.StatusBadGateway, Reason: figures.TurnedDeadline}) {
				n.handle(balance.RequestAbandoned{ID: r.ID})
				n.forgetRequest(r)
			}
		}
		n.fleetDo(member.Resumed{Gap: gap})
	}
	n.fleet.turnAt.Store(int64(now))
}

// fleetDo gives an event to the member and carries out what it wants.
func (n *Node) fleetDo(e member.Event) {
	f := n.fleet
	if f == nil {
		return
	}
	for _, a := range f.member.Handle(n.now(), e) {
		switch a := a.(type) {
		case member.Send:
			n.peers.sendTo(a.To, a.Data)
		case member.Deliver:
			n.handle(balance.MessageReceived{From: a.From, Data: a.Data})
		case member.ServersChanged:
			f.changed = true
		case member.QuerySource:
			n.source.RestartWatch()
		case member.AllocationChanged:
			n.handle(balance.ShareUpdate{TenantRates: a.Quotas, EffectiveNodes: a.EquivalentNodes})
			if a.EquivalentNodes >= 1 && a.EquivalentNodes != n.sharing {
				n.sharing = a.EquivalentNodes
				n.source.SetNodes(n.sharing)
			}
		case member.FleetChanged:
			n.handle(balance.FleetChanged{Nodes: a.Processes})
		case member.Log:
			log.Print("fleet: ", a.Line)
		}
	}
	if s, is := e.(member.SourceEvent); !is || !listed(s.Event) { // there the list itself is told next
		n.fleetChanged()
	}
	f.shut.Store(!f.agent.AcceptsRequests())
	n.fleetRelease(false)
}

func listed(word follow.Event) bool {
	_, is := word.(follow.ListReceived)
	return is
}

// fleetChanged tells the module anew what may be used, if that has changed.
func (n *Node) fleetChanged() {
	if n.fleet != nil && n.fleet.changed {
		n.fleet.changed = false
		n.reapplyList()
	}
}

// fleetTick is the round of checks.
func (n *Node) fleetTick() {
	if n.fleet == nil {
		return
	}
	n.fleetDo(member.Tick{})
	if n.fleet.agent.MinAnswerTime(n.now()) == 0 {
		return
	}
	used := uint64(0)
	for name := range n.list.Entries() {
		if b := n.servers[n.ids[name]]; !n.fleetOut(name, b) {
			used += uint64(version.KeyOf(name))
		}
	}
	if used != n.fleet.used {
		n.fleet.used = used
		n.reapplyList()
	}
}

// fleetList tells the agent of a word of discovery.
func (n *Node) fleetList(e discovery.Update) {
	if n.fleet == nil {
		return
	}
	kinds := map[balance.ListKind]follow.ListKind{balance.ListChanges: follow.Delta, balance.ListFull: follow.Full, balance.ListCached: follow.Cached}
	states := map[balance.ServerState]version.State{balance.Ready: version.Up, balance.Draining: version.Draining, balance.Removed: version.Removed}
	l := follow.ListReceived{Kind: kinds[e.Kind], Generation: e.List.Generation}
	for _, x := range e.List.Instances {
		l.Entries = append(l.Entries, follow.Entry{Name: x.InstanceID, State: states[discovery.LifecycleStates[x.Lifecycle]],
			StartedAt: time.Duration(x.StartedAtMs) * time.Millisecond})
	}
	n.fleetDo(member.SourceEvent{Event: l})
}

// fleetOut tells whether a server that the list has up is not to be used, by a
// neighbour's word or for want of a sign that it still is up.
func (n *Node) fleetOut(name string, b *backend.Server) bool {
	if n.fleet == nil {
		return false
	}
	fresh := n.fleet.agent.MinAnswerTime(n.now())
	return n.fleet.agent.Withdrawn(name) || fresh > 0 && (b == nil || b.Answered < fresh)
}

// admit tells whether a request goes on to the module now. One that does not waits,
// or has been refused.
func (n *Node) admit(r *Request) bool {
	f := n.fleet
	until := f.agent.HoldUntil()
	holds := until > 0 && n.now() < until
	if holds && time.Until(r.Deadline) > spareTime && len(f.waiting) < n.cfg.Settings.MaxOpenRequests {
		f.waiting = append(f.waiting, r)
		return false
	}
	if !holds && f.agent.AcceptsRequests() {
		return true
	}
	f.agent.Recorder().CountStaleRefusal()
	a := Response{Status: http.StatusServiceUnavailable, Reason: figures.TurnedStale}
	if n.cfg.Settings.RetryAfterSupported {
		a.RetryAfter = min(closedHoldOff, n.cfg.Settings.MaxRetryAfter)
	}
	n.finish(r, a)
	return false
}

// fleetRelease lets requests go on that waited, or, at the end, refuses them:
// nothing of them was sent.
func (n *Node) fleetRelease(end bool) {
	f := n.fleet
	if f == nil || len(f.waiting) == 0 {
		return
	}
	until := f.agent.HoldUntil()
	holds := !end && until > 0 && n.now() < until
	waiting := f.waiting
	f.waiting = nil
	for _, r := range waiting {
		switch {
		case r.isOver(): // its client is gone
		case holds && time.Until(r.Deadline) > spareTime:
			f.waiting = append(f.waiting, r)
		case holds || end || time.Until(r.Deadline) <= 0:
			n.finish(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.TurnedStale})
		default:
			n.takeRequest(r)
		}
	}
}

// fleetWorded tells the agent which words of maintenance are in force.
func (n *Node) fleetWorded() {
	if n.fleet == nil {
		return
	}
	digest := uint16(0)
	if records := n.byHand.Records(); len(records) > 0 {
		digest = wordsDigest(records)
	}
	n.fleetDo(member.SourceEvent{Event: follow.MaintenanceChanged{Digest: digest}})
}

func wordsDigest(records []maintenance.Record) uint16 {
	raw, err := json.Marshal(records)
	if err != nil {
		return 1
	}
	return version.Digest(raw)
}

// fleetFigures publishes the fleet's figures.
func (n *Node) fleetFigures() {
	if n.fleet == nil {
		return
	}
	var all []figures.Named
	for _, f := range n.fleet.member.Figures(n.now()) {
		all = append(all, figures.Named{Name: f.Name, Kind: f.Kind, Value: f.Value})
	}
	n.figures.SetFleet(all)
}

// makeRecord makes the record as of now; for the loop.
func (n *Node) makeRecord() version.Record {
	r := n.fleet.member.Record(n.now())
	for _, id := range n.module.ServersInUse() {
		if b := n.servers[id]; b != nil {
			r.ServersInUse = append(r.ServersInUse, b.Name)
		}
	}
	slices.Sort(r.ServersInUse)
	return r
}

// record gives what the node has acted on.
func (n *Node) record(ctx context.Context) (version.Record, error) {
	if n.fleet == nil {
		return version.Record{}, console.ErrOff
	}
	want := make(recordWanted, 1)
	select {
	case n.events <- want:
	case <-n.done:
		return version.Record{}, errBusy
	case <-ctx.Done():
		return version.Record{}, errBusy
	}
	select {
	case r := <-want:
		return r, nil
	case <-n.done:
		return version.Record{}, errBusy
	case <-ctx.Done():
		return version.Record{}, errBusy
	}
}

// FleetRecord gives it in JSON, for operators.
func (n *Node) FleetRecord(ctx context.Context) ([]byte, error) {
	r, err := n.record(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// recordAll writes the record to the operator's file, until the loop has ended.
func (n *Node) recordAll() {
	every := time.NewTicker(n.fleet.cfg.RecordInterval)
	defer every.Stop()
	failed := false
	for {
		select {
		case <-every.C:
		case <-n.done:
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), n.fleet.cfg.RecordInterval)
		r, err := n.record(ctx)
		cancel()
		if err == nil {
			err = n.fleet.write(n.fleet.cfg.RecordFile, &r)
		}
		if err != nil && !failed {
			log.Printf("fleet: the record is not written: %v", err)
		}
		failed = err != nil
	}
}

// recordEnd writes the record a last time, as that of a process that ended in
// order.
func (n *Node) recordEnd() {
	if n.fleet == nil || n.fleet.cfg.RecordFile == "" {
		return
	}
	r := n.makeRecord()
	r.Ended = true
	written := make(chan error, 1)
	go func() { written <- n.fleet.write(n.fleet.cfg.RecordFile, &r) }()
	select {
	case err := <-written:
		if err != nil {
			log.Printf("fleet: the last record is not written: %v", err)
		}
	case <-time.After(recordEndTime): // guards against a disk that keeps the process from ending
		log.Printf("fleet: the last record is not written after %v", recordEndTime)
	}
}
