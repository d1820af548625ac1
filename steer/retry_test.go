package steer

import (
	"testing"
	"time"

	"ivylock/balance"
)

func TestRetryRuleFollowsEffect(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		class balance.Class
		want  RetryRule
	}{
		{balance.Class{Effect: balance.Unsafe, Deadline: 5 * s}, RetryRule{TotalTimeout: 5 * s}},
		{balance.Class{Effect: balance.Safe, Deadline: 6 * s},
			RetryRule{MayHaveRun: true, TotalTimeout: 6 * s, AttemptTimeout: 2 * s}},
		{balance.Class{Effect: balance.Safe}, RetryRule{MayHaveRun: true}},
		{balance.Class{Effect: balance.Keyed, Deadline: 20 * s, DedupWindow: 9 * s},
			RetryRule{MayHaveRun: true, SamePod: true, TotalTimeout: 9 * s, AttemptTimeout: 3 * s}},
		{balance.Class{Effect: balance.Keyed, Deadline: 3 * s, DedupWindow: 9 * s},
			RetryRule{MayHaveRun: true, SamePod: true, TotalTimeout: 3 * s, AttemptTimeout: s}},
		{balance.Class{Effect: balance.Keyed, Deadline: 3 * s}, RetryRule{TotalTimeout: 3 * s}},
	} {
		if got := RetryRuleFor(c.class); got != c.want {
			t.Errorf("%+v: got %+v", c.class, got)
		}
	}
}
