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

// launchVariable makes a copy of the lab's own program a launcher. It lists the calls of the filter that
// the launcher installs on itself, before it sends the listener's descriptor and executes its arguments.
const launchVariable = "IVYLAB_SYSFAULT_CALLS"

// launchSocket is the descriptor on which the launcher sends the listener.
const launchSocket = 3

// IsLauncher reports whether this process is a launcher. If so, call RunLauncher before anything else.
func IsLauncher() bool { return os.Getenv(launchVariable) != "" }

// RunLauncher installs the filter on this process and executes the program named by the arguments. It
// does not return.
func RunLauncher() {
	err := launch(os.Getenv(launchVariable), os.Args[1:])
	fmt.Fprintf(os.Stderr, "sysfault: %v\n", err)
	os.Exit(2)
}

func launch(calls string, args []string) error {
	runtime.LockOSThread() // the filter applies to one thread, which must also execute the program
	var kinds []Call
	for _, name := range strings.Split(calls, ",") {
		if _, known := numbers[Call(name)]; !known {
			return fmt.Errorf("unknown call %q; there are %s", name, joinNames(Calls))
		}
		kinds = append(kinds, Call(name))
	}
	if len(args) == 0 {
		return errors.New("no program to execute")
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
		return fmt.Errorf("sending the listener: %w", err)
	}
	unix.CloseOnExec(launchSocket)
	return fmt.Errorf("%s: %w", args[0], unix.Exec(args[0], args, environment))
}

// Command is a program whose system calls fail according to rules.
type Command struct {
	*exec.Cmd            // Path, Args and ExtraFiles must not be changed
	labEnd      *os.File // end of the socket pair on which the listener is received
	launcherEnd *os.File // end that the launcher inherits
	rules       *Rules
}

// NewCommand prepares a program, given by its path, whose calls of these kinds fail according to the
// rules. The calling program must call RunLauncher at the start of main or TestMain if IsLauncher
// returns true.
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
		labEnd: os.NewFile(uintptr(pair[0]), "sysfault"), launcherEnd: os.NewFile(uintptr(pair[1]), "sysfault")}
	c.ExtraFiles = []*os.File{c.launcherEnd}
	c.Env = append(os.Environ(), launchVariable+"="+strings.ReplaceAll(joinNames(calls), " ", ""))
	return c, nil
}

// Start starts the program and the supervisor that answers its calls until it has ended.
func (c *Command) Start() error {
	defer c.labEnd.Close()
	err := c.Cmd.Start()
	c.launcherEnd.Close()
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

// receiveListener receives the listener's descriptor from the launcher.
func (c *Command) receiveListener() (int, error) {
	data, oob := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	n, used, _, _, err := unix.Recvmsg(int(c.labEnd.Fd()), data, oob, unix.MSG_CMSG_CLOEXEC)
	if err != nil {
		return 0, fmt.Errorf("receiving the listener: %w", err)
	}
	if n == 0 {
		return 0, errors.New("the launcher ended without sending the listener; see its standard error")
	}
	messages, err := unix.ParseSocketControlMessage(oob[:used])
	if err != nil || len(messages) != 1 {
		return 0, fmt.Errorf("no listener in %d control messages: %v", len(messages), err)
	}
	fds, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, fmt.Errorf("got %d descriptors, want the listener: %v", len(fds), err)
	}
	return fds[0], nil
}
