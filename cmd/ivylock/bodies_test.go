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

// residentMB returns the peak resident memory of a process in MB.
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

// measureLongResponses has count responses of the given size in progress at once, every
// second one to a client that reads at 64 kB/s, together with small requests. It returns
// the peak memory of the node and the longest time of a small request.
func measureLongResponses(t testing.TB, count int, size int64) (peakMB float64, slowestSmall time.Duration) {
	t.Helper()
	chunk := make([]byte, 64<<10)
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.Header.Get("Request-Id"), "large") {
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for sent := int64(0); sent < size; sent += int64(len(chunk)) {
			if _, err := w.Write(chunk[:min(size-sent, int64(len(chunk)))]); err != nil {
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
	request := func(id string, rate int64) error {
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
		// Read slowly.
		for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(100 * time.Millisecond) {
			if _, err := io.CopyN(io.Discard, resp.Body, rate/10); err != nil {
				return err
			}
		}
		return nil
	}
	for i := range 60 { // the node learns the servers' capacity
		if err := request(fmt.Sprint("first", i), 0); err != nil {
			t.Fatal(err)
		}
	}
	var clients sync.WaitGroup
	var completed atomic.Int64
	for i := range count {
		clients.Add(1)
		go func() {
			defer clients.Done()
			if err := request(fmt.Sprint("large", i), int64(i%2)*64000); err != nil {
				t.Error(err)
			}
			completed.Add(1)
		}()
	}
	for i := 0; completed.Load() < int64(count); i++ {
		start := time.Now()
		if err := request(fmt.Sprint("small", i), 0); err != nil {
			t.Error(err)
		}
		slowestSmall = max(slowestSmall, time.Since(start))
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	return residentMB(t, c.Process.Pid), slowestSmall
}

// Long responses that together far exceed the memory limit, half of them to slow readers,
// must not be buffered.
func TestLongResponsesUseLittleMemory(t *testing.T) {
	peakMB, slowestSmall := measureLongResponses(t, 24, 8<<20)
	if peakMB > 64 { // the race detector multiplies the memory use
		t.Errorf("the node used %.0f MB", peakMB)
	}
	t.Logf("%.1f MB for 24 responses of 8 MB; the slowest concurrent small request took %v", peakMB, slowestSmall)
}

// BenchmarkLongResponses measures 64 concurrent responses of 32 MB.
func BenchmarkLongResponses(b *testing.B) {
	for b.Loop() {
		peakMB, slowestSmall := measureLongResponses(b, 64, 32<<20)
		b.ReportMetric(peakMB, "MB")
		b.ReportMetric(float64(slowestSmall.Milliseconds()), "ms-small-max")
	}
}
