package main

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"ivylock/fleet/version"
)

// controlProcess is a running ivylock-control process.
type controlProcess struct {
	cmd               *exec.Cmd
	addr, consoleAddr string
	mu                sync.Mutex
	log               []string
}

// freeAddr returns an unused loopback address.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startControl starts a control service with the given configuration and waits until it listens.
func startControl(t *testing.T, config string) *controlProcess {
	t.Helper()
	s := &controlProcess{cmd: exec.Command(program, "-config", writeConfig(t, config))}
	stderr, err := s.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.kill)
	addrs := make(chan [2]string, 2)
	go func() {
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			s.mu.Lock()
			s.log = append(s.log, scanner.Text())
			s.mu.Unlock()
			for _, key := range []string{"addr=", "console="} {
				if _, addr, found := strings.Cut(scanner.Text(), key); found {
					addr, _, _ = strings.Cut(addr, " ")
					select {
					case addrs <- [2]string{key, addr}:
					default:
					}
				}
			}
		}
	}()
	for missing := 1 + strings.Count(config, "\nconsole ="); missing > 0; missing-- {
		select {
		case found := <-addrs:
			if found[0] == "addr=" {
				s.addr = found[1]
			} else {
				s.consoleAddr = found[1]
			}
		case <-time.After(waitTimeout):
			t.Fatalf("control service does not listen; log: %s", s.logText())
		}
	}
	return s
}

// kill sends SIGKILL.
func (s *controlProcess) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

func (s *controlProcess) logText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.log, "\n")
}

// fetchRecord requests the record from the console.
func (s *controlProcess) fetchRecord() (record version.Record, err error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + s.consoleAddr + "/fleet/record")
	if err != nil {
		return record, err
	}
	defer resp.Body.Close()
	return record, json.NewDecoder(resp.Body).Decode(&record)
}
