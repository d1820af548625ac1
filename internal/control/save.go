package control

import "time"

const (
	saveEvery = time.Second
	saveEnd   = 200 * time.Millisecond // for a write that is out when the engine ends
)

// saved tells the loop how a write of the list ended.
type saved struct{ err error }

// save keeps the list, at most once a second. It is written on a goroutine of its own:
// guards against a disk that stands still, and the loop with it.
func (e *Engine) save() {
	if e.cfg.ListFile == "" || !e.unsaved || e.writing != nil || time.Since(e.savedAt) < saveEvery {
		return
	}
	written := make(chan struct{})
	e.unsaved, e.savedAt, e.writing = false, time.Now(), written
	entries := e.list.all()
	go func() {
		err := e.write(e.cfg.ListFile, entries)
		close(written)
		e.post(saved{err})
	}()
}

// saved takes the end of a write. One that failed is made again.
func (e *Engine) saved(s saved) {
	e.writing = nil
	if s.err != nil {
		e.unsaved = true
		e.cfg.Log.Warn("the list was not kept; it is tried again", "err", s.err)
	}
}

// saveEnds waits for a write that is out, for a while.
func (e *Engine) saveEnds() {
	if e.writing == nil {
		return
	}
	select {
	case <-e.writing:
	case <-time.After(saveEnd):
	}
}
