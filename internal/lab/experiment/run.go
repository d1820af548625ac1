package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"ivylock/internal/lab/fleet"
)

// Progress is the progress of a run.
type Progress struct {
	Done, Total, Resumed int // cells; Resumed: those already in the file
	Remaining            time.Duration
	Last                 Row
}

// gcPercent is the value of GOGC during a run.
const gcPercent = 400

// Run runs the cells of a design that the file does not contain yet, on all cores,
// and appends a row for each as it finishes. Rows of other commits are ignored. A
// run that was cancelled or killed is resumed by the next call.
func Run(ctx context.Context, d *Design, file, commit string, onProgress func(Progress)) error {
	cells, err := d.Cells()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(file, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	if syscall.Flock(int(out.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		return fmt.Errorf("%s: another run writes to it; wait, or name another file", file)
	}
	rows, size, err := read(file)
	if err != nil {
		return err
	}
	if err := out.Truncate(size); err != nil { // remove a truncated row
		return err
	}
	if _, err := out.Seek(size, 0); err != nil {
		return err
	}
	finished := map[string]bool{}
	for _, row := range rows {
		if row.Commit == commit {
			finished[row.Key()] = true
		}
	}
	var pending []Cell
	totalCost := 0.0
	for _, c := range cells {
		if !finished[c.Key()] {
			pending, totalCost = append(pending, c), totalCost+c.cost()
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	var (
		mu       sync.Mutex
		wg       sync.WaitGroup
		next     int
		doneCost = 0.0
		failure  error
		runStart = time.Now()
		progress = Progress{Total: len(cells), Resumed: len(cells) - len(pending), Done: len(cells) - len(pending)}
	)
	for range min(runtime.GOMAXPROCS(0), max(1, len(pending))) {
		wg.Go(func() {
			for {
				mu.Lock()
				if next >= len(pending) || failure != nil || ctx.Err() != nil {
					mu.Unlock()
					return
				}
				c := pending[next]
				next++
				mu.Unlock()
				start := time.Now()
				result, err := fleet.Run(c.Workload, c.Policy)
				row := newRow(c, result, commit, time.Since(start))
				mu.Lock()
				if err == nil {
					err = write(out, row)
				}
				if err != nil {
					failure = errors.Join(failure, fmt.Errorf("%s: %w", c.Key(), err))
				} else {
					doneCost += c.cost()
					progress.Done, progress.Last = progress.Done+1, row
					progress.Remaining = time.Duration((totalCost - doneCost) / doneCost * float64(time.Since(runStart)))
					if onProgress != nil {
						onProgress(progress)
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if failure == nil {
		failure = ctx.Err()
	}
	return failure
}

// write appends a row with a single write.
func write(out *os.File, row Row) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	if len(raw) >= maxRowSize {
		return fmt.Errorf("a row of %d bytes", len(raw))
	}
	_, err = out.Write(append(raw, '\n'))
	return err
}
