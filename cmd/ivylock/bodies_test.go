package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// residentMB is the memory that a process has in use (VmHWM: the most so far).
func residentMB(t testing.TB, pid int) float64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	var kb float64
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		t.Fatal(err)
	}
	return kb / 1024
}

// manyBodies has so many answers of a size under way at once, every second one
// to a client that reads at 64 kB a second, and small requests beside them. It
// tells how much memory the node took and how long the small ones did.
func manyBodies(t testing.TB, many int, size int64) (most float64, small time.Duration) {
	t.Helper()
	piece := make([]byte, 64<<10)
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.Header.Get("Request-Id"), "large") {
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for sent := int64(0); sent < size; sent += int64(len(piece)) {
			if _, err := w.Write(piece[:min(size-sent, int64(len(piece)))]); err != nil {
				return
			}
		}
	}))
	t.Cleanup(b.Close)
	addrs := make([]string, 24)
	for i := range addrs {
		addrs[i] = b.Listener.Addr().String()
	}
	text := strings.Replace(nodetest.ConfigJSON(nodetest.ClosedAddr(t), addrs...), `"memory_mb":192`, `"memory_mb":32`, 1)
	path := t.TempDir() + "/config.json"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	l.Close()
	c := command(path)
	c.Env = append(c.Env, "PROXY_INHERITED_FD=7", "TMPDIR="+t.TempDir())
	c.ExtraFiles = []*os.File{nil, nil, nil, nil, socket}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Wait()
	defer c.Process.Kill()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ask := func(id string, rate int64) error {
		req, _ := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/clip", nil)
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Class", "clip")
		req.Header.Set("Request-Timeout-Ms", "30000")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != 200 {
			return fmt.Errorf("%s: %s", id, resp.Status)
		}
		if rate == 0 {
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		}
		for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(100 * time.Millisecond) { // a slow reader, for a while
			if _, err := io.CopyN(io.Discard, resp.Body, rate/10); err != nil {
				return err
			}
		}
		return nil
	}
	for i := range 60 { // the node learns how many the servers can hold
		if err := ask(fmt.Sprint("first", i), 0); err != nil {
			t.Fatal(err)
		}
	}
	var all sync.WaitGroup
	var whole atomic.Int64
	for i := range many {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := ask(fmt.Sprint("large", i), int64(i%2)*64000); err != nil {
				t.Error(err)
			}
			whole.Add(1)
		}()
	}
	for i := 0; whole.Load() < int64(many); i++ {
		began := time.Now()
		if err := ask(fmt.Sprint("small", i), 0); err != nil {
			t.Error(err)
		}
		small = max(small, time.Since(began))
		time.Sleep(10 * time.Millisecond)
	}
	all.Wait()
	return residentMB(t, c.Process.Pid), small
}

// Many long answers at once, half of them to slow readers, under a memory
// limit that they are far beyond.
func TestLongAnswersTakeLittleMemory(t *testing.T) {
	most, small := manyBodies(t, 24, 8<<20)
	if most > 64 { // the race detector takes several times what the node does
		t.Errorf("the node took %.0f MB", most)
	}
	t.Logf("%.1f MB for 24 answers of 8 MB; the slowest small request beside them took %v", most, small)
}

// BenchmarkLongAnswers is the hard case in full: 64 answers of 32 MB.
func BenchmarkLongAnswers(b *testing.B) {
	for b.Loop() {
		most, small := manyBodies(b, 64, 32<<20)
		b.ReportMetric(most, "MB")
		b.ReportMetric(float64(small.Milliseconds()), "ms-small-max")
	}
}
