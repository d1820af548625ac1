package caller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"ivylock/internal/bounded"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/socket"
)

// lateKind is what a connection to a process that is told to end has carried.
type lateKind int

const (
	idle   lateKind = iota // requests
	unused                 // nothing
	begun                  // a part of a request
	lateKinds
)

// SendDuringShutdown sends requests to a process that is told to end, from now until it is killed, on
// connections of each kind. It takes so many that are idle and opens as many new ones of
// each other kind at once, and returns when all have been answered, or have ended. seed
// draws classes and times.
func (c *Clients) SendDuringShutdown(p Target, classes []history.Class, connections int, until time.Duration, seed int64) {
	r := rand.New(rand.NewPCG(uint64(seed), 0x6c617465))
	var all sync.WaitGroup
	send := func(k *conn, kind lateKind) {
		class := &classes[r.IntN(len(classes))]
		o := &load.Order{ID: fmt.Sprintf("late%d", c.extra.Add(1)), Class: class, Work: (class.WorkLow + class.WorkHigh) / 2}
		if class.Effect == history.Keyed {
			o.Key = fmt.Sprintf("late%016x", r.Uint64())
		}
		var wait time.Duration
		switch r.IntN(4) {
		case 0: // at any time
			wait = time.Duration(r.Int64N(int64(until)))
		case 1: // while the process still takes requests, or just after
			wait = time.Duration(r.Int64N(int64(takesTime)))
		case 2: // in the last moments
			wait = until - time.Duration(r.Int64N(int64(lastMoments)))
		case 3: // never, as far as the process is concerned
			wait = until + lastMoments
		}
		part := 0
		if kind == begun {
			part = 1 + r.IntN(leastText)
		}
		all.Go(func() { c.late(o, k, kind, part, wait) })
	}
	for _, k := range c.resting(p, connections) {
		send(k, idle)
	}
	for kind := unused; kind < lateKinds; kind++ {
		for range connections {
			if nc, err := socket.Dial(p.Addr, dialTime); err == nil {
				c.mu.Lock()
				c.open++
				c.mu.Unlock()
				send(newConn(nc, p), kind)
			}
		}
	}
	all.Wait()
}

const (
	takesTime   = 800 * time.Millisecond // in which a process that was told to end takes requests, and a little more
	lastMoments = 200 * time.Millisecond
	leastText   = 100 // bytes that a request has at least
)

// resting takes so many idle connections of a process out of use.
func (c *Clients) resting(p Target, most int) (out []*conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for hall, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if k.place == p && len(out) < most {
				out = append(out, k)
			} else {
				kept = append(kept, k)
			}
		}
		c.idle[hall] = kept
	}
	return out
}

// late sends a request after a wait, on a connection that still stands then. A part of it
// goes ahead.
func (c *Clients) late(o *load.Order, k *conn, kind lateKind, part int, wait time.Duration) {
	id := o.ID + ".0"
	patience := o.Class.Deadline // the longest that a client waits
	text := wording(o, id, patience)
	io.WriteString(k, text[:part])
	time.Sleep(wait)
	if !bounded.OpenAndIdle(k.TCPConn) { // the process has ended it, or has answered the part
		c.drop(k)
		return
	}
	began := time.Now()
	c.Record(history.Event{At: c.Clock(), Kind: history.OrderIssued, Order: o.ID, Class: o.Class.Name})
	r := c.exchange(k, text[part:], id, o, patience)
	c.mu.Lock()
	c.stats.LateRequests++
	c.mu.Unlock()
	if !r.written {
		return
	}
	if r.status == history.ConnectionBroken && r.silent && kind != begun && !c.Balancer.wasKilled(k.place, began) {
		r.status = history.CloseRace // a client would send it once more elsewhere
		if kind == unused {
			c.mu.Lock()
			c.stats.CloseRaces++
			c.mu.Unlock()
		}
	}
	c.tell(o, id, 0, k, r, patience)
}
