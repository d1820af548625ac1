// Package process runs nodes and control services as child processes, and stops them with
// SIGTERM or SIGKILL, at the latest when the lab's own process ends.
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
	startTimeout  = 20 * time.Second // until the process must be ready
	maxLogLines   = 200              // lines kept of the end of the log
	maxErrorLines = 200              // error lines kept
)

// errorMarkers are the markers of log lines that report an internal error of the program.
var errorMarkers = []string{"invariant broken: ", "panic: ", "fatal error: ", "WARNING: DATA RACE"}

// Process is a child process: a node, a control service or another server program.
type Process struct {
	Addr        string // address for clients; a control service's console
	peerAddr    string // address for datagrams of peers; empty if there is none
	consoleAddr string // address of the operators' console; empty if there is none
	readyPath   string // path of the readiness check
	cmd         *exec.Cmd
	ended       chan struct{}
	logDrained  chan struct{} // closed when its log has been read to the end
	mu          sync.Mutex
	log         []string
	errorLines  []string
}

// Options are the optional settings of a node's process.
type Options struct {
	Environment []string        // variables added to the lab's own environment
	FaultyCalls []sysfault.Call // system calls that may fail; empty: no filter is installed
	FaultRules  *sysfault.Rules // decide which of these calls fail
}

// StartNode starts a node's program and returns once GET /up answers 200. The configuration is
// written to dir. Its Listen and PeerListen may name port 0, which avoids races for a port: the
// addresses are read from the node's log, where the line with the client address comes last.
func StartNode(program, dir string, c nodeconf.Config, o Options) (*Process, error) {
	path, err := writeConfig(dir, c)
	if err != nil {
		return nil, err
	}
	env := []string{"PROXY_NAME=" + c.Name, "PROXY_LISTEN=" + c.Listen, "PROXY_DISCOVERY=" + c.Discovery, "PROXY_CONFIG=" + path}
	o.Environment = append(env, o.Environment...)
	return run([]string{program}, o, "node "+c.Name, "/up")
}

