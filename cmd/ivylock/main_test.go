package main

import (
	"bufio"
	"errors"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"ivylock/internal/lab/sysfault"
	"ivylock/internal/wallclock"
)

// TestMain lets the tests run this program as a child process.
func TestMain(m *testing.M) {
	if sysfault.IsLauncher() {
		sysfault.RunLauncher()
	}
	if os.Getenv("IVYLOCK_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func command(config string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "IVYLOCK_TEST_RUN=1", "PROXY_CONFIG="+config)
	return c
}

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestInvalidConfigExitsWithOneLine(t *testing.T) {
	for name, config := range map[string]string{
		"not named": "", "missing": filepath.Join(t.TempDir(), "none"), "malformed": write(t, "{"), "empty": write(t, "{}"),
		"wrong type": write(t, `{"seed":"1","listen":["x"]}`), "two lines": write(t, "{\n\n\"name\": nobody\n}"),
	} {
		out, err := command(config).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 {
			t.Errorf("%s: exited with %v", name, err)
		}
		if strings.Count(string(out), "\n") != 1 || !strings.HasPrefix(string(out), "ivylock: ") {
			t.Errorf("%s: printed %q", name, out)
		}
	}
}

// Whoever waits for the "serves on" line must find all other addresses logged before it.
func TestServesLineIsLoggedLast(t *testing.T) {
	path := write(t, `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
		"peer_listen":"127.0.0.1:0","peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:2",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":{"balancers":1,"membership_mode":"on_request",
		"caps":{"conn_idle_ns":60000000000,"connect_timeout_ns":250000000,"max_attempts":4,"most_held":100,"peers":true},
		"classes":[{"name":"clip","effect":"retryable","aim_ns":600000000,"give_up_ns":2000000000,"importance":1}]}}`)
	c := command(path)
	c.Env = append(c.Env, "PROXY_CONSOLE=127.0.0.1:0")
	log, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Process.Kill()
	var announced []string
	for lines := bufio.NewScanner(log); lines.Scan(); {
		for _, mark := range []string{" hears operators on ", " takes datagrams on ", " serves on "} {
			if strings.Contains(lines.Text(), mark) {
				announced = append(announced, strings.TrimSpace(mark))
			}
		}
		if len(announced) == 3 {
			break
		}
	}
	if want := []string{"hears operators on", "takes datagrams on", "serves on"}; !slices.Equal(announced, want) {
		t.Errorf("logged %q, want %q", announced, want)
	}
}

// SIGHUP must not end the program, even if the configuration file is invalid.
func TestServeReloadAndTerminate(t *testing.T) {
	const good = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":{"balancers":1,"membership_mode":"on_request",
		"caps":{"conn_idle_ns":60000000000,"connect_timeout_ns":250000000,"max_attempts":4,"most_held":100},
		"classes":[{"name":"clip","effect":"retryable","aim_ns":600000000,"give_up_ns":2000000000,"importance":1}]}}`
	path := write(t, good)
	c := command(path)
	log, err := c.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(log)
	expectLine := func(mark string) string {
		t.Helper()
		line, err := lines.ReadString('\n')
		_, rest, found := strings.Cut(strings.TrimSpace(line), mark)
		if err != nil || !found {
			c.Process.Kill()
			t.Fatalf("logged %q, %v; want %q", line, err, mark)
		}
		return rest
	}
	addr := expectLine(" serves on ")
	for _, step := range []struct{ config, mark string }{
		{strings.Replace(good, "127.0.0.1:1", "127.0.0.1:2", 1), " reloaded: discovery is at 127.0.0.1:2"},
		{"{", " not reloaded: "},
		{strings.Replace(good, "n0", "n1", 1), " not reloaded: configuration: name: "},
		{strings.Replace(good, `"clip"`, `"toll"`, 1), " not reloaded: configuration: settings.classes: "},
		{good, " reloaded: discovery is at 127.0.0.1:1"},
	} {
		if err := os.WriteFile(path, []byte(step.config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		expectLine(step.mark)
	}
	resp, err := http.Get("http://" + addr + "/up")
	if err != nil {
		t.Error(err)
	} else if resp.Body.Close(); resp.StatusCode != http.StatusOK {
		t.Errorf("/up: %s", resp.Status)
	}
	http.DefaultClient.CloseIdleConnections()
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		t.Error(err)
	}
	if err := c.Wait(); err != nil {
		t.Errorf("exited with %v", err)
	}
}

// An ordinary build rejects a request for fault injection.
func TestOrdinaryBuildRejectsFaultInjection(t *testing.T) {
	c := command(write(t, "{}"))
	c.Env = append(c.Env, wallclock.StepsVariable+"=1s:1h")
	out, err := c.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 2 || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), wallclock.StepsVariable) {
		t.Errorf("exited with %v and printed %q", err, out)
	}
}
