package subset

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A ranking must contain each group once, and First(n) must return n groups, including those
// of First(n-1).
func TestRankingGivesRequestedNumberOfGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := RankGroups(rapid.String().Draw(t, "unit"))
		seen := map[uint8]bool{}
		for _, g := range o {
			seen[g] = true
		}
		if len(seen) != GroupCount {
			t.Fatalf("ranking has %d distinct groups", len(seen))
		}
		n := rapid.IntRange(1, GroupCount).Draw(t, "copies")
		s := o.First(n)
		if s.Len() != n || !s.Has(AllServers) {
			t.Fatalf("in %d groups, want %d", s.Len(), n)
		}
		if n < GroupCount && uint64(o.First(n+1))&uint64(s) != uint64(s) && n+1 < GroupCount {
			t.Fatal("the set of n groups is not a subset of that of n+1")
		}
	})
}

// Group sizes and balanced loads must stay within bounds for fleets of several sizes.
func TestGroupBalanceBySize(t *testing.T) {
	for _, c := range []struct{ servers, proxies, each int }{{500, 1000, 100}, {5000, 1000, 400}, {5000, 1000, 1250}} {
		sets, targets := make([]GroupSet, c.servers), make([]float64, c.servers)
		n := GroupsPerServer(c.servers, c.each)
		var size [GroupCount]float64
		for i := range sets {
			o := RankGroups(fmt.Sprint("pod-", i/4))
			sets[i] = o.First(n)
			targets[i] = 1 / float64(c.servers)
			each(sets[i], func(g int) { size[g]++ })
		}
		var groupLoad [GroupCount + 1]float64
		for p := range c.proxies {
			groupLoad[GroupOf(fmt.Sprint("proxy-", p))] += 1 / float64(c.proxies)
		}
		smallest, largest := math.Inf(1), 0.0
		for _, s := range size {
			smallest, largest = math.Min(smallest, s), math.Max(largest, s)
		}
		unweighted := 0.0
		for i := range sets {
			f := 0.0
			each(sets[i], func(g int) { f += groupLoad[g] / size[g] })
			unweighted = math.Max(unweighted, math.Abs(f/targets[i]-1))
		}
		_, maxError := BalanceGroups(sets, targets, groupLoad)
		t.Logf("%d servers, %d proxies, %d servers per group: groups of %.0f to %.0f servers, %d groups per server; maximum error of a server's load %.0f%%, balanced %.1f%%",
			c.servers, c.proxies, c.each, smallest, largest, n, 100*unweighted, 100*maxError)
		if maxError > 0.02 || smallest < 0.5*float64(c.each) {
			t.Errorf("%+v: maximum error %.3f, smallest group %.0f servers", c, maxError, smallest)
		}
	}
}

// Rankings must depend on the unit's name alone.
func TestGroupRankingIsStable(t *testing.T) {
	a, b := RankGroups("pod-1"), RankGroups("pod-2")
	if a == b || a != RankGroups("pod-1") {
		t.Error("rankings do not depend on the name alone")
	}
	if GroupsPerServer(100, 100) != GroupCount || GroupsPerServer(100, 0) != GroupCount || GroupsPerServer(6400, 100) != 1 || GroupsPerServer(5000, 400) != 6 {
		t.Errorf("groups per server: %d %d %d", GroupsPerServer(100, 100), GroupsPerServer(6400, 100), GroupsPerServer(5000, 400))
	}
}

// Targets that no weights can reach must be reported as a large error.
func TestBalanceReportsUnreachableTargets(t *testing.T) {
	sets, targets := make([]GroupSet, 100), make([]float64, 100)
	for i := range sets {
		o := RankGroups(fmt.Sprint(i))
		sets[i], targets[i] = o.First(4), 0.01
	}
	var groupLoad [GroupCount + 1]float64
	for g := range GroupCount {
		groupLoad[g] = 0.5 / GroupCount
	}
	groupLoad[3] += 0.5
	if _, maxError := BalanceGroups(sets, targets, groupLoad); maxError < 1 {
		t.Errorf("maximum error %.2f, want 1 at least", maxError)
	}
	groupLoad[3] -= 0.5
	groupLoad[GroupCount] = 0.5 // the same load from proxies with every server
	if _, maxError := BalanceGroups(sets, targets, groupLoad); maxError > 0.02 {
		t.Errorf("maximum error %.2f, want 0.02 at most", maxError)
	}
	groupLoad = [GroupCount + 1]float64{}
	groupLoad[1] = 1
	for i := range sets {
		sets[i] = 4 // no server is in group 1
	}
	if _, maxError := BalanceGroups(sets, targets, groupLoad); !math.IsInf(maxError, 1) {
		t.Errorf("load without any server: maximum error %.2f, want infinite", maxError)
	}
}

func BenchmarkBalanceGroups(b *testing.B) {
	sets, targets := make([]GroupSet, 5000), make([]float64, 5000)
	var groupLoad [GroupCount + 1]float64
	for i := range sets {
		o := RankGroups(fmt.Sprint("pod-", i/4))
		sets[i], targets[i] = o.First(6), 1.0/5000
	}
	for p := range 1000 {
		groupLoad[GroupOf(fmt.Sprint("proxy-", p))] += 0.001
	}
	for b.Loop() {
		BalanceGroups(sets, targets, groupLoad)
	}
}
