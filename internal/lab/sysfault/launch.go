package sysfault

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"

	"golang.org/x/sys/unix"
)

// launchVariable tells a copy of the lab's own program that it is to put the filter of these
// calls on itself, send the listener's descriptor and execute what its arguments say.
const launchVariable = "IVYLAB_SYSFAULT_CALLS"

// launchSocket is the descriptor on which the launcher sends the listener.
const launchSocket = 3

// IsLauncher tells whether this process is a launcher: Launch is to be called then, before
// anything else.
func IsLauncher() bool { return os.Getenv(launchVariable) != "" }

// RunLauncher puts the filter on this process and executes what the arguments say. It does not
// return.
func RunLauncher() {
	err := launch(os.Getenv(launchVariable), os.Args[1:])
	fmt.Fprintf(os.Stderr, "sysfault: %v\n", err)
	os.Exit(2)
}

func launch(calls string, args []string) error {
	runtime.LockOSThread() // the filter is this thread's, and so is what it executes
	var kinds []Call
	for _, name := range strings.Split(calls, ",") {
		if _, known := numbers[Call(name)]; !known {
			return fmt.Errorf("unknown call %q; there are %s", name, list(Calls))
		}
		kinds = append(kinds, Call(name))
	}
	if len(args) == 0 {
		return errors.New("nothing to execute")
	}
	if err := os.Unsetenv(launchVariable); err != nil {
		return err
	}
	environment := os.Environ()
	listener, err := install(kinds)
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(launchSocket, []byte{0}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("the listener is not sent: %w", err)
	}
	unix.CloseOnExec(launchSocket)
	return fmt.Errorf("%s: %w", args[0], unix.Exec(args[0], args, environment))
}

// Command is a program that runs under rules.
type Command struct {
	*exec.Cmd // Path, Args and ExtraFiles are not to be changed
	ours      *os.File
	theirs    *os.File
	rules     *Rules
}

// NewCommand prepares a program, named by its path, whose calls of these kinds fail as the
// rules say. Whoever uses it calls Launch first thing in main, or in TestMain, where Launching
// says so.
func NewCommand(rules *Rules, calls []Call, program string, args ...string) (*Command, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socketpair: %w", err)
	}
	c := &Command{Cmd: exec.Command(self, append([]string{program}, args...)...), rules: rules,
		ours: os.NewFile(uintptr(pair[0]), "sysfault"), theirs: os.NewFile(uintptr(pair[1]), "sysfault")}
	c.ExtraFiles = []*os.File{c.theirs}
	c.Env = append(os.Environ(), launchVariable+"="+strings.ReplaceAll(list(calls), " ", ""))
	return c, nil
}

// Start starts the program and answers its calls until it has ended.
func (c *Command) Start() error {
	defer c.ours.Close()
	err := c.Cmd.Start()
	c.theirs.Close()
	if err != nil {
		return err
	}
	listener, err := c.receiveListener()
	if err != nil {
		c.Process.Kill()
		c.Wait()
		return err
	}
	go newSupervisor(listener, c.rules).run()
	return nil
}

// receiveListener takes the listener's descriptor from the launcher.
func (c *Command) receiveListener() (int, error) {
	data, control := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	n, used, _, _, err := unix.Recvmsg(int(c.ours.Fd()), data, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, fmt.Errorf("no listener: %w", err)
	}
	if n == 0 {
		return 0, errors.New("the launcher ended and sent no listener; its standard error tells why")
	}
	messages, err := unix.ParseSocketControlMessage(control[:used])
	if err != nil || len(messages) != 1 {
		return 0, fmt.Errorf("no listener in %d messages: %v", len(messages), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, fmt.Errorf("%d descriptors: %v", len(fds), err)
	}
	return fds[0], nil
}
