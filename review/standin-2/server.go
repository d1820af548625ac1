package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serverMain is a server of the protocol page, a process of its own. It writes a line for each
// request that it runs. The query parameter size gives the length of the answer, work the time
// that it takes in milliseconds, spread the time over which the answer is given in pieces.
func serverMain(args []string) {
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	addr, name := flags.String("addr", "", "address"), flags.String("name", "", "name")
	flags.Parse(args)
	listener, err := net.Listen("tcp", *addr)
	if err != nil {
		fmt.Println("cannot listen:", err)
		os.Exit(2)
	}
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf("%d %s\n", time.Now().UnixNano(), fmt.Sprintf(format, args...))
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/alive":
			return
		case "/metrics/load":
			io.WriteString(w, "inflight=1,queue=0")
			return
		}
		id := r.Header.Get("Request-Id")
		if id == "" {
			http.NotFound(w, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			say("broken %s", id)
			return
		}
		say("run %s %s %s", id, r.Header.Get("Idempotency-Key"), r.Header.Get("Request-Timeout-Ms"))
		work, _ := strconv.Atoi(r.URL.Query().Get("work"))
		time.Sleep(time.Duration(work) * time.Millisecond)
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		head := fmt.Sprintf("answer of %s to %s\n", *name, id)
		size = max(size, len(head))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		spread, _ := strconv.Atoi(r.URL.Query().Get("spread"))
		began := time.Now()
		out := bufio.NewWriterSize(w, 32<<10)
		out.WriteString(head)
		filler := strings.Repeat(id[:8], 128)
		for left := size - len(head); left > 0; left -= len(filler) {
			due := began.Add(time.Duration(spread) * time.Millisecond * time.Duration(size-left) / time.Duration(size))
			if wait := time.Until(due); wait > 10*time.Millisecond {
				out.Flush()
				http.NewResponseController(w).Flush()
				time.Sleep(wait)
			}
			if _, err := out.WriteString(filler[:min(left, len(filler))]); err != nil {
				say("unfinished %s: %v", id, err)
				return
			}
		}
		if err := out.Flush(); err != nil {
			say("unfinished %s: %v", id, err)
			return
		}
		say("answered %s", id)
	})
	say("listens")
	http.Serve(listener, handler)
}
