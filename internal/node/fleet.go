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

// FleetConfig enables the exchange of fleet state with other nodes (docs/audit.md).
type FleetConfig struct {
	Member         member.Config // without what Config provides; Peers only with AllowedPrefixes
	RecordFile     string        // file that records are appended to; empty: available at the console only
	RecordInterval time.Duration
}

const (
	pollsPerNarrowing  = 3 // watch polls that complete within NarrowAfter
	staleRetryAfter    = time.Second
	finalRecordTimeout = 100 * time.Millisecond // limit on writing the last record
	backlogTime        = 150 * time.Millisecond // time after a process pause in which queued requests are read
	minSpareTime       = 120 * time.Millisecond // client time needed to hold a request; longer than a tick
)

// fleet connects the node to package member and executes its actions. Fields that are not
// atomic belong to the loop.
type fleet struct {
	cfg          *FleetConfig
	member       *member.Member
	agent        *follow.Agent
	waiting      []*Request // held until the node knows whether its state is current
	changed      bool
	usedDigest   uint64       // digest of the listed servers that excludedByFleet does not exclude
	loopRanAt    atomic.Int64 // when the loop last ran; ns
	resumedAt    atomic.Int64 // when the latest process pause was detected; ns
	pause        atomic.Int64 // length of the latest process pause; ns
	notReady     atomic.Bool
	appendRecord func(path string, r *version.Record) error // appends a record to the file
}

// Events of the loop for the fleet.
type (
	fleetDatagram member.DatagramReceived
	recordRequest chan version.Record
)

// newFleet returns nil if the fleet is disabled or datagrams are not allowed.
func newFleet(cfg *Config, now balance.Time) *fleet {
	if cfg.Fleet == nil || cfg.PeerListen == "" || !cfg.Settings.MayMessage {
		return nil
	}
	f := &fleet{cfg: cfg.Fleet, appendRecord: recordfile.Append}
	memberConfig := cfg.Fleet.Member
	memberConfig.Name, memberConfig.Self, memberConfig.Nodes, memberConfig.Seed, memberConfig.SettingsDigest, memberConfig.BuildDigest = cfg.Name, cfg.Settings.Self, len(cfg.Peers), cfg.Seed, cfg.settingsDigest, build.Digest()
	for _, t := range cfg.Settings.Tenants {
		memberConfig.TenantQuotas = append(memberConfig.TenantQuotas, shares.Quota{Name: t.Name, Rate: t.Quota})
	}
	if len(memberConfig.AllowedPrefixes) > 0 {
		memberConfig.Addr = memberConfig.Peers[memberConfig.Self]
	}
	f.member = member.New(memberConfig, now)
	f.agent = f.member.Agent()
	f.loopRanAt.Store(int64(now))
	return f
}

// digestSettings returns a digest of the settings without the fields that differ between
// nodes.
func digestSettings(settings []byte) uint16 {
	var all map[string]any
	if json.Unmarshal(settings, &all) != nil {
		return version.Digest(settings)
	}
	delete(all, "slot_no")
	delete(all, "zone")
	common, err := json.Marshal(all) // keys are sorted
	if err != nil {
		return version.Digest(settings)
	}
	return version.Digest(common)
}

// pollWait returns how long a poll of the watch may wait. Its response confirms that the
// list is current even if nothing changed.
func (f *fleet) pollWait() time.Duration { return f.cfg.Member.Follow.NarrowAfter / pollsPerNarrowing }

// paused reports whether the loop has not run for so long that its state must be verified
// before use.
func (f *fleet) paused(now balance.Time) bool {
	return now-balance.Time(f.loopRanAt.Load()) > f.cfg.Member.Follow.PauseThreshold
}

// PauseDelay returns how long a request that is read now may have waited unread during a
// process pause. The client's timeout includes that wait.
func (n *Node) PauseDelay() time.Duration {
	f := n.fleet
	if f == nil {
		return 0
	}
	now := n.now()
	if gap := now - balance.Time(f.loopRanAt.Load()); gap > f.cfg.Member.Follow.PauseThreshold {
		return gap // the loop has not detected the pause yet
	}
	if now-balance.Time(f.resumedAt.Load()) < backlogTime {
		return time.Duration(f.pause.Load())
	}
	return 0
}

