package control

import "time"

const (
	saveInterval = time.Second            // minimum time between two writes of the list
	saveTimeout  = 200 * time.Millisecond // how long the engine waits for a running write when it ends
)

// saveResult is the outcome of a write of the list.
type saveResult struct{ err error }

// saveList stores the list if it has changed, at most once per saveInterval. It writes in a
// separate goroutine, so that a blocked disk does not block the event loop.
func (e *Engine) saveList() {
	if e.config.ListFile == "" || !e.listDirty || e.saving != nil || time.Since(e.savedAt) < saveInterval {
		return
	}
	written := make(chan struct{})
	e.listDirty, e.savedAt, e.saving = false, time.Now(), written
	entries := e.servers.sortedEntries()
	go func() {
		err := e.writeList(e.config.ListFile, entries)
		close(written)
		e.enqueue(saveResult{err})
	}()
}

// handleSaveResult handles the end of a write; a failed one is retried.
func (e *Engine) handleSaveResult(result saveResult) {
	e.saving = nil
	if result.err != nil {
		e.listDirty = true
		e.config.Log.Warn("cannot save the list; will retry", "err", result.err)
	}
}

// waitForSave waits up to saveTimeout for a running write.
func (e *Engine) waitForSave() {
	if e.saving == nil {
		return
	}
	select {
	case <-e.saving:
	case <-time.After(saveTimeout):
	}
}
