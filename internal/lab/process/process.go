// Package process runs a real node as a process of its own, and ends it: by
// SIGTERM, by SIGKILL, and always with the lab.
package process

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ivylock/internal/lab/nodeconf"
	"ivylock/internal/lab/sysfault"
)

const (
	startTime = 20 * time.Second // a node that serves nothing by then has failed
	maxLog    = 200              // last lines of its log that are kept
	maxAlarms = 200              // lines of it that say that something is wrong
)

// alarmWords begin what a program says of a fault of its own.
var alarmWords = []string{"invariant broken: ", "panic: ", "fatal error: ", "WARNING: DATA RACE"}

// Process is one running process.
type Process struct {
	Addr    string // where clients connect
	Peers   string // where it takes datagrams; "" for none
	Console string // where it hears operators; "" for nowhere
	check   string // path that answers 200 once it serves
	cmd     *exec.Cmd
	ended   chan struct{}
	drained chan struct{} // closed when its log has been read to the end
	mu      sync.Mutex
	log     []string
	alarms  []string
}

// Options of a node's process.
type Options struct {
	Environment []string        // on top of the lab's own
	FaultyCalls []sysfault.Call // system calls that may fail; none: all go on
	FaultRules  *sysfault.Rules // when they do
}

// StartNode runs a node's program with a configuration, whose Listen and
// PeerListen may name port 0: the node's own log tells what it got, so no port
// is raced for; that it serves is the last of these lines. dir is for its files. It
// returns once GET /up answers 200.
func StartNode(program, dir string, c nodeconf.Config, o Options) (*Process, error) {
	path, err := writeConfig(dir, c)
	if err != nil {
		return nil, err
	}
	env := []string{"PROXY_NAME=" + c.Name, "PROXY_LISTEN=" + c.Listen, "PROXY_DISCOVERY=" + c.Discovery, "PROXY_CONFIG=" + path}
	o.Environment = append(env, o.Environment...)
	return run([]string{program}, o, "node "+c.Name, "/up")
}

// writeConfig writes a node's configuration and tells where.
func writeConfig(dir string, c nodeconf.Config) (path string, err error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, c.Name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// StartCommand runs any program that says on standard error where it serves, as a node
// does, and answers GET /up.
func StartCommand(args []string, name string) (*Process, error) {
	return run(args, Options{}, name, "/up")
}

// StartControl runs a control service that is of a fleet and hears operators: its Addr is
// where it does. It returns once GET /status answers 200.
func StartControl(program, config, name string) (*Process, error) {
	return run([]string{program, "-config", config}, Options{}, name, "/status")
}

// command prepares a program, and gives what starts it.
func command(args []string, o Options) (cmd *exec.Cmd, start func() error, err error) {
	if len(o.FaultyCalls) == 0 {
		cmd = exec.Command(args[0], args[1:]...)
		return cmd, cmd.Start, nil
	}
	faulty, err := sysfault.NewCommand(o.FaultRules, o.FaultyCalls, args[0], args[1:]...)
	if err != nil {
		return nil, nil, err
	}
	return faulty.Cmd, faulty.Start, nil
}

func run(args []string, o Options, name, check string) (*Process, error) {
	cmd, start, err := command(args, o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	n := &Process{check: check, ended: make(chan struct{}), drained: make(chan struct{}), cmd: cmd}
	n.cmd.Env = append(n.cmd.Environ(), o.Environment...)
	// Setpgid keeps a Ctrl-C at the terminal from it: the lab ends it in order.
	// Pdeathsig ends it if the lab is killed outright.
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	// A pipe of its own: that of the command is closed when the process ends, and takes
	// its last lines along.
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	n.cmd.Stderr = in
	started := make(chan error)
	go func() {
		// Pdeathsig is sent when the thread that started the process ends.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := start()
		in.Close()
		started <- err
		if err == nil {
			n.cmd.Wait()
			close(n.ended)
		}
	}()
	if err := <-started; err != nil {
		out.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	addr := make(chan string, 1)
	go n.read(out, addr)
	select {
	case n.Addr = <-addr:
	case <-n.ended:
		return nil, fmt.Errorf("%s ended at once: %s", name, strings.Join(n.Log(), "; "))
	case <-time.After(startTime):
		n.Kill()
		return nil, fmt.Errorf("%s did not say where it serves: %s", name, strings.Join(n.Log(), "; "))
	}
	if err := n.up(); err != nil {
		n.Kill()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return n, nil
}

// read keeps the last lines of the log and looks for the addresses in it.
func (n *Process) read(out io.ReadCloser, addr chan<- string) {
	defer close(n.drained)
	defer out.Close()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := lines.Text()
		n.mu.Lock()
		if n.log = append(n.log, line); len(n.log) > maxLog {
			n.log = n.log[1:]
		}
		for _, word := range alarmWords {
			if strings.Contains(line, word) && len(n.alarms) < maxAlarms {
				n.alarms = append(n.alarms, line)
			}
		}
		if _, at, found := strings.Cut(line, " takes datagrams on "); found {
			n.Peers = at
		}
		if _, at, found := strings.Cut(line, " hears operators on "); found {
			n.Console = at
		}
		if _, at, found := strings.Cut(line, " fleet="); found { // a control service's
			n.Peers = at
		}
		n.mu.Unlock()
		for _, key := range []string{" serves on ", " console="} {
			if _, at, found := strings.Cut(line, key); found {
				select {
				case addr <- at:
				default:
				}
			}
		}
	}
}

// up waits until its check answers 200.
func (n *Process) up() error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTime); ; {
		resp, err := client.Get("http://" + n.Addr + n.check)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(resp.Status)
		}
		select {
		case <-n.ended:
			return fmt.Errorf("it ended: %s", strings.Join(n.Log(), "; "))
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w", n.check, err)
		}
	}
}

