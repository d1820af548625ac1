package subset

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// GroupCount is the number of groups of proxies.
const GroupCount = 64

// AllServers is used in place of a group for a proxy that uses every server.
const AllServers = -1

// GroupSet is a set of groups; the empty set stands for all groups.
type GroupSet uint64

// Has reports whether the set contains a group; it does for AllServers.
func (s GroupSet) Has(group int) bool { return s == 0 || group == AllServers || s>>group&1 == 1 }

// Len returns the number of groups in the set.
func (s GroupSet) Len() int {
	if s == 0 {
		return GroupCount
	}
	return bits.OnesCount64(uint64(s))
}

// GroupRanking lists the groups in the order of their rank for a unit, a server or pod.
type GroupRanking [GroupCount]uint8

// RankGroups ranks the groups for a unit by its name, by the same hashing that ranks processes
// for a server.
func RankGroups(unit string) (ranking GroupRanking) {
	key := xxhash.Sum64String(unit)
	var score [GroupCount]uint64
	for g := range GroupCount {
		score[g] = Score(key, uint64(g))
		i := g
		for ; i > 0 && score[ranking[i-1]] < score[g]; i-- {
			ranking[i] = ranking[i-1]
		}
		ranking[i] = uint8(g)
	}
	return ranking
}

// First returns the set of the n highest ranked groups.
func (o *GroupRanking) First(n int) (s GroupSet) {
	if n >= GroupCount {
		return 0
	}
	for _, g := range o[:max(0, n)] {
		s |= 1 << g
	}
	return s
}

// GroupsPerServer returns the number of groups that each server must be in, so that groups
// have serversPerGroup servers on average; all groups if serversPerGroup is 0.
func GroupsPerServer(servers, serversPerGroup int) int {
	if servers <= serversPerGroup || serversPerGroup <= 0 {
		return GroupCount
	}
	return min(GroupCount, (GroupCount*serversPerGroup+servers-1)/servers)
}

// GroupOf returns the group of a proxy by its name.
func GroupOf(proxy string) int { return int(xxhash.Sum64String(proxy) % GroupCount) }

// BalanceGroups is BalanceWeights for proxies that use the servers of their group: sets are
// the servers' groups, targets the servers' fractions of all requests, and load the groups'
// fractions, where the last entry stands for proxies that use every server. maxError stays
// large where a group with much load has few servers.
func BalanceGroups(sets []GroupSet, targets []float64, load [GroupCount + 1]float64) (weights []float64, maxError float64) {
	users := make([][]int32, len(sets))
	for i, s := range sets {
		each(s, func(g int) { users[i] = append(users[i], int32(g)) })
		users[i] = append(users[i], GroupCount)
	}
	return BalanceWeights(users, targets, load[:])
}

// each calls f for each group of a set.
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
