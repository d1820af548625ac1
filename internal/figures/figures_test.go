package figures

import (
	"testing"

	"ivylock/guard"
)

func TestAllMetricsStartAtZero(t *testing.T) {
	f := New([]string{"clip", "order"})
	const want = `app.operations.clip.fulfilled:0|c
app.operations.clip.throttled:0|c
app.operations.clip.faulted:0|c
app.operations.order.fulfilled:0|c
app.operations.order.throttled:0|c
app.operations.order.faulted:0|c
app.relayed:0|c
app.lists.unanswered:0|c
app.lists.cut_short:0|c
app.lists.unreadable:0|c
app.lists.entries_skipped:0|c
app.peers.strangers:0|c
app.peers.turned_away:0|c
app.peers.withdrawals:0|c
app.peers.malformed:0|c
app.peers.questions.asked:0|c
app.peers.questions.answered:0|c
app.reloads.refused:0|c
app.log.dropped:0|c
app.attempts.repeated:0|c
app.connections.opened:0|c
app.requests.late:0|c
app.attempts.ended.ok:0|c
app.attempts.ended.server_error:0|c
app.attempts.ended.full:0|c
app.attempts.ended.timed_out:0|c
app.attempts.ended.connect_failed:0|c
app.attempts.ended.reset:0|c
app.attempts.ended.cancelled:0|c
app.attempts.ended.moot:0|c
app.attempts.withheld.over:0|c
app.attempts.withheld.cancelled:0|c
app.attempts.withheld.server_draining:0|c
app.attempts.withheld.window_over:0|c
app.attempts.withheld.late:0|c
app.attempts.withheld.stood_still:0|c
app.attempts.withheld.body_spent:0|c
app.attempts.withheld.client_unverified:0|c
app.requests.turned_down.no_server:0|c
app.requests.turned_down.shed:0|c
app.requests.turned_down.worthless:0|c
app.requests.turned_down.retry_budget:0|c
app.requests.turned_down.deadline:0|c
app.requests.turned_down.body_spent:0|c
app.requests.turned_down.ending:0|c
app.requests.turned_down.duplicate_id:0|c
app.requests.turned_down.full:0|c
app.requests.turned_down.stale:0|c
app.requests.unreadable.400:0|c
app.requests.unreadable.405:0|c
app.requests.unreadable.408:0|c
app.requests.unreadable.413:0|c
app.requests.unreadable.431:0|c
app.requests.unreadable.503:0|c
app.connections.closed.by_client:0|c
app.connections.closed.timeout:0|c
app.connections.closed.answered:0|c
app.connections.closed.for_room:0|c
app.connections.closed.draining:0|c
app.connections.closed.unanswered:0|c
app.invariants.broken.unanswered:0|c
app.invariants.broken.answered_late:0|c
app.invariants.broken.written_after_end:0|c
app.invariants.broken.written_after_deadline:0|c
app.invariants.broken.written_to_draining:0|c
app.invariants.broken.written_while_ending:0|c
app.invariants.broken.repeated_unsafely:0|c
app.invariants.broken.refused_unsafely:0|c
app.invariants.broken.time_overstated:0|c
app.accept.errors.ECONNABORTED:0|c
app.accept.errors.EMFILE:0|c
app.accept.errors.ENFILE:0|c
app.accept.errors.ENOBUFS:0|c
app.accept.errors.ENOMEM:0|c
app.accept.errors.EADDRNOTAVAIL:0|c
app.accept.errors.EADDRINUSE:0|c
app.accept.errors.ENETUNREACH:0|c
app.accept.errors.ENETDOWN:0|c
app.accept.errors.EHOSTUNREACH:0|c
app.accept.errors.EPROTO:0|c
app.accept.errors.EPERM:0|c
app.accept.errors.EACCES:0|c
app.accept.errors.EAGAIN:0|c
app.accept.errors.EINTR:0|c
app.accept.errors.ETIMEDOUT:0|c
app.accept.errors.ECONNREFUSED:0|c
app.accept.errors.ECONNRESET:0|c
app.accept.errors.EPIPE:0|c
app.accept.errors.EMSGSIZE:0|c
app.accept.errors.EIO:0|c
app.accept.errors.ENOSPC:0|c
app.accept.errors.EROFS:0|c
app.accept.errors.other:0|c
app.dials.errors.ECONNABORTED:0|c
app.dials.errors.EMFILE:0|c
app.dials.errors.ENFILE:0|c
app.dials.errors.ENOBUFS:0|c
app.dials.errors.ENOMEM:0|c
app.dials.errors.EADDRNOTAVAIL:0|c
app.dials.errors.EADDRINUSE:0|c
app.dials.errors.ENETUNREACH:0|c
app.dials.errors.ENETDOWN:0|c
app.dials.errors.EHOSTUNREACH:0|c
app.dials.errors.EPROTO:0|c
app.dials.errors.EPERM:0|c
app.dials.errors.EACCES:0|c
app.dials.errors.EAGAIN:0|c
app.dials.errors.EINTR:0|c
app.dials.errors.ETIMEDOUT:0|c
app.dials.errors.ECONNREFUSED:0|c
app.dials.errors.ECONNRESET:0|c
app.dials.errors.EPIPE:0|c
app.dials.errors.EMSGSIZE:0|c
app.dials.errors.EIO:0|c
app.dials.errors.ENOSPC:0|c
app.dials.errors.EROFS:0|c
app.dials.errors.other:0|c
app.peers.errors.ECONNABORTED:0|c
app.peers.errors.EMFILE:0|c
app.peers.errors.ENFILE:0|c
app.peers.errors.ENOBUFS:0|c
app.peers.errors.ENOMEM:0|c
app.peers.errors.EADDRNOTAVAIL:0|c
app.peers.errors.EADDRINUSE:0|c
app.peers.errors.ENETUNREACH:0|c
app.peers.errors.ENETDOWN:0|c
app.peers.errors.EHOSTUNREACH:0|c
app.peers.errors.EPROTO:0|c
app.peers.errors.EPERM:0|c
app.peers.errors.EACCES:0|c
app.peers.errors.EAGAIN:0|c
app.peers.errors.EINTR:0|c
app.peers.errors.ETIMEDOUT:0|c
app.peers.errors.ECONNREFUSED:0|c
app.peers.errors.ECONNRESET:0|c
app.peers.errors.EPIPE:0|c
app.peers.errors.EMSGSIZE:0|c
app.peers.errors.EIO:0|c
app.peers.errors.ENOSPC:0|c
app.peers.errors.EROFS:0|c
app.peers.errors.other:0|c
app.open_requests:0|g
app.registry_entries:0|g
app.out_of_rotation:0|g
app.process.resident_kb:0|g
app.process.heap_kb:0|g
app.process.stack_kb:0|g
app.process.gc_permille:0|g
app.memory.limit_kb:0|g
app.memory.held_kb.request_bodies:0|g
app.memory.refused.request_bodies:0|c
app.memory.held_kb.read_ahead:0|g
app.memory.refused.read_ahead:0|c
app.memory.held_kb.pipelined:0|g
app.memory.refused.pipelined:0|c
app.memory.held_kb.responses:0|g
app.memory.refused.responses:0|c
`
	if got := string(f.Text()); got != want {
		t.Errorf("got\n%s", got)
	}
	for _, status := range []int{200, 429, 503, 502, 409} {
		f.CountRequest("clip", OutcomeOf(status))
		f.CountRequest("no class of ours", OutcomeOf(status))
	}
	if f.RequestCount("clip", Fulfilled) != 1 || f.RequestCount("clip", Throttled) != 2 || f.RequestCount("clip", Faulted) != 2 || f.RequestCount("order", Faulted) != 0 {
		t.Errorf("counted\n%s", f.Text())
	}
}

