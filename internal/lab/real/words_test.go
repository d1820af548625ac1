package real

import (
	"slices"
	"strings"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
)

// Twenty-eight processes lose discovery for a while; some of them stay cut off from it, and then a third of the servers
// leaves. Those that hear datagrams hear of it from those that use the same servers, although a fifth of all datagrams is
// lost, and send nothing there any more. The others send on: so the crossing is one.
func TestProcessesThatAreCutOffHearOfDrainsFromNeighbours(t *testing.T) {
	t.Parallel()
	layout := strings.ReplaceAll(strings.Replace(nine, "nodes = 3", "nodes = 10", 1), "nodes = 3", "nodes = 9")
	// Several of each, as a node of so many uses a few servers only, and perhaps none that leave. n16 uses servers beyond
	// its set: it is no user of theirs by the plan, nobody tells it, and it has to ask.
	hearing, asking, deaf := []string{"n0", "n3", "n13"}, []string{"n16"}, []string{"n5", "n8", "n11", "n18", "n22", "n25"}
	s := parse(t, "name = \"words\"\nlength = \"12s\"\n[must]\nfaults_happen = true\nserved = 0.9\n[load]\nrate = 150.0\n"+
		strings.Replace(layout, "messages = \"5ms\"", "messages = \"5ms\"\nmessages_lost = 0.2", 1)+
		"[[fault]]\nat = \"1s\"\nfor = \"1500ms\"\nwhat = \"discovery-outage\"\n"+
		"[[fault]]\nat = \"1s\"\nfor = \"11s\"\nwhat = \"cut-discovery\"\nwho = [\""+strings.Join(slices.Concat(hearing, asking, deaf), "\", \"")+"\"]\n"+
		"[[fault]]\nat = \"1s\"\nfor = \"11s\"\nwhat = \"peers\"\nwho = [\""+strings.Join(deaf, "\", \"")+"\"]\nstate = \"black-hole\"\n"+
		"[[fault]]\nat = \"4s\"\nfor = \"8s\"\nwhat = \"drain\"\nwho = [\"hall-nord.1\", \"hall-nord.2\", \"hall-syd.1\", \"hall-syd.2\", \"hall-vest.1\"]\n")
	h, _ := day(t, s, Options{NoRecordFiles: true})
	first, cut := time.Duration(0), map[string]bool{}
	for _, name := range slices.Concat(hearing, asking, deaf) {
		cut[name] = true
	}
	for _, e := range h.Events {
		if e.Kind == history.Told && e.Lifecycle == "draining" && !cut[e.Node] && first == 0 {
			first = e.At
		}
	}
	leaves := map[string]bool{"hall-nord.1": true, "hall-nord.2": true, "hall-syd.1": true, "hall-syd.2": true, "hall-vest.1": true}
	before, after, lately := map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range h.Events {
		switch {
		case e.Kind != history.Attempt || !leaves[e.Server] || !cut[e.Node]:
		case e.At < first:
			before[e.Node]++
		case e.At > first+2*time.Second: // those whose watch fell silent believe it for 1.2 s
			after[e.Node]++
			if e.At > first+5*time.Second { // it asks two others of 27 each 0.75 s
				lately[e.Node]++
			}
		}
	}
	t.Logf("told at %v; sends to servers that leave, before: %v, after: %v", first, before, after)
	sum := func(of map[string]int, nodes []string) (all int) {
		for _, name := range nodes {
			all += of[name]
		}
		return all
	}
	if first == 0 || sum(before, hearing) == 0 || sum(after, deaf) == 0 {
		t.Errorf("nothing crossed")
	}
	if late := sum(after, hearing); late > 0 {
		t.Errorf("%d sends to servers that leave by nodes that hear neighbours", late)
	}
	if sum(before, asking) == 0 || sum(lately, asking) > 0 {
		t.Errorf("%d sends to servers that leave by a node that asks, and %d before they left", sum(lately, asking), sum(before, asking))
	}
	v := judge.Judge(h)
	for _, b := range v.Breaches {
		if !slices.ContainsFunc(deaf, func(name string) bool { return strings.Contains(b.Detail, name+" ") }) { // nobody can tell them
			t.Error(b)
		}
	}
}
