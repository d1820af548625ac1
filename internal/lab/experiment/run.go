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

// Progress is how far a run is.
type Progress struct {
	Done, Total, Resumed int // cells; those found in the file
	Remaining            time.Duration
	Last                 Row
}

// collect is how much the heap may grow before the collector runs: a run has
// much garbage and little that lives.
const collect = 400

// Run plays the cells of a design that are not in the file yet, on all cores,
// and appends a row for each as it ends. Rows of another commit do not count.
// A run that was ended, by ctx or a kill, goes on where it was the next time.
func Run(ctx context.Context, d *Design, file, commit string, told func(Progress)) error {
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
	rows, whole, err := read(file)
	if err != nil {
		return err
	}
	if err := out.Truncate(whole); err != nil { // a row that was cut short
		return err
	}
	if _, err := out.Seek(whole, 0); err != nil {
		return err
	}
	found := map[string]bool{}
	for _, r := range rows {
		if r.Commit == commit {
			found[r.Key()] = true
		}
	}
	var left []Cell
	todo := 0.0
	for _, c := range cells {
		if !found[c.Key()] {
			left, todo = append(left, c), todo+c.cost()
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(collect))
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		next  int
		done  = 0.0
		bad   error
		begun = time.Now()
		p     = Progress{Total: len(cells), Resumed: len(cells) - len(left), Done: len(cells) - len(left)}
	)
	for range min(runtime.GOMAXPROCS(0), max(1, len(left))) {
		wg.Go(func() {
			for {
				mu.Lock()
				if next >= len(left) || bad != nil || ctx.Err() != nil {
					mu.Unlock()
					return
				}
				c := left[next]
				next++
				mu.Unlock()
				start := time.Now()
				r, err := fleet.Run(c.Workload, c.Policy)
				row := rowOf(c, r, commit, time.Since(start))
				mu.Lock()
				if err == nil {
					err = write(out, row)
				}
				if err != nil {
					bad = errors.Join(bad, fmt.Errorf("%s: %w", c.Key(), err))
				} else {
					done += c.cost()
					p.Done, p.Last = p.Done+1, row
					p.Remaining = time.Duration((todo - done) / done * float64(time.Since(begun)))
					if told != nil {
						told(p)
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if bad == nil {
		bad = ctx.Err()
	}
	return bad
}

// write appends a row in one piece.
func write(out *os.File, row Row) error {
	raw, err := json.Marshal(row)
	if err != nil {
		return err
	}
	if len(raw) >= maxRow {
		return fmt.Errorf("a row of %d bytes", len(raw))
	}
	_, err = out.Write(append(raw, '\n'))
	return err
}
