package main

import (
	"bufio"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"ivylock/internal/nodetest"
)

// pipe returns both ends of a pipe with a buffer of one page.
func pipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		read.Close()
		write.Close()
	})
	const setPipeSize = 1031 // F_SETPIPE_SZ
	if _, _, e := syscall.Syscall(syscall.SYS_FCNTL, write.Fd(), setPipeSize, uintptr(os.Getpagesize())); e != 0 {
		t.Fatal(e)
	}
	return read, write
}

// waitUp waits until the node at addr serves. It returns false on a timeout.
func waitUp(addr string) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(nodetest.WaitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if resp, err := client.Get("http://" + addr + "/up"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// A node whose log is not read starts, serves, reloads and exits normally.
func TestUnreadLogDoesNotBlock(t *testing.T) {
	t.Parallel()
	_, log := pipe(t)
	if _, err := log.Write(make([]byte, os.Getpagesize())); err != nil { // fill the pipe
		t.Fatal(err)
	}
	addr := nodetest.FreeAddr(t)
	c := command(write(t, strings.Replace(nodetest.ConfigJSON(nodetest.ClosedAddr(t)), `"listen":"127.0.0.1:0"`, `"listen":"`+addr+`"`, 1)))
	c.Env = append(c.Env, "GORACE=atexit_sleep_ms=0")
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	if !waitUp(addr) {
		t.Fatal("the node does not serve")
	}
	for range 5 {
		c.Process.Signal(syscall.SIGHUP)
	}
	c.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(nodetest.WaitTimeout):
		t.Error("the node has not exited")
	}
}

// A node whose log has been closed by the reader continues to serve.
func TestClosedLogDoesNotEndProcess(t *testing.T) {
	t.Parallel()
	log, childLog := pipe(t)
	c := command(write(t, nodetest.ConfigJSON(nodetest.ClosedAddr(t))))
	c.Env = append(c.Env, "GORACE=atexit_sleep_ms=0")
	c.Stderr = childLog
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Process.Kill() })
	childLog.Close()
	addr := ""
	for lines := bufio.NewScanner(log); addr == "" && lines.Scan(); {
		_, addr, _ = strings.Cut(lines.Text(), " serves on ")
	}
	log.Close()
	c.Process.Signal(syscall.SIGHUP) // causes a log line
	time.Sleep(50 * time.Millisecond)
	if !waitUp(addr) {
		t.Error("the node no longer serves")
	}
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("exited with %v", err)
	}
}
