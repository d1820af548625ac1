package soak

import (
	"reflect"
	"testing"
)

// Half of the runs have a crowd and a low memory limit, half repeat signals, and a seed always draws the
// same.
func TestOptionsOfSeeds(t *testing.T) {
	crowds, signals, alike := 0, 0, 0
	const seeds = 400
	for seed := range int64(seeds) {
		o := generateOptions(seed)
		if !reflect.DeepEqual(o, generateOptions(seed)) {
			t.Fatalf("seed %d draws different options", seed)
		}
		if o.RepeatSignals {
			signals++
		}
		if o.Crowd == nil {
			if o.Limits.MemoryMB != soakMemoryMB {
				t.Errorf("seed %d: %d MB without a crowd", seed, o.Limits.MemoryMB)
			}
			continue
		}
		crowds++
		if o.Limits.MemoryMB != crowdMemoryMB || o.Crowd.Clients < minCrowd || o.Crowd.Clients > maxCrowd {
			t.Errorf("seed %d: %+v", seed, o.Crowd)
		}
		if len(o.Crowd.Shapes) == 1 {
			alike++
		}
	}
	if crowds < seeds/3 || signals < seeds/3 || alike == 0 || alike == crowds {
		t.Errorf("%d crowds, %d of them alike, %d runs with repeated signals", crowds, alike, signals)
	}
}
