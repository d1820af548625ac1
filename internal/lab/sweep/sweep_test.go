package sweep

import (
	"os"
	"strconv"
	"testing"
)

// TestRandomTimelinesBreakNoRule plays a few timelines in CI; IVYLAB_SEEDS
// asks for more.
func TestRandomTimelinesBreakNoRule(t *testing.T) {
	n := 40
	if v, err := strconv.Atoi(os.Getenv("IVYLAB_SEEDS")); err == nil {
		n = v
	}
	res := Run(1, n, nil, nil)
	for _, f := range res.Findings {
		t.Errorf("seed %d: %v\nshrunk in %d replays: %v\n%s", f.Seed, f.Breach, f.Replayed, f.Left, f.TOML())
	}
	if res.Played != n || res.Requests == 0 {
		t.Errorf("played %d of %d timelines, %d tries", res.Played, n, res.Requests)
	}
}
