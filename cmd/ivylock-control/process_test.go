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

// service is a control service that runs as a process.
type service struct {
	cmd           *exec.Cmd
	addr, console string
	mu            sync.Mutex
	log           []string
}

// free gives a loopback address that nobody listens on.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve starts a control service with the text of an operator's file, and waits until
// it listens.
func serve(t *testing.T, text string) *service {
	t.Helper()
	s := &service{cmd: exec.Command(program, "-config", file(t, text))}
	said, err := s.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.kill)
	told := make(chan [2]string, 2)
	go func() {
		for lines := bufio.NewScanner(said); lines.Scan(); {
			s.mu.Lock()
			s.log = append(s.log, lines.Text())
			s.mu.Unlock()
			for _, key := range []string{"addr=", "console="} {
				if _, a, found := strings.Cut(lines.Text(), key); found {
					a, _, _ = strings.Cut(a, " ")
					select {
					case told <- [2]string{key, a}:
					default:
					}
				}
			}
		}
	}()
	for want := 1 + strings.Count(text, "\nconsole ="); want > 0; want-- {
		select {
		case x := <-told:
			if x[0] == "addr=" {
				s.addr = x[1]
			} else {
				s.console = x[1]
			}
		case <-time.After(patience):
			t.Fatalf("it does not serve: %s", s.said())
		}
	}
	return s
}

// kill ends it by SIGKILL.
func (s *service) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

func (s *service) said() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.log, "\n")
}

// record asks its console.
func (s *service) record() (r version.Record, err error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + s.console + "/fleet/record")
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	return r, json.NewDecoder(resp.Body).Decode(&r)
}
