package subset

import "math"

// maxRounds bounds the iterations of BalanceWeights; each visits all servers and their users.
const maxRounds = 40

// BalanceWeights computes one weight per server such that servers receive their target
// fractions of all requests, where each process divides its requests among the servers it
// uses in proportion to their weights. The method is iterative proportional fitting (Deming
// and Stephan, 1940; Sinkhorn and Knopp, 1967). users lists the users of each server, targets
// the servers' fractions, which add up to 1, and load each process's fraction of all requests.
// maxError is the largest relative deviation from a target, infinite if a process with
// requests has no server. A server with a target of 0 receives nothing.
func BalanceWeights(users [][]int32, targets, load []float64) (weights []float64, maxError float64) {
	weights = append([]float64(nil), targets...)
	weightSum, achieved := make([]float64, len(load)), make([]float64, len(targets))
	for round := 0; ; round++ {
		clear(weightSum)
		for i, w := range weights {
			for _, p := range users[i] {
				weightSum[p] += w
			}
		}
		maxError = 0
		for i, w := range weights {
			if targets[i] <= 0 {
				continue
			}
			sum := 0.0
			for _, p := range users[i] {
				sum += quotient(load[p], weightSum[p])
			}
			achieved[i] = sum * w
			maxError = math.Max(maxError, math.Abs(achieved[i]/targets[i]-1))
		}
		for p, fraction := range load {
			if fraction > 0 && weightSum[p] == 0 { // requests without a server
				maxError = math.Inf(1)
			}
		}
		if maxError < 0.005 || round == maxRounds || math.IsInf(maxError, 1) {
			return weights, maxError
		}
		for i := range weights {
			if achieved[i] > 0 {
				weights[i] *= targets[i] / achieved[i]
			}
		}
	}
}

// quotient returns a/b, or 0 if either is 0.
func quotient(a, b float64) float64 {
	if a == 0 || b == 0 {
		return 0
	}
	return a / b
}