// detectPause records that the loop runs. A long gap since the previous call is a process
// pause: the state is stale, and expired requests are failed first.
func (n *Node) detectPause() {
	if n.fleet == nil {
		return
	}
	now := n.now()
	gap := now - balance.Time(n.fleet.loopRanAt.Load())
	if gap > n.fleet.cfg.Member.Follow.PauseThreshold {
		n.fleet.pause.Store(int64(gap))
		n.fleet.resumedAt.Store(int64(now))
		for _, r := range n.requests {
			if time.Until(r.Deadline) <= 0 && n.finish(r, Response{Status: http.StatusBadGateway, Reason: figures.RejectedDeadline}) {
				n.handle(balance.RequestAbandoned{ID: r.ID})
				n.removeRequest(r)
			}
		}
		n.handleFleetEvent(member.Resumed{Gap: gap})
	}
	n.fleet.loopRanAt.Store(int64(now))
}

// handleFleetEvent passes an event to the member and executes the returned actions.
func (n *Node) handleFleetEvent(e member.Event) {
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
			if a.EquivalentNodes >= 1 && a.EquivalentNodes != n.discoveryNodes {
				n.discoveryNodes = a.EquivalentNodes
				n.source.SetNodes(n.discoveryNodes)
			}
		case member.FleetChanged:
			n.handle(balance.FleetChanged{Nodes: a.Processes})
		case member.Log:
			log.Print("fleet: ", a.Line)
		}
	}
	if s, is := e.(member.SourceEvent); !is || !isListEvent(s.Event) { // a list event is followed by the list itself
		n.reapplyIfFleetChanged()
	}
	f.notReady.Store(!f.agent.AcceptsRequests())
	n.releaseWaiting(false)
}

func isListEvent(e follow.Event) bool {
	_, is := e.(follow.ListReceived)
	return is
}

// reapplyIfFleetChanged reapplies the list if the set of usable servers has changed.
func (n *Node) reapplyIfFleetChanged() {
	if n.fleet != nil && n.fleet.changed {
		n.fleet.changed = false
		n.reapplyList()
	}
}

// tickFleet runs the periodic checks of the fleet.
func (n *Node) tickFleet() {
	if n.fleet == nil {
		return
	}
	n.handleFleetEvent(member.Tick{})
	if n.fleet.agent.MinAnswerTime(n.now()) == 0 {
		return
	}
	digest := uint64(0)
	for name := range n.list.Entries() {
		if server := n.servers[n.serverIDs[name]]; !n.excludedByFleet(name, server) {
			digest += uint64(version.KeyOf(name))
		}
	}
	if digest != n.fleet.usedDigest {
		n.fleet.usedDigest = digest
		n.reapplyList()
	}
}

// reportListToFleet passes an update of discovery to the agent.
func (n *Node) reportListToFleet(e discovery.Update) {
	if n.fleet == nil {
		return
	}
	kinds := map[balance.ListKind]follow.ListKind{balance.ListChanges: follow.Delta, balance.ListFull: follow.Full, balance.ListCached: follow.Cached}
	states := map[balance.ServerState]version.State{balance.Ready: version.Up, balance.Draining: version.Draining, balance.Removed: version.Removed}
	update := follow.ListReceived{Kind: kinds[e.Kind], Generation: e.List.Generation}
	for _, entry := range e.List.Instances {
		update.Entries = append(update.Entries, follow.Entry{Name: entry.InstanceID, State: states[discovery.LifecycleStates[entry.Lifecycle]],
			StartedAt: time.Duration(entry.StartedAtMs) * time.Millisecond})
	}
	n.handleFleetEvent(member.SourceEvent{Event: update})
}

// excludedByFleet reports whether a server that is up in the list must not be used: peers
// reported its departure, or it has not answered recently enough.
func (n *Node) excludedByFleet(name string, server *backend.Server) bool {
	if n.fleet == nil {
		return false
	}
	oldest := n.fleet.agent.MinAnswerTime(n.now())
	return n.fleet.agent.Withdrawn(name) || oldest > 0 && (server == nil || server.LastResponseAt < oldest)
}

// admit reports whether a request may go to the module now. Otherwise the request is held
// or has been refused.
func (n *Node) admit(r *Request) bool {
	f := n.fleet
	until := f.agent.HoldUntil()
	holding := until > 0 && n.now() < until
	if holding && time.Until(r.Deadline) > minSpareTime && len(f.waiting) < n.cfg.Settings.MaxOpenRequests {
		f.waiting = append(f.waiting, r)
		return false
	}
	if !holding && f.agent.AcceptsRequests() {
		return true
	}
	f.agent.Recorder().CountStaleRefusal()
	resp := Response{Status: http.StatusServiceUnavailable, Reason: figures.RejectedStaleState}
	if n.cfg.Settings.RetryAfterSupported {
		resp.RetryAfter = min(staleRetryAfter, n.cfg.Settings.MaxRetryAfter)
	}
	n.finish(r, resp)
	return false
}

