package subset

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Every unit is in as many groups as is asked for, the first of its order, and
// a proxy that has all sees it in any case.
func TestEachUnitIsInAsManyGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := RankGroups(rapid.String().Draw(t, "unit"))
		seen := map[uint8]bool{}
		for _, g := range o {
			seen[g] = true
		}
		if len(seen) != GroupCount {
			t.Fatalf("%d groups in the order", len(seen))
		}
		n := rapid.IntRange(1, GroupCount).Draw(t, "copies")
		s := o.First(n)
		if s.Len() != n || !s.Has(AllServers) {
			t.Fatalf("in %d groups of %d", s.Len(), n)
		}
		if n < GroupCount && uint64(o.First(n+1))&uint64(s) != uint64(s) && n+1 < GroupCount {
			t.Fatal("one copy more is another set")
		}
	})
}

// What a fleet of some size looks like: how uneven groups are before and after
// the weights are balanced. Logged for the page, and held to the bounds there.
func TestGroupsAreEvenEnough(t *testing.T) {
	for _, c := range []struct{ servers, proxies, each int }{{500, 1000, 100}, {5000, 1000, 400}, {5000, 1000, 1250}} {
		sets, want := make([]GroupSet, c.servers), make([]float64, c.servers)
		n := GroupsPerServer(c.servers, c.each)
		var size [GroupCount]float64
		for i := range sets {
			o := RankGroups(fmt.Sprint("pod-", i/4))
			sets[i] = o.First(n)
			want[i] = 1 / float64(c.servers)
			each(sets[i], func(g int) { size[g]++ })
		}
		var share [GroupCount + 1]float64
		for p := range c.proxies {
			share[GroupOf(fmt.Sprint("proxy-", p))] += 1 / float64(c.proxies)
		}
		least, most := math.Inf(1), 0.0
		for _, s := range size {
			least, most = math.Min(least, s), math.Max(most, s)
		}
		plain := 0.0
		for i := range sets {
			f := 0.0
			each(sets[i], func(g int) { f += share[g] / size[g] })
			plain = math.Max(plain, math.Abs(f/want[i]-1))
		}
		_, worst := BalanceGroups(sets, want, share)
		t.Logf("%d servers, %d proxies, %d each: groups of %.0f to %.0f, in %d each; a server's part is off by %.0f%%, balanced by %.1f%%",
			c.servers, c.proxies, c.each, least, most, n, 100*plain, 100*worst)
		if worst > 0.02 || least < 0.5*float64(c.each) {
			t.Errorf("%+v: off by %.3f, the least group has %.0f", c, worst, least)
		}
	}
}

// A server that goes changes nothing for the others, and one more copy for all
// adds one group to each.
func TestWhoComesOrGoesChangesNothingForTheOthers(t *testing.T) {
	a, b := RankGroups("pod-1"), RankGroups("pod-2")
	if a == b || a != RankGroups("pod-1") {
		t.Error("orders are by name")
	}
	if GroupsPerServer(100, 100) != GroupCount || GroupsPerServer(100, 0) != GroupCount || GroupsPerServer(6400, 100) != 1 || GroupsPerServer(5000, 400) != 6 {
		t.Errorf("copies: %d %d %d", GroupsPerServer(100, 100), GroupsPerServer(6400, 100), GroupsPerServer(5000, 400))
	}
}

// Where it can't be balanced it says so: one group sends half of all and has
// few servers.
func TestBalanceTellsWhatCanNotBe(t *testing.T) {
	sets, want := make([]GroupSet, 100), make([]float64, 100)
	for i := range sets {
		o := RankGroups(fmt.Sprint(i))
		sets[i], want[i] = o.First(4), 0.01
	}
	var share [GroupCount + 1]float64
	for g := range GroupCount {
		share[g] = 0.5 / GroupCount
	}
	share[3] += 0.5
	if _, worst := BalanceGroups(sets, want, share); worst < 1 {
		t.Errorf("off by %.2f only", worst)
	}
	share[3] -= 0.5
	share[GroupCount] = 0.5 // the same proxy with every server
	if _, worst := BalanceGroups(sets, want, share); worst > 0.02 {
		t.Errorf("off by %.2f", worst)
	}
	share = [GroupCount + 1]float64{}
	share[1] = 1
	for i := range sets {
		sets[i] = 4 // nobody is in group 1
	}
	if _, worst := BalanceGroups(sets, want, share); !math.IsInf(worst, 1) {
		t.Errorf("requests that find nobody: off by %.2f", worst)
	}
}

func BenchmarkBalance(b *testing.B) {
	sets, want := make([]GroupSet, 5000), make([]float64, 5000)
	var share [GroupCount + 1]float64
	for i := range sets {
		o := RankGroups(fmt.Sprint("pod-", i/4))
		sets[i], want[i] = o.First(6), 1.0/5000
	}
	for p := range 1000 {
		share[GroupOf(fmt.Sprint("proxy-", p))] += 0.001
	}
	for b.Loop() {
		BalanceGroups(sets, want, share)
	}
}
