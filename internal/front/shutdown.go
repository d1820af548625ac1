package front

import (
	"fmt"
	"log"
	"time"

	"ivylock/guard"
	"ivylock/internal/eventlog"
)

// maxLateLogLines is how many late requests a shutdown logs.
const maxLateLogLines = 100

// Drain stops serving according to the node's shutdown schedule. Until the listener is closed
// it accepts further connections, each of which ends with its next response. Then it closes
// idle connections unless something has been read on them: net/http's Shutdown would close a
// connection whose request it has just read, and drop the request. Requests that are
// incomplete at the schedule's AnswerBy are rejected and their connections closed. Drain
// returns when all connections are closed, or at the end of the schedule and of the last
// streamed body.
func (f *HTTP) Drain() error {
	schedule := f.node.ShutdownSchedule()
	f.draining.Store(true)
	f.clients.setDraining()
	defer close(f.drainDone)
	f.logStep("draining")
	time.Sleep(time.Until(f.node.ShutdownStepTime(schedule.AcceptUntil)))
	if !f.SharedListener {
		f.clients.drainBacklog(schedule.BacklogTime())
	}
	f.clients.Close()
	f.logStep("listener closed")
	answerBy := f.node.ShutdownStepTime(schedule.AnswerBy)
	select {
	case <-f.acceptDone: // guards against ending while an accepted connection is not counted yet
	case <-time.After(time.Until(answerBy)):
	}
	f.endConnections(schedule)
	f.logStep("ending")
	return f.server.Close()
}

// endConnections closes connections as their requests are answered, until none is left or
// the schedule and the last streamed body have ended.
func (f *HTTP) endConnections(schedule guard.ShutdownSchedule) {
	progress := guard.ShutdownProgress{LastPending: schedule.AnswerBy}
	outlasts := false // a streamed body outlasts the schedule
	for f.clients.count() > 0 {
		f.clients.closeIdleSince(time.Now().Add(-minIdleAtShutdown))
		if f.sinceSignal() >= schedule.AnswerBy {
			f.clients.rejectUnfinished(f.node.ShutdownResponse())
		}
		pending, streaming := f.clients.pendingResponses(), f.clients.streamedBodies()
		progress.Since, progress.Pending, progress.Streaming = f.sinceSignal(), pending > 0, streaming > 0
		if progress.Pending {
			progress.LastPending = progress.Since
		}
		if progress.Streaming {
			progress.LastStreaming = progress.Since
		}
		if schedule.MayExit(progress) {
			return
		}
		if !outlasts && progress.Streaming && progress.Since >= schedule.End() {
			outlasts = true
			f.logStep(fmt.Sprintf("%d streamed bodies go on", streaming))
		}
		time.Sleep(pollInterval)
	}
}

// logStep logs a step of the shutdown with the number of connections in each phase.
func (f *HTTP) logStep(name string) {
	f.node.History().Add(eventlog.Event{Kind: eventlog.PhaseChanged, Reason: name})
	unused, idle, open := f.clients.countByPhase()
	log.Printf("shutdown: %s %.3f s after the signal; connections without a request %d, idle %d, with an open request %d",
		name, f.sinceSignal().Seconds(), unused, idle, open)
}

// sinceSignal returns the time since the shutdown signal.
func (f *HTTP) sinceSignal() time.Duration { return time.Since(f.node.ShutdownStepTime(0)) }

// logLate logs a request that is read after a shutdown has closed the listener, with the
// history of its connection.
func (f *HTTP) logLate(req *receivedRequest, conn *clientConn) {
	f.node.Metrics().RequestsLate.Add(1)
	if f.lateLogLines.Add(1) > maxLateLogLines {
		return // only counted
	}
	age, requests := conn.history()
	log.Printf("shutdown: request %.64q read %.3f s after the signal on connection %d, open for %.3f s with %d requests before it",
		req.ID, f.sinceSignal().Seconds(), conn.id(), age.Seconds(), requests)
}
