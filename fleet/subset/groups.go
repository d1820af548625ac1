package subset

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// GroupCount is how many groups there are.
const GroupCount = 64

// AllServers stands for a proxy that has every server: it is in no group.
const AllServers = -1

// GroupSet is a set of groups; the empty one stands for all.
type GroupSet uint64

// Has tells whether a group is in it. All has every server.
func (s GroupSet) Has(group int) bool { return s == 0 || group == AllServers || s>>group&1 == 1 }

// Len is how many groups it holds; Groups for all.
func (s GroupSet) Len() int {
	if s == 0 {
		return GroupCount
	}
	return bits.OnesCount64(uint64(s))
}

// GroupRanking ranks the groups for a unit.
type GroupRanking [GroupCount]uint8

// RankGroups ranks the groups for a unit by its name: the same everywhere, and as nodes
// are ranked for a server.
func RankGroups(unit string) (o GroupRanking) {
	key := xxhash.Sum64String(unit)
	var score [GroupCount]uint64
	for g := range GroupCount {
		score[g] = Score(key, uint64(g))
		i := g
		for ; i > 0 && score[o[i-1]] < score[g]; i-- { // 64 in all: insertion is as good as anything
			o[i] = o[i-1]
		}
		o[i] = uint8(g)
	}
	return o
}

// First gives the first so many groups; all of them are the empty set.
func (o *GroupRanking) First(n int) (s GroupSet) {
	if n >= GroupCount {
		return 0
	}
	for _, g := range o[:max(0, n)] {
		s |= 1 << g
	}
	return s
}

// GroupsPerServer is in how many groups each of so many servers must be, so that a group
// has so many on average; Groups where that is all.
func GroupsPerServer(servers, each int) int {
	if servers <= each || each <= 0 {
		return GroupCount
	}
	return min(GroupCount, (GroupCount*each+servers-1)/servers)
}

// GroupOf gives the group of a proxy by its name.
func GroupOf(proxy string) int { return int(xxhash.Sum64String(proxy) % GroupCount) }

// BalanceGroups finds weights by which servers get the parts of all requests that
// they are to get, where proxies see only their group's servers. want are the
// parts, which add up to 1; share is what part of all requests comes from each
// group, and the last one from proxies that have every server. It gives the
// weights and the furthest that a server's part is from what it is to get, as a
// part of that: where a group with much to send has few servers, no weights
// help. A server that wants nothing gets nothing. Groups are processes here whose
// sets are told; see Even.
func BalanceGroups(sets []GroupSet, want []float64, share [GroupCount + 1]float64) (weights []float64, worst float64) {
	uses := make([][]int32, len(sets))
	for i, s := range sets {
		each(s, func(g int) { uses[i] = append(uses[i], int32(g)) })
		uses[i] = append(uses[i], GroupCount)
	}
	return BalanceWeights(uses, want, share[:])
}

// each calls f with each group of a set.
func each(s GroupSet, f func(g int)) {
	if s == 0 {
		for g := range GroupCount {
			f(g)
		}
		return
	}
	for x := uint64(s); x != 0; x &= x - 1 {
		f(bits.TrailingZeros64(x))
	}
}