// releaseWaiting resumes the held requests, or refuses them at shutdown. None of them has
// been sent.
func (n *Node) releaseWaiting(end bool) {
	f := n.fleet
	if f == nil || len(f.waiting) == 0 {
		return
	}
	until := f.agent.HoldUntil()
	holding := !end && until > 0 && n.now() < until
	waiting := f.waiting
	f.waiting = nil
	for _, r := range waiting {
		switch {
		case r.hasEnded(): // the client has disconnected
		case holding && time.Until(r.Deadline) > minSpareTime:
			f.waiting = append(f.waiting, r)
		case holding || end || time.Until(r.Deadline) <= 0:
			n.finish(r, Response{Status: http.StatusServiceUnavailable, Reason: figures.RejectedStaleState})
		default:
			n.acceptRequest(r)
		}
	}
}

// reportMaintenanceToFleet passes the digest of the maintenance records to the agent.
func (n *Node) reportMaintenanceToFleet() {
	if n.fleet == nil {
		return
	}
	digest := uint16(0)
	if records := n.maintenance.Records(); len(records) > 0 {
		digest = maintenanceDigest(records)
	}
	n.handleFleetEvent(member.SourceEvent{Event: follow.MaintenanceChanged{Digest: digest}})
}

func maintenanceDigest(records []maintenance.Record) uint16 {
	raw, err := json.Marshal(records)
	if err != nil {
		return 1
	}
	return version.Digest(raw)
}

// publishFleetMetrics publishes the metrics of the fleet.
func (n *Node) publishFleetMetrics() {
	if n.fleet == nil {
		return
	}
	var all []figures.NamedMetric
	for _, f := range n.fleet.member.Figures(n.now()) {
		all = append(all, figures.NamedMetric{Name: f.Name, Kind: f.Kind, Value: f.Value})
	}
	n.metrics.SetFleetMetrics(all)
}

// buildRecord returns the current record. It must be called by the loop.
func (n *Node) buildRecord() version.Record {
	r := n.fleet.member.Record(n.now())
	for _, id := range n.module.ServersInUse() {
		if server := n.servers[id]; server != nil {
			r.ServersInUse = append(r.ServersInUse, server.Name)
		}
	}
	slices.Sort(r.ServersInUse)
	return r
}

// record returns the record of what the node has acted on.
func (n *Node) record(ctx context.Context) (version.Record, error) {
	if n.fleet == nil {
		return version.Record{}, console.ErrFleetDisabled
	}
	reply := make(recordRequest, 1)
	select {
	case n.events <- reply:
	case <-n.done:
		return version.Record{}, errBusy
	case <-ctx.Done():
		return version.Record{}, errBusy
	}
	select {
	case r := <-reply:
		return r, nil
	case <-n.done:
		return version.Record{}, errBusy
	case <-ctx.Done():
		return version.Record{}, errBusy
	}
}

// FleetRecord returns the record as JSON, for operators.
func (n *Node) FleetRecord(ctx context.Context) ([]byte, error) {
	r, err := n.record(ctx)
	if err != nil {
		return nil, err
	}
	return json.Marshal(r)
}

// writeRecords appends the record to the configured file periodically until the loop has
// ended.
func (n *Node) writeRecords() {
	ticker := time.NewTicker(n.fleet.cfg.RecordInterval)
	defer ticker.Stop()
	failed := false
	for {
		select {
		case <-ticker.C:
		case <-n.done:
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), n.fleet.cfg.RecordInterval)
		r, err := n.record(ctx)
		cancel()
		if err == nil {
			err = n.fleet.appendRecord(n.fleet.cfg.RecordFile, &r)
		}
		if err != nil && !failed {
			log.Printf("fleet: cannot write the record: %v", err)
		}
		failed = err != nil
	}
}

// writeFinalRecord writes the last record, marked as that of an orderly exit.
func (n *Node) writeFinalRecord() {
	if n.fleet == nil || n.fleet.cfg.RecordFile == "" {
		return
	}
	r := n.buildRecord()
	r.Ended = true
	written := make(chan error, 1)
	go func() { written <- n.fleet.appendRecord(n.fleet.cfg.RecordFile, &r) }()
	select {
	case err := <-written:
		if err != nil {
			log.Printf("fleet: cannot write the last record: %v", err)
		}
	case <-time.After(finalRecordTimeout): // a hanging disk must not block the exit
		log.Printf("fleet: the last record was not written within %v", finalRecordTimeout)
	}
}
