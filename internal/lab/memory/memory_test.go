package memory

import (
	"bytes"
	"testing"

	"ivylock/internal/lab/holds"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/scenario"
	"ivylock/scenarios"
)

func forEachScenario(t *testing.T, do func(*testing.T, *scenario.Scenario)) {
	files, err := scenarios.Files.ReadDir(".")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, f := range files {
		t.Run(f.Name(), func(t *testing.T) {
			t.Parallel()
			s, err := scenario.LoadFile(scenarios.Files, f.Name())
			if err != nil {
				t.Fatal(err)
			}
			do(t, s)
		})
	}
}

func TestScenariosHoldInMemory(t *testing.T) {
	forEachScenario(t, func(t *testing.T, s *scenario.Scenario) {
		h := Run(s, Options{})
		v := judge.Judge(h)
		for _, line := range holds.Check(s, h, &v) {
			t.Error(line)
		}
	})
}

func TestSameSeedGivesSameHistory(t *testing.T) {
	s, err := scenario.LoadFile(scenarios.Files, "overlap.toml")
	if err != nil {
		t.Fatal(err)
	}
	var out [3]bytes.Buffer
	for i, seed := range []int64{5, 5, 6} {
		if err := Run(s, Options{Seed: seed}).Write(&out[i]); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(out[0].Bytes(), out[1].Bytes()) {
		t.Error("the same seed gave different histories")
	}
	if bytes.Equal(out[0].Bytes(), out[2].Bytes()) {
		t.Error("different seeds gave the same history")
	}
}
