package subset

import "math"

// rounds bounds Even; each is a pass over all servers and their users.
const rounds = 40

// BalanceWeights finds one weight for each server by which servers get the parts of all requests
// that they are to get, where each process divides what it has among the servers that
// it uses in proportion to their weights: iterative proportional fitting (Deming and
// Stephan, 1940; Sinkhorn and Knopp, 1967). uses lists the users of each server, want
// the parts, which add up to 1, flow what part of all requests each process has. It
// gives the weights, and the furthest that a server's part is from what it is to get,
// as a part of that; infinite where a process that has requests has no server. A
// server that wants nothing gets nothing.
func BalanceWeights(uses [][]int32, want, flow []float64) (weights []float64, worst float64) {
	weights = append([]float64(nil), want...)
	sum, got := make([]float64, len(flow)), make([]float64, len(want))
	for round := 0; ; round++ {
		clear(sum)
		for i, w := range weights {
			for _, p := range uses[i] {
				sum[p] += w
			}
		}
		worst = 0
		for i, w := range weights {
			if want[i] <= 0 {
				continue
			}
			f := 0.0
			for _, p := range uses[i] {
				f += per(flow[p], sum[p])
			}
			got[i] = f * w
			worst = math.Max(worst, math.Abs(got[i]/want[i]-1))
		}
		for p, s := range flow { // requests that find nobody
			if s > 0 && sum[p] == 0 {
				worst = math.Inf(1)
			}
		}
		if worst < 0.005 || round == rounds || math.IsInf(worst, 1) {
			return weights, worst
		}
		for i := range weights {
			if got[i] > 0 {
				weights[i] *= want[i] / got[i]
			}
		}
	}
}

func per(a, b float64) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return a / b
}