// writeConfig writes a node's configuration to dir and returns the file's path.
func writeConfig(dir string, c nodeconf.Config) (path string, err error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	path = filepath.Join(dir, c.Name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// StartCommand starts any program that logs its client address to standard error as a node does,
// and returns once GET /up answers 200.
func StartCommand(args []string, name string) (*Process, error) {
	return run(args, Options{}, name, "/up")
}

// StartControl starts a control service that is a member of a fleet and has a console, and returns
// once GET /status answers 200. The console's address is the process's Addr.
func StartControl(program, config, name string) (*Process, error) {
	return run([]string{program, "-config", config}, Options{}, name, "/status")
}

// command prepares a program and returns the function that starts it.
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

func run(args []string, o Options, name, readyPath string) (*Process, error) {
	cmd, start, err := command(args, o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &Process{readyPath: readyPath, ended: make(chan struct{}), logDrained: make(chan struct{}), cmd: cmd}
	p.cmd.Env = append(p.cmd.Environ(), o.Environment...)
	// Setpgid shields it from a Ctrl-C at the terminal: the lab stops it itself.
	// Pdeathsig ends it if the lab's process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	// Not cmd.StderrPipe: Wait closes that pipe, and the last lines of the log would be lost.
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = logWriter
	started := make(chan error)
	go func() {
		// Pdeathsig is sent when the thread that started the process ends, so that thread is kept.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := start()
		logWriter.Close()
		started <- err
		if err == nil {
			p.cmd.Wait()
			close(p.ended)
		}
	}()
	if err := <-started; err != nil {
		logReader.Close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	addr := make(chan string, 1)
	go p.read(logReader, addr)
	select {
	case p.Addr = <-addr:
	case <-p.ended:
		return nil, fmt.Errorf("%s ended at once: %s", name, strings.Join(p.Log(), "; "))
	case <-time.After(startTimeout):
		p.Kill()
		return nil, fmt.Errorf("%s did not log its address within the start time: %s", name, strings.Join(p.Log(), "; "))
	}
	if err := p.awaitReady(); err != nil {
		p.Kill()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return p, nil
}

// read keeps the last lines of the log and its error lines, and extracts the addresses from it.
func (p *Process) read(out io.ReadCloser, addr chan<- string) {
	defer close(p.logDrained)
	defer out.Close()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		line := lines.Text()
		p.mu.Lock()
		if p.log = append(p.log, line); len(p.log) > maxLogLines {
			p.log = p.log[1:]
		}
		for _, marker := range errorMarkers {
			if strings.Contains(line, marker) && len(p.errorLines) < maxErrorLines {
				p.errorLines = append(p.errorLines, line)
			}
		}
		if _, at, found := strings.Cut(line, " takes datagrams on "); found {
			p.peerAddr = at
		}
		if _, at, found := strings.Cut(line, " hears operators on "); found {
			p.consoleAddr = at
		}
		if _, at, found := strings.Cut(line, " fleet="); found { // of a control service
			p.peerAddr = at
		}
		p.mu.Unlock()
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

// awaitReady waits until the readiness check answers 200.
func (p *Process) awaitReady() error {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(startTimeout); ; {
		resp, err := client.Get("http://" + p.Addr + p.readyPath)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(resp.Status)
		}
		select {
		case <-p.ended:
			return fmt.Errorf("process ended before it was ready: %s", strings.Join(p.Log(), "; "))
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w", p.readyPath, err)
		}
	}
}

// Log returns the last lines of the log.
func (p *Process) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.log...)
}

// ErrorLines returns the first log lines that report an internal error, 200 at most.
func (p *Process) ErrorLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.errorLines...)
}

// LogDrained returns a channel that is closed when the log has been read to its end.
func (p *Process) LogDrained() <-chan struct{} { return p.logDrained }

// Reload overwrites the configuration that StartNode wrote to dir and sends the node SIGHUP.
func (p *Process) Reload(dir string, c nodeconf.Config) error {
	if _, err := writeConfig(dir, c); err != nil {
		return err
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	return nil
}

// PeerAddr returns the address for datagrams of peers; empty if there is none.
func (p *Process) PeerAddr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peerAddr
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Pause sends SIGSTOP.
func (p *Process) Pause() { p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume sends SIGCONT.
func (p *Process) Resume() { p.cmd.Process.Signal(syscall.SIGCONT) }

// MaxDescriptors makes SetDescriptorLimit set the soft limit to the process's hard limit.
const MaxDescriptors = ^uint64(0)

// SetDescriptorLimit sets the soft limit of the process's file descriptors, at most to the hard limit.
// Open descriptors stay open.
func (p *Process) SetDescriptorLimit(count uint64) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return err
	}
	limit.Cur = min(count, limit.Max)
	return unix.Prlimit(p.Pid(), unix.RLIMIT_NOFILE, &limit, nil)
}

// ConsoleAddr returns the address of the operators' console; empty if there is none.
func (p *Process) ConsoleAddr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.consoleAddr
}

// Terminate sends SIGTERM.
func (p *Process) Terminate() { p.cmd.Process.Signal(syscall.SIGTERM) }

// Signal sends a signal, unless the process has ended.
func (p *Process) Signal(sig syscall.Signal) { p.cmd.Process.Signal(sig) }

// PeakMemory returns the most resident memory that the process has had, in bytes; 0 once it has ended.
func (p *Process) PeakMemory() int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// FinalCPUTime waits until the process has ended and returns the processor time that it used.
func (p *Process) FinalCPUTime() time.Duration {
	<-p.ended
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// CPUTime returns the processor time that the process has used so far, to a precision of 10 ms;
// 0 once it has ended.
func (p *Process) CPUTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // after the name, which may contain spaces
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
