package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// floods are requests that one client sends at full speed, by what is new in each. %[1]d is a number
// that no other request has.
var floods = map[string]string{
	"small requests":   "GET /clip HTTP/1.1\r\nHost: x\r\nRequest-Id: %[1]d\r\nRequest-Class: clip\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
	"long ids":         "GET /clip HTTP/1.1\r\nHost: x\r\nRequest-Id: " + strings.Repeat("x", 7000) + "%[1]d\r\nRequest-Class: clip\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
	"keys and tenants": "GET /clip/%[1]d?sid=%[1]d HTTP/1.1\r\nHost: h%[1]d\r\nRequest-Id: %[1]d\r\nRequest-Class: clip\r\nTenant: tenant-%[1]d\r\nX-%[1]d: y\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
	"unknown classes":  "GET /none-%[1]d HTTP/1.1\r\nHost: x\r\nRequest-Id: %[1]d\r\nRequest-Class: none-%[1]d\r\nRequest-Timeout-Ms: 2000\r\n\r\n",
	"malformed":        "\x00\x01 %[1]d\r\n\r\n",
	"no time":          "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: %[1]d\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 1\r\nContent-Length: 2\r\n\r\nab",
	"chunk extensions": "POST /order HTTP/1.1\r\nHost: x\r\nRequest-Id: %[1]d\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 2000\r\nTransfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("e", 3000) + "\r\na\r\n0\r\nX-%[1]d: t\r\n\r\n",
	"idempotency keys": "POST /tag HTTP/1.1\r\nHost: x\r\nRequest-Id: %[1]d\r\nRequest-Class: tag\r\nIdempotency-Key: k%[1]d\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: 2\r\n\r\nab",
}

// flood sends requests at full speed over one connection, pipelined or one after the other, and opens a
// new one when the node closes it. It returns how many it sent.
func flood(ctx context.Context, addr, text string, first int, pipelined bool) (sent int) {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		answers := bufio.NewReader(conn)
		if pipelined {
			go io.Copy(io.Discard, answers)
		}
		for err == nil {
			if _, err = fmt.Fprintf(conn, text, first+sent); err == nil && !pipelined {
				c := Crowd{}
				if !c.readAnswer(ctx, answers) {
					err = io.EOF
				}
			}
			sent++
		}
		stop()
		conn.Close()
	}
	return sent
}

// Guards against a client that sends small or unsound requests at full speed, under ever new names: others
// get their answers in time and memory does not grow.
func TestFloodOnOneConnectionHarmsNobodyElse(t *testing.T) {
	for name, text := range floods {
		if name == "long ids" { // on many connections, below
			continue
		}
		for _, pipelined := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pipelined %v", name, pipelined), func(t *testing.T) { playFlood(t, text, 1, pipelined, 2*time.Second) })
		}
	}
}

// playFlood runs a flood on a number of connections beside a sound client.
func playFlood(t *testing.T, text string, connections int, pipelined bool, length time.Duration) {
	t.Helper()
	const memoryMB = 64
	n := startNode(t, memoryMB, 1024)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var all sync.WaitGroup
	sound, sent := &soundClient{}, make([]int, connections)
	all.Go(func() { sound.run(ctx, n.addr) })
	for i := range connections {
		all.Go(func() { sent[i] = flood(ctx, n.addr, text, i*100_000_000, pipelined) })
	}
	time.Sleep(length / 2)
	middle := n.memoryMB(t, "VmRSS")
	all.Wait()
	end := n.memoryMB(t, "VmRSS")
	total := 0
	for _, count := range sent {
		total += count
	}
	t.Logf("%d requests on %d connections: %.0f MB in the middle, %.0f MB at the end, peak %.0f MB; sound requests: %v", total, connections, middle, end, n.memoryMB(t, "VmHWM"), sound)
	if lost := sound.late.Load() + sound.lost.Load(); lost > 0 || sound.served.Load() < sound.sent.Load()/2 {
		t.Errorf("sound requests: %v", sound)
	}
	if peak := n.memoryMB(t, "VmHWM"); peak > memoryMB {
		t.Errorf("the process took %.0f MB of %d", peak, memoryMB)
	}
	for _, line := range n.brokenInvariants() {
		t.Error(line)
	}
}

// Guards against a history of events that holds as much as clients write into their ids.
func TestFloodOfLongIDsTakesLittleMemory(t *testing.T) {
	playFlood(t, floods["long ids"], 40, false, 4*time.Second)
}
