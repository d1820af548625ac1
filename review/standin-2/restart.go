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

// plannedRestart: clients read long answers at a constant rate, some 8 s each. After a second
// the platform tells one of three nodes to end.
func plannedRestart(l *lab) (broken bool) {
	d := l.deploy(6, 3, kampklip, nil)
	var begun, cut atomic.Int64
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			started, whole := l.readAnswer(d.configs[i%3], ordinaryRate)
			if started {
				begun.Add(1)
			}
			if started && !whole {
				cut.Add(1)
			}
		}()
	}
	time.Sleep(time.Second)
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
