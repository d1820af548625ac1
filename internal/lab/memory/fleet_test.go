package memory

import (
	"slices"
	"testing"
	"time"

	"ivylock/fleet/version"
	"ivylock/internal/lab/holds"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/scenario"
	"ivylock/scenarios"
)

// Guards against rule breaches and against nodes that stop serving in the fleet's scenarios.
func TestFleetScenariosKeepRulesOverManySeeds(t *testing.T) {
	for _, name := range []string{"straggler", "one-way", "anew", "behind", "crashed", "release", "late"} {
		s, err := scenario.LoadFile(scenarios.Files, name+".toml")
		if err != nil {
			t.Fatal(err)
		}
		if name == "behind" { // a longer variant: 30 s, with changes delayed by 6 s
			s.Length.Duration, s.Faults[0].For.Duration = 50*time.Second, 30*time.Second
			s.Faults[1].At.Duration, s.Faults[1].For.Duration, s.Faults[1].Delay.Duration = 33*time.Second, 14*time.Second, 6*time.Second
			s.Faults[2].At.Duration = 34 * time.Second
		}
		for seed := range int64(10) {
			h := Run(s, Options{Seed: seed + 1, OnRecord: func(r version.Record) {
				for _, c := range r.ModeChanges {
					// In release, a node receives messages from a single peer for a while.
					if c.Mode == "closed" || c.Mode == "narrowed" && name != "release" {
						t.Errorf("%s, seed %d: node %s was in mode %s", name, seed+1, r.Process, c.Mode)
					}
				}
			}})
			v := judge.Judge(h)
			for _, b := range slices.DeleteFunc(v.Breaches, func(b judge.Breach) bool { return holds.LostDuringPause(s, b) }) {
				t.Errorf("%s, seed %d: %v", name, seed+1, b)
			}
		}
	}
}
