package real

import (
	"slices"
	"strings"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
)

// Nodes that are cut off from discovery learn of drains from peers that use the same servers, although a
// fifth of all datagrams is lost. Nodes cut off from peers as well go on sending: the fault took effect.
func TestNodesCutOffFromDiscoveryLearnOfDrainsFromPeers(t *testing.T) {
	t.Parallel()
	layout := strings.ReplaceAll(strings.Replace(nineNodes, "nodes = 3", "nodes = 10", 1), "nodes = 3", "nodes = 9")
	// Several nodes of each kind, as each uses only a few servers and perhaps none that drains. n16 uses servers
	// outside its subset, so no peer notifies it of them, and it has to poll peers.
	notified, polling, isolated := []string{"n0", "n3", "n13"}, []string{"n16"}, []string{"n5", "n8", "n11", "n18", "n22", "n25"}
	s := parse(t, "name = \"words\"\nlength = \"12s\"\n[must]\nfaults_happen = true\nserved = 0.9\n[load]\nrate = 150.0\n"+
		strings.Replace(layout, "messages = \"5ms\"", "messages = \"5ms\"\nmessages_lost = 0.2", 1)+
		"[[fault]]\nat = \"1s\"\nfor = \"1500ms\"\nwhat = \"discovery-outage\"\n"+
		"[[fault]]\nat = \"1s\"\nfor = \"11s\"\nwhat = \"cut-discovery\"\nwho = [\""+strings.Join(slices.Concat(notified, polling, isolated), "\", \"")+"\"]\n"+
		"[[fault]]\nat = \"1s\"\nfor = \"11s\"\nwhat = \"peers\"\nwho = [\""+strings.Join(isolated, "\", \"")+"\"]\nstate = \"black-hole\"\n"+
		"[[fault]]\nat = \"4s\"\nfor = \"8s\"\nwhat = \"drain\"\nwho = [\"hall-nord.1\", \"hall-nord.2\", \"hall-syd.1\", \"hall-syd.2\", \"hall-vest.1\"]\n")
	h, _ := runFleet(t, s, Options{NoRecordFiles: true})
	first, cut := time.Duration(0), map[string]bool{}
	for _, name := range slices.Concat(notified, polling, isolated) {
		cut[name] = true
	}
	for _, e := range h.Events {
		if e.Kind == history.NodeNotified && e.Lifecycle == "draining" && !cut[e.Node] && first == 0 {
			first = e.At
		}
	}
	draining := map[string]bool{"hall-nord.1": true, "hall-nord.2": true, "hall-syd.1": true, "hall-syd.2": true, "hall-vest.1": true}
	before, after, longAfter := map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range h.Events {
		switch {
		case e.Kind != history.Attempt || !draining[e.Server] || !cut[e.Node]:
		case e.At < first:
			before[e.Node]++
		case e.At > first+2*time.Second: // a node trusts a watch that hangs for 1.2 s
			after[e.Node]++
			if e.At > first+5*time.Second { // it polls two of 27 peers every 0.75 s
				longAfter[e.Node]++
			}
		}
	}
	t.Logf("first notification at %v; sends to draining servers, before: %v, after: %v", first, before, after)
	sum := func(of map[string]int, nodes []string) (all int) {
		for _, name := range nodes {
			all += of[name]
		}
		return all
	}
	if first == 0 || sum(before, notified) == 0 || sum(after, isolated) == 0 {
		t.Errorf("the drain had no effect on the nodes that were cut off")
	}
	if late := sum(after, notified); late > 0 {
		t.Errorf("%d sends to draining servers by nodes that peers notify", late)
	}
	if sum(before, polling) == 0 || sum(longAfter, polling) > 0 {
		t.Errorf("%d sends to draining servers by a node that polls peers, and %d before the drain", sum(longAfter, polling), sum(before, polling))
	}
	v := judge.Judge(h)
	for _, b := range v.Breaches {
		// No peer can reach the isolated nodes.
		if !slices.ContainsFunc(isolated, func(name string) bool { return strings.Contains(b.Detail, name+" ") }) {
			t.Error(b)
		}
	}
}
