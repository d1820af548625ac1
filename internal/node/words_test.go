package node

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"ivylock/balance"
	"ivylock/internal/discovery"
	"ivylock/internal/nodetest"
	"ivylock/internal/wallclock"
	"ivylock/membership"
)

// Two of thirty nodes, over datagrams: the first one is heard by discovery again after a failure and tells the other,
// which is still turned away, of the servers that leave. What the other one is told itself later puts back what does
// not leave after all; a word that comes then, or that is malformed or a stranger's, changes nothing.
func TestANodeThatIsTurnedAwayHearsOfDrainsFromNeighbours(t *testing.T) {
	teller, hearer := startPair(t)
	var shared []string // that the hearer uses by the teller's plan
	for name, id := range teller.ids {
		if slices.Contains(teller.module.NodesUsing(id), 1) {
			shared = append(shared, name)
		}
	}
	slices.Sort(shared)
	if len(shared) < 2 {
		t.Fatalf("%v are used by both", shared)
	}
	drain := func(names ...string) discovery.Update {
		n := discovery.Update{Kind: balance.ListChanges, List: discovery.List{Generation: 9}}
		for _, x := range names {
			n.List.Instances = append(n.List.Instances, discovery.Entry{InstanceID: x, Lifecycle: "draining"})
		}
		return n
	}
	closed := func(name string) bool { return hearer.servers[hearer.ids[name]].Closed() }
	hear := func() { t.Helper(); takeOne(t, hearer) }
	lost := discovery.Update{Kind: balance.ListFailed, Failure: discovery.Rejected}
	teller.takeNews(lost)
	hearer.takeNews(lost)
	teller.takeNews(drain(shared...))
	hear()
	for _, name := range shared {
		if !closed(name) && len(shared) <= 8 {
			t.Errorf("%s is used on", name)
		}
	}
	if got := hearer.figures.WordsTaken.Load(); got != 1 {
		t.Errorf("%d words were taken", got)
	}
	hearer.takeNews(drain(shared[0])) // its own source: the other one drains no more
	if !closed(shared[0]) || closed(shared[1]) {
		t.Errorf("%s closed %v, %s closed %v", shared[0], closed(shared[0]), shared[1], closed(shared[1]))
	}
	word := membership.Encode(membership.Departures{uint32(hearer.ids[shared[1]])})
	teller.peers.send(balance.SendMessage{To: 1, Data: word})
	hear()
	teller.peers.send(balance.SendMessage{To: 1, Data: word[:3]})
	hear()
	if closed(shared[1]) || hearer.figures.WordsTaken.Load() != 1 || hearer.figures.WordsMalformed.Load() != 1 {
		t.Errorf("%s closed %v; %s", shared[1], closed(shared[1]), strings.ReplaceAll(string(hearer.figures.Text()), "\n", " "))
	}
	hearer.takeNews(lost)
	stranger, err := net.Dial("udp", hearer.peers.conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write(word)
	for end := time.Now().Add(nodetest.Patience); hearer.figures.Strangers.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the stranger was not counted")
		}
	}
	if len(hearer.events) > 0 || closed(shared[1]) {
		t.Error("a stranger's word was taken")
	}
}

// startPair makes the first two of thirty nodes with twelve servers, whose loops don't run.
func startPair(t *testing.T) (*Node, *Node) {
	t.Helper()
	var addrs []string
	for range 30 {
		addrs = append(addrs, nodetest.ClosedAddr(t)) // nobody is there; a free port of UDP as well
	}
	var servers []string
	for i := range 12 {
		servers = append(servers, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	start := func(self int) *Node {
		c := testConfig(t, nodetest.ClosedAddr(t), servers...)
		c.Settings.Nodes, c.Settings.Self, c.Settings.MayMessage = 30, self, true
		c.PeerListen, c.Peers, c.PeerBroadcast = addrs[self], addrs, addrs[29]
		n := New(c)
		var err error
		if n.peers, err = openPeers(c, n.figures); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { n.peers.conn.Close() })
		go n.peers.receive(n.post, false)
		n.takeNews(discovery.Update{Kind: balance.ListCached, List: c.InitialList})
		return n
	}
	return start(0), start(1)
}

// takeOne has a node take the next event that comes to it.
func takeOne(t *testing.T, n *Node) {
	t.Helper()
	select {
	case e := <-n.events:
		n.takeEvent(e)
	case <-time.After(nodetest.Patience):
		t.Fatal("no datagram came")
	}
}

// A node that discovery does not answer asks another one, which has heard discovery all the time and whose plan need
// not know it: it hears of servers that left and of one that was gone and is back, which it leaves out.
func TestANodeWithoutDiscoveryAsksWhatItMissed(t *testing.T) {
	teller, hearer := startPair(t)
	started := wallclock.Now().Truncate(time.Millisecond)
	list := func(generation uint64, at time.Duration) discovery.Update {
		l := discovery.List{Generation: generation}
		for name := range teller.ids {
			l.Instances = append(l.Instances, discovery.Entry{InstanceID: name, HostPort: name, Lifecycle: "up", StartedAtMs: at.Milliseconds()})
		}
		return discovery.Update{Kind: balance.ListFull, List: l}
	}
	for _, n := range []*Node{teller, hearer} {
		n.takeNews(list(9, started-time.Hour))
	}
	names := slices.Sorted(maps.Keys(teller.ids))
	changed := discovery.Update{Kind: balance.ListChanges, List: discovery.List{Generation: 10, Instances: []discovery.Entry{
		{InstanceID: names[0], Lifecycle: "removed"},
		{InstanceID: names[1], HostPort: names[1], Lifecycle: "up", StartedAtMs: started.Milliseconds()},
	}}}
	teller.takeNews(changed)
	hearer.askNeighbours()
	if hearer.figures.QuestionsAsked.Load() > 0 {
		t.Error("it asks while discovery is heard")
	}
	hearer.takeNews(discovery.Update{Kind: balance.ListFailed, Failure: discovery.Rejected})
	hearer.askNeighbours()
	hearer.askNeighbours()
	if got := hearer.figures.QuestionsAsked.Load(); got != questionTo {
		t.Errorf("%d questions", got)
	}
	teller.takeDatagram(1, membership.Encode(membership.ChangesQuery{Generation: hearer.list.Generation()}))
	takeOne(t, hearer)
	takeOne(t, hearer)
	for i, name := range names {
		if closed := hearer.servers[hearer.ids[name]].Closed(); closed != (i < 2) {
			t.Errorf("%s, number %d, is closed: %v", name, i, closed)
		}
	}
	teller.takeDatagram(1, membership.Encode(membership.ChangesQuery{Generation: 9})) // sooner than one asks
	teller.answeredAt = map[int]time.Time{}
	teller.takeDatagram(1, membership.Encode(membership.ChangesQuery{Generation: 10}))
	if got := teller.figures.QuestionsAnswered.Load(); got != 1 {
		t.Errorf("%d questions were answered", got)
	}
	hearer.list.ReviewPeerReports(hearer.now() + membership.NotifiedAfter)
	hearer.reapplyList()
	back := hearer.servers[hearer.ids[names[1]]]
	if back.Closed() || hearer.startOf(hearer.list.Entries()[names[1]].Payload, 0) < started {
		t.Errorf("%s: closed %v", names[1], back.Closed())
	}
}
