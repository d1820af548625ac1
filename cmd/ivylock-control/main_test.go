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

const waitTimeout = 20 * time.Second

const minimalConfig = `[control]
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

func writeConfig(t *testing.T, config string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestInvalidConfigPrintsOneLineAndExitsWithTwo(t *testing.T) {
	secure := strings.Replace(minimalConfig, "plain_text = true",
		"cert = \"/none/cert\"\nkey = \"/none/key\"\nclient_ca = \"/none/ca\"", 1)
	secure = strings.Replace(secure, "name = \"clips\"", "name = \"clips\"\nproxies = [\"*\"]", 1)
	for _, c := range []struct {
		config string
		line   int
		want   string
	}{
		{"", 1, "[control]"},
		{strings.Replace(minimalConfig, "effect", "efect", 1), 11, "unknown key"},
		{strings.Replace(minimalConfig, "127.0.0.1:0", "0.0.0.0:0", 1), 2, "loopback"},
		{secure, 3, "/none/cert"},
	} {
		path := writeConfig(t, c.config)
		out, err := exec.Command(program, "-config", path).CombinedOutput()
		exitCode := -1
		if exitErr, ok := err.(*exec.ExitError); ok {
			exitCode = exitErr.ExitCode()
		}
		output := strings.TrimSuffix(string(out), "\n")
		if exitCode != 2 || strings.Contains(output, "\n") ||
			!strings.HasPrefix(output, fmt.Sprintf("%s:%d: ", path, c.line)) ||
			!strings.Contains(output, c.want) {
			t.Errorf("exit code %d, output %q; want line %d and %q", exitCode, output, c.line, c.want)
		}
	}
}

// An invalid file on SIGHUP changes nothing; SIGTERM ends the process with status 0.
func TestReloadAndShutdown(t *testing.T) {
	path := writeConfig(t, minimalConfig)
	cmd := exec.Command(program, "-config", path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	lines := make(chan string, 100)
	go func() {
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			lines <- scanner.Text()
		}
		close(lines)
	}()
	waitForLog := func(what string) string {
		t.Helper()
		for timeout := time.After(waitTimeout); ; {
			select {
			case line, ok := <-lines:
				if !ok {
					t.Fatalf("process ended without logging %q", what)
				}
				if strings.Contains(line, what) {
					return line
				}
			case <-timeout:
				t.Fatalf("%q is not logged", what)
			}
		}
	}
	_, addr, _ := strings.Cut(waitForLog("addr="), "addr=")
	addr, _, _ = strings.Cut(addr, " ")
	for _, c := range []struct{ config, logged string }{{"[control", "not reloaded"}, {minimalConfig, "msg=reloaded"}} {
		if err := os.WriteFile(path, []byte(c.config), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
		waitForLog(c.logged)
		conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		if _, err := healthv1.NewHealthClient(conn).Check(ctx, &healthv1.HealthCheckRequest{}); err != nil {
			t.Errorf("after %q: %v", c.logged, err)
		}
		cancel()
		conn.Close()
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Without a reader of its log the service still handles reloads, and exits with status 0 on SIGTERM.
func TestClosedLogReaderDoesNotStopService(t *testing.T) {
	path := writeConfig(t, minimalConfig)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(program, "-config", path)
	cmd.Stderr = writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	writer.Close()
	serves := false
	for scanner := bufio.NewScanner(reader); !serves && scanner.Scan(); {
		serves = strings.Contains(scanner.Text(), "msg=serves")
	}
	reader.Close()
	for range 3 {
		cmd.Process.Signal(syscall.SIGHUP) // each reload writes a log line
		time.Sleep(20 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || !serves {
		t.Errorf("served: %v; exit: %v", serves, err)
	}
}