// Log gives the last lines that it wrote.
func (n *Process) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.log...)
}

// ErrorLines gives the lines in which it told of faults of its own, the first 200.
func (n *Process) ErrorLines() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.alarms...)
}

// LogDrained is closed when its log has been read to the end.
func (n *Process) LogDrained() <-chan struct{} { return n.drained }

// Reload writes a node's configuration anew, where Start did, and tells it.
func (n *Process) Reload(dir string, c nodeconf.Config) error {
	if _, err := writeConfig(dir, c); err != nil {
		return err
	}
	n.cmd.Process.Signal(syscall.SIGHUP)
	return nil
}

// PeerAddr is where it takes datagrams, if it does.
func (n *Process) PeerAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Peers
}

// Pid is the process's number.
func (n *Process) Pid() int { return n.cmd.Process.Pid }

// Ended is closed when the process has ended.
func (n *Process) Ended() <-chan struct{} { return n.ended }

// Pause has it stand still; Cont has it go on.
func (n *Process) Pause()  { n.cmd.Process.Signal(syscall.SIGSTOP) }
func (n *Process) Resume() { n.cmd.Process.Signal(syscall.SIGCONT) }

// MaxDescriptors stands for as many descriptors as the process had at its start.
const MaxDescriptors = ^uint64(0)

// SetDescriptorLimit limits the numbers of descriptors that the process may open from now on;
// those that it has stay open.
func (n *Process) SetDescriptorLimit(most uint64) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(n.Pid(), unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return err
	}
	limit.Cur = min(most, limit.Max)
	return unix.Prlimit(n.Pid(), unix.RLIMIT_NOFILE, &limit, nil)
}

// ConsoleAddr is where it hears operators, if it does.
func (n *Process) ConsoleAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Console
}

// Terminate tells it to end.
func (n *Process) Terminate() { n.cmd.Process.Signal(syscall.SIGTERM) }

// Kill ends it outright and waits for that.
func (n *Process) Kill() {
	n.cmd.Process.Kill()
	<-n.ended
}

// FinalCPUTime is the processor time that an ended process used.
func (n *Process) FinalCPUTime() time.Duration {
	<-n.ended
	return n.cmd.ProcessState.UserTime() + n.cmd.ProcessState.SystemTime()
}

// CPUTime is the processor time that the process has used so far, to 10 ms; 0
// once it has ended.
func (n *Process) CPUTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.Pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // behind the name, which may hold spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	var sum time.Duration
	for _, f := range fields[11:13] { // utime and stime, proc(5)
		v, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0
		}
		sum += time.Duration(v) * tick
	}
	return sum
}
