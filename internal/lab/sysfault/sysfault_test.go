package sysfault

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// targetVariable makes the test's program a target, which makes one call for each line that it reads.
const targetVariable = "SYSFAULT_TEST_TARGET"

func TestMain(m *testing.M) {
	switch {
	case IsLauncher():
		RunLauncher()
	case os.Getenv(targetVariable) != "":
		target()
	default:
		os.Exit(m.Run())
	}
}

// target makes the call that each line names and prints the error's text or "ok".
func target() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(listener.Addr())
	datagrams, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		err := errors.New("unknown call")
		switch Call(lines.Text()) {
		case Accept:
			listener.(*net.TCPListener).SetDeadline(time.Now().Add(time.Second))
			_, err = listener.Accept()
		case Connect:
			_, err = net.Dial("tcp", listener.Addr().String())
		case SendTo:
			_, err = datagrams.WriteTo([]byte("x"), datagrams.LocalAddr())
		case Write, Open, Sync, Rename:
			err = replace(os.Getenv(targetVariable))
		}
		var errno syscall.Errno
		switch {
		case err == nil:
			fmt.Println("ok")
		case errors.As(err, &errno):
			fmt.Println(errno.Error())
		default:
			fmt.Println(err)
		}
	}
}

// replace replaces a file atomically.
func replace(path string) error {
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.WriteString("content"); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func TestCallsFailOnlyWhileTheirRuleIsInEffect(t *testing.T) {
	rules := NewRules(1)
	c, err := NewCommand(rules, Calls, os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	c.Env = append(c.Env, targetVariable+"="+filepath.Join(t.TempDir(), "file"))
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer c.Wait()
	defer in.Close()
	output := bufio.NewScanner(out)
	output.Scan()
	addr := output.Text()
	makeCall := func(call Call) string {
		t.Helper()
		if call == Accept {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
		}
		io.WriteString(in, string(call)+"\n")
		if !output.Scan() {
			t.Fatalf("the target ended: %v", output.Err())
		}
		return output.Text()
	}
	for _, x := range []struct {
		call  Call
		errno syscall.Errno
	}{{Accept, syscall.ENOBUFS}, {Connect, syscall.EADDRNOTAVAIL}, {SendTo, syscall.EPERM}, {Write, syscall.ENOSPC}, {Open, syscall.EROFS},
		{Sync, syscall.EIO}, {Rename, syscall.ENOSPC}} {
		if got := makeCall(x.call); got != "ok" {
			t.Errorf("%s without a rule: %s", x.call, got)
		}
		rule := Rule{x.call, x.errno, 1}
		rules.Add(rule)
		if got := makeCall(x.call); got != x.errno.Error() {
			t.Errorf("%s: %s, want %v", x.call, got, x.errno)
		}
		if rules.FailureCount(x.call) == 0 {
			t.Errorf("%s: no failed call is counted", x.call)
		}
		rules.Remove(rule)
		if got := makeCall(x.call); got != "ok" {
			t.Errorf("%s after its rule was removed: %s", x.call, got)
		}
	}
}

func TestRuleFailsItsFractionOfItsCallsOnly(t *testing.T) {
	r := NewRules(3)
	r.Add(Rule{Accept, syscall.ENOBUFS, 0.25})
	failed := 0
	for range 4000 {
		if r.decide(Accept, func() bool { return true }) == syscall.ENOBUFS {
			failed++
		}
		if r.decide(Sync, func() bool { return true }) != 0 || r.decide(Accept, func() bool { return false }) != 0 {
			t.Fatal("a call failed that no rule covers")
		}
	}
	if failed < 900 || failed > 1100 || r.FailureCount(Accept) != failed {
		t.Errorf("%d of 4000 failed, %d are counted", failed, r.FailureCount(Accept))
	}
}

func TestParseRule(t *testing.T) {
	if r, err := ParseRule("accept", "ENOBUFS", 0.5); err != nil || r != (Rule{Accept, syscall.ENOBUFS, 0.5}) {
		t.Errorf("%v, %v", r, err)
	}
	for _, x := range []struct {
		call, errno string
		probability float64
		want        string
	}{{"listen", "EIO", 1, "there are accept, connect"}, {"fsync", "EIO", 1, "unknown call"}, {"sync", "EPERM", 1, "EIO, ENOSPC"}, {"sync", "EIO", 0, "part"}, {"sync", "EIO", 1.5, "part"}} {
		if _, err := ParseRule(x.call, x.errno, x.probability); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s, %s, %v: %v", x.call, x.errno, x.probability, err)
		}
	}
	for call := range numbers {
		if len(Errors[call]) == 0 {
			t.Errorf("%s has no errors", call)
		}
	}
}

// The launcher reports a program that can't be executed, and fails on an unknown call.
func TestLauncherReportsWhatItCannotRun(t *testing.T) {
	c, err := NewCommand(NewRules(1), []Call{Accept}, filepath.Join(t.TempDir(), "missing"))
	if err != nil {
		t.Fatal(err)
	}
	var stderr strings.Builder
	c.Stderr = &stderr
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	if err := c.Wait(); err == nil || !strings.Contains(stderr.String(), "missing") {
		t.Errorf("%v: %s", err, stderr.String())
	}
	if c, err = NewCommand(NewRules(1), []Call{"listen"}, os.Args[0]); err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err == nil {
		t.Error("started with an unknown call")
	}
}