// Each index has a label, and an index out of range is not counted.
func TestCounterVecCountsByIndex(t *testing.T) {
	f := New(nil)
	f.AttemptsWithheld.Add(int(guard.WithheldClientUnverified))
	f.RequestsRejected.Add(int(RejectedStaleState))
	f.ConnectionsClosed.Add(int(ClosedUnanswered))
	for vec, last := range map[*CounterVec]int{&f.AttemptsWithheld: int(guard.WithheldClientUnverified), &f.RequestsRejected: int(RejectedStaleState), &f.ConnectionsClosed: int(ClosedUnanswered)} {
		if vec.Value(last) != 1 || last != len(vec.labels)-1 {
			t.Errorf("%s: the last label is %q, counted %d times", vec.name, vec.Label(last), vec.Value(last))
		}
		vec.Add(-1)
		vec.Add(last + 1)
		if vec.Label(last+1) != "unknown" {
			t.Errorf("%s has an unexpected label", vec.name)
		}
	}
}

func BenchmarkCountRequest(b *testing.B) {
	f := New([]string{"clip", "order", "tag", "cut"})
	b.ReportAllocs()
	for b.Loop() {
		f.OpenRequests.Add(1)
		f.Relayed.Add(1)
		f.CountRequest("clip", Fulfilled)
		f.OpenRequests.Add(-1)
	}
}
