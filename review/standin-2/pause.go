package main

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["pausing-server"] = pausingServer }

// pausingServer: one of six servers hangs for 15 s while it gives long answers, and then goes on.
func pausingServer(l *lab) (broken bool) {
	d := l.deploy(6, 3, kampklip, nil)
	var begun, cut atomic.Int64
	var wg sync.WaitGroup
	for i := range 12 {
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
	time.Sleep(700 * time.Millisecond)
	if l.trouble {
		d.servers[4].signal(syscall.SIGSTOP)
		l.logf("%s hangs", d.servers[4].name)
		time.Sleep(15 * time.Second)
		d.servers[4].signal(syscall.SIGCONT)
		l.logf("%s goes on", d.servers[4].name)
	}
	wg.Wait()
	l.logf("answers begun %d, cut off %d", begun.Load(), cut.Load())
	if begun.Load() == 0 {
		panic(cannotRun{errors.New("no answer began")})
	}
	return cut.Load() > 0
}
