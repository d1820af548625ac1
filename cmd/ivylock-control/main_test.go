package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
)

const patience = 20 * time.Second

const good = `[control]
listen = "127.0.0.1:0"
plain_text = true
discovery = "127.0.0.1:1"

[[control.service]]
name = "clips"

[[control.service.class]]
name = "fetch"
effect = "safe"
aim = "1s"
deadline = "5s"
`

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "control")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "ivylock-control")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func file(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestABadFileIsOneLineAndExitCodeTwo(t *testing.T) {
	secure := strings.Replace(good, "plain_text = true", "cert = \"/none/cert\"\nkey = \"/none/key\"\nclient_ca = \"/none/ca\"", 1)
	secure = strings.Replace(secure, "name = \"clips\"", "name = \"clips\"\nproxies = [\"*\"]", 1)
	for _, c := range []struct {
		text string
		line int
		says string
	}{
		{"", 1, "[control]"},
		{strings.Replace(good, "effect", "efect", 1), 11, "unknown key"},
		{strings.Replace(good, "127.0.0.1:0", "0.0.0.0:0", 1), 2, "loopback"},
		{secure, 3, "/none/cert"},
	} {
		path := file(t, c.text)
		out, err := exec.Command(program, "-config", path).CombinedOutput()
		code := -1
		if x, ok := err.(*exec.ExitError); ok {
			code = x.ExitCode()
		}
		text := strings.TrimSuffix(string(out), "\n")
		if code != 2 || strings.Contains(text, "\n") || !strings.HasPrefix(text, fmt.Sprintf("%s:%d: ", path, c.line)) || !strings.Contains(text, c.says) {
			t.Errorf("exit code %d, %q; wanted line %d and %q", code, text, c.line, c.says)
		}
	}
}

// A bad file on SIGHUP changes nothing; SIGTERM ends it with 0.
func TestReloadAndEnd(t *testing.T) {
	path := file(t, good)
	cmd := exec.Command(program, "-config", path)
	said, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := make(chan string, 100)
	go func() {
		for s := bufio.NewScanner(said); s.Scan(); {
			lines <- s.Text()
		}
		close(lines)
	}()
	wait := func(what string) string {
		t.Helper()
		for end := time.After(patience); ; {
			select {
			case l, ok := <-lines:
				if !ok {
					t.Fatalf("it ended without %q", what)
				}
				if strings.Contains(l, what) {
					return l
				}
			case <-end:
				t.Fatalf("it does not say %q", what)
			}
		}
	}
	_, addr, _ := strings.Cut(wait("addr="), "addr=")
	addr, _, _ = strings.Cut(addr, " ")
	for _, c := range []struct{ text, says string }{{"[control", "not reloaded"}, {good, "msg=reloaded"}} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		wait(c.says)
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		if _, err := healthv1.NewHealthClient(conn).Check(ctx, &healthv1.HealthCheckRequest{}); err != nil {
			t.Errorf("after %q: %v", c.says, err)
		}
		cancel()
		conn.Close()
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ended with %v", err)
	}
}

// A log whose reader is gone ends nothing: it reloads, and ends at SIGTERM with 0.
func TestALogThatIsGoneEndsNothing(t *testing.T) {
	path := file(t, good)
	said, theirs, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "-config", path)
	cmd.Stderr = theirs
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	theirs.Close()
	serves := false
	for s := bufio.NewScanner(said); !serves && s.Scan(); {
		serves = strings.Contains(s.Text(), "msg=serves")
	}
	said.Close()
	for range 3 {
		cmd.Process.Signal(syscall.SIGHUP) // which is logged
		time.Sleep(20 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !serves {
		t.Errorf("served: %v; it ended with %v", serves, err)
	}
}
