package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["moved-discovery"] = movedDiscovery }

const (
	// toldAfter is the longest time after which a change counts as told by any sentence: 2 s after
	// the wait of a call, which the nodes give as 10 s at most; 10 s where a node does not ask
	// (ask_within); 6 s after discovery could be reached. The last two are added up here.
	toldAfter  = 16 * time.Second
	drainGrace = 550 * time.Millisecond // and the slack of 50 ms
	watchLate  = 8 * time.Second
)

// movedDiscovery: a new configuration moves the nodes to another discovery. One of six servers is
// gone by then, and the new discovery has never had it; its process still runs.
func movedDiscovery(l *lab) (broken bool) {
	d := l.deploy(6, 3, kampklip, nil)
	gone := d.entries[5]
	stop, clients := make(chan struct{}), sync.WaitGroup{}
	for i := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			l.sendUntil(d.configs[i%3], stop)
		}()
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		next := l.startDiscovery(d.entries[:5])
		next.mu.Lock()
		next.generation, next.changesSinceZero = 7, true
		next.onAnswer = func(query string, answer list) {
			l.logf("new discovery: %q is answered with version %d, reset %v, %d entries", query, answer.Generation, answer.Reset, len(answer.Instances))
		}
		for id := range next.changedAt {
			next.changedAt[id] = 7
		}
		next.mu.Unlock()
		for i, c := range d.configs {
			c.Discovery = next.addr
			check(os.WriteFile(filepath.Join(l.dir, c.Name+".json"), c.json(), 0o600))
			d.nodes[i].signal(syscall.SIGHUP)
		}
		l.logf("SIGHUP: discovery is at %s, version 7, without %s", next.addr, gone.InstanceID)
	} else {
		gone.Lifecycle = "removed"
		d.discovery.set(gone)
		l.logf("discovery: %s is gone", gone.InstanceID)
	}
	moved := time.Now()
	time.Sleep(toldAfter + drainGrace + watchLate)
	close(stop)
	clients.Wait()
	before, after, late := 0, 0, 0
	d.mu.Lock()
	for _, r := range d.runs {
		switch {
		case r.Server != gone.InstanceID:
		case r.At.Before(moved):
			before++
		case r.At.After(moved.Add(toldAfter + drainGrace)):
			late++
		default:
			after++
		}
	}
	d.mu.Unlock()
	l.logf("%s ran %d requests before, %d in the %v after, and %d later", gone.InstanceID, before, after, toldAfter+drainGrace, late)
	if before == 0 {
		panic(cannotRun{errors.New("the server got no request before")})
	}
	return late > 0
}

// sendUntil sends one request after the other on a kept connection.
func (l *lab) sendUntil(node nodeConfig, stop chan struct{}) {
	var conn net.Conn
	var in *bufio.Reader
	for {
		select {
		case <-stop:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if conn == nil {
			var err error
			conn, err = net.Dial("tcp", node.Listen)
			if err != nil {
				l.fail(err)
				return
			}
			in = bufio.NewReader(conn)
		}
		id := newID()
		fmt.Fprintf(conn, "GET /viewer-clip?sid=%s&work=10 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: %s\r\nRequest-Class: viewer-clip\r\nRequest-Timeout-Ms: 1600\r\n\r\n", newID(), id)
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		resp, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			l.logf("request %s to %s: no whole answer: %v", id, node.Name, err)
		} else {
			l.logf("request %s to %s: %s", id, node.Name, resp.Status)
		}
		if err != nil || resp.Close {
			conn.Close()
			conn = nil
		}
	}
}
