// Package load generates the requests of clients and decides on their retries. It does no I/O, so
// that the in-memory run and the clients on sockets can use the same streams.
package load

import (
	"time"

	"ivylock/internal/lab/history"
)

// Classes is the default class table.
var Classes = []history.Class{
	{Name: "broadcast-clip", Share: 0.12, WorkLow: 81 * ms, WorkHigh: 150 * ms, TargetLatency: 600 * ms, Deadline: 1200 * ms, Value: 12, Effect: history.Safe},
	{Name: "viewer-clip", Share: 0.40, WorkLow: 50 * ms, WorkHigh: 90 * ms, TargetLatency: 600 * ms, Deadline: 2000 * ms, Value: 1, Effect: history.Safe},
	{Name: "cut-order", Share: 0.24, WorkLow: 140 * ms, WorkHigh: 260 * ms, TargetLatency: 2000 * ms, Deadline: 6000 * ms, Value: 1, Effect: history.Unsafe},
	{Name: "tag-event", Share: 0.24, WorkLow: 110 * ms, WorkHigh: 200 * ms, TargetLatency: 1500 * ms, Deadline: 4000 * ms, Value: 1, Effect: history.Keyed},
}

const ms = time.Millisecond

// Limits are the default limits of the rules.
var Limits = history.Limits{Slack: 50 * ms, DrainGrace: 500 * ms, NotifyDeadline: 16 * time.Second, KeyWindow: 8 * time.Second,
	OverloadFactor: 2.5, OverloadWindow: time.Second, OverloadAllowance: 300 * ms}
