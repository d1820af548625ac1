package real

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/sweep"
)

// Random deployments vary list modes, classes, scopes, windows, tenants, limits and faults. The load is
// light, so that results don't depend on the machine.
func TestRulesHoldInRandomDeployments(t *testing.T) {
	t.Parallel()
	played := 0
	for seed := int64(1); played < 6; seed++ {
		s, d := sweep.GenerateDeployment(seed)
		if len(s.Nodes()) > 4 {
			continue
		}
		played++
		s.Load.Rate, s.Length.Duration = min(s.Load.Rate, 40), min(s.Length.Duration, 8*time.Second)
		kept := s.Faults[:0]
		for _, f := range s.Faults {
			if f.At.Duration < s.Length.Duration-time.Second {
				kept = append(kept, f)
			}
		}
		s.Faults, d.Limits.OverloadNotifiedOnly = kept, false // overloads count whether or not nodes were notified
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			defer reserveNodes(t, len(s.Nodes()))()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			bed, err := New(ctx, s, Options{Program: program, Deployment: d})
			if err != nil {
				t.Fatal(err)
			}
			got, err := bed.Run(ctx)
			bed.Close()
			if err != nil {
				t.Fatal(err)
			}
			v := judge.Judge(got)
			for _, b := range v.Breaches {
				t.Error(b)
			}
			if v.Service.Tries == 0 {
				t.Error("no request was sent")
			}
			t.Logf("%d tries, %d faults, %v", v.Service.Tries, len(s.Faults), s.Length.Duration)
		})
	}
}
