package steer

import (
	"testing"
	"time"

	"ivylock/balance"
)

func TestRetriesFollowTheEffect(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		class balance.Class
		want  Retry
	}{
		{balance.Class{Effect: balance.Unsafe, Deadline: 5 * s}, Retry{All: 5 * s}},
		{balance.Class{Effect: balance.Safe, Deadline: 6 * s}, Retry{Ran: true, All: 6 * s, Each: 2 * s}},
		{balance.Class{Effect: balance.Safe}, Retry{Ran: true}},
		{balance.Class{Effect: balance.Keyed, Deadline: 20 * s, DedupWindow: 9 * s}, Retry{Ran: true, WithinPod: true, All: 9 * s, Each: 3 * s}},
		{balance.Class{Effect: balance.Keyed, Deadline: 3 * s, DedupWindow: 9 * s}, Retry{Ran: true, WithinPod: true, All: 3 * s, Each: s}},
		{balance.Class{Effect: balance.Keyed, Deadline: 3 * s}, Retry{All: 3 * s}},
	} {
		if got := RetryOf(c.class); got != c.want {
			t.Errorf("%+v: %+v", c.class, got)
		}
	}
}
