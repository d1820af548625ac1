package main

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["planned-restart"] = plannedRestart }

// killAfter is when the platform of this case kills a node that it has told to end. The pages allow
// it from 3.7 s on.
const killAfter = 20 * time.Second

const (
	signalAfter = time.Second
	earlyEnd    = 3600 * time.Millisecond // after SIGTERM; SIGKILL comes no sooner than after 3.7 s
	shortSize   = 1 << 20                 // bytes
)

// plannedRestart: clients read long answers at a constant rate, some 8 s each, and answers that
// their servers spread over a time that ends before SIGKILL could come at the earliest. After a
// second the platform tells one of three nodes to end.
func plannedRestart(l *lab) (broken bool) {
	d := l.deploy(6, 3, kampklip, nil)
	var begun, cut atomic.Int64
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			size, rate, spread := answerSize, ordinaryRate, time.Duration(0)
			if i >= 6 {
				size, rate, spread = shortSize, 0, signalAfter+earlyEnd
			}
			started, whole := l.readAnswer(d.configs[i%3], size, rate, spread)
			if started {
				begun.Add(1)
			}
			if started && !whole {
				cut.Add(1)
			}
		}()
	}
	time.Sleep(signalAfter)
	if l.trouble {
		d.nodes[0].signal(syscall.SIGTERM)
		l.logf("n0 gets SIGTERM")
		select {
		case <-d.nodes[0].done:
		case <-time.After(killAfter):
			d.nodes[0].signal(syscall.SIGKILL)
			l.logf("n0 gets SIGKILL")
		}
	}
	wg.Wait()
	l.logf("answers begun %d, cut off %d", begun.Load(), cut.Load())
	if begun.Load() == 0 {
		panic(cannotRun{errors.New("no answer began")})
	}
	return cut.Load() > 0
}
