package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ivylock/handoff"
	"ivylock/internal/durable"
)

const (
	stateName   = "ivylock.state"
	listName    = "ivylock.news" // the list as received by a process that no longer owns the node's state
	lockName    = "ivylock.lock"
	runPrefix   = "ivylock-" // followed by the process's id
	runSuffix   = ".run"
	maxRunFiles = 64 // process files examined at most

	exchangeInterval = 50 * time.Millisecond

	lockTimeout       = time.Second          // for waiting until another process releases the lock
	lockRetryInterval = 2 * time.Millisecond // between two attempts
)

// errLocked means that another process has held the lock for too long: it is paused, or its disk is
// blocked.
var errLocked = errors.New("handover: another process holds the lock")

// ErrTakenOver means that a newer process owns the node's state.
var ErrTakenOver = errors.New("a newer process has taken over; its console knows")

// Usage is the number of connections that a process holds to clients and to backends.
type Usage struct{ Clients, Backends int }

// SharedDir is the directory shared by the processes of one node. It contains the state, a lock
// that serializes its updates, and one file per process, which the process keeps locked while it is
// alive and in which it reports its usage.
type SharedDir struct {
	dir, node string
	id        int      // of this process, random: PIDs may repeat in another PID namespace
	runFile   *os.File // locked while this process is alive
	mu        sync.Mutex
	epoch     atomic.Uint64 // of this process's ownership; 0: never owned; changed with mu held

	// The following are separate from mu, which is held during slow disk operations.
	pollMu    sync.Mutex
	lastRead  map[string]os.FileInfo // the files last read by PollSiblings, by name
	reportMu  sync.Mutex
	ownReport processReport // in this process's own file
}

// Open registers a new process of a node in the node's directory.
func Open(dir, node string) (*SharedDir, error) {
	for range maxRunFiles {
		id := rand.IntN(math.MaxInt32) + 1
		runFile, err := os.OpenFile(filepath.Join(dir, runPrefix+strconv.Itoa(id)+runSuffix), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		if err := syscall.Flock(int(runFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			// Guards against a process that removed the file as a dead process's before it was
			// locked.
			if _, err := os.Stat(runFile.Name()); err == nil {
				return &SharedDir{dir: dir, node: node, id: id, runFile: runFile, lastRead: map[string]os.FileInfo{}}, nil
			}
		}
		runFile.Close()
	}
	return nil, fmt.Errorf("handover: cannot create a process file in %s", dir)
}

// Close unregisters the process.
func (d *SharedDir) Close() error {
	os.Remove(d.runFile.Name())
	return d.runFile.Close()
}

// lock excludes other processes from the state until unlock is called. The wait is bounded: guards
// against hanging at startup or shutdown because another process is paused while it holds the lock.
func (d *SharedDir) lock() (unlock func(), err error) {
	lockFile, err := os.OpenFile(filepath.Join(d.dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { lockFile.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			lockFile.Close()
			return nil, fmt.Errorf("handover: %w", err)
		}
		if time.Now().After(deadline) {
			lockFile.Close()
			return nil, errLocked
		}
	}
}

// read returns a state, nil if there is none.
func (d *SharedDir) read(name string) (*handoff.State, error) {
	file, err := os.Open(filepath.Join(d.dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer file.Close()
	raw, err := io.ReadAll(io.LimitReader(file, MaxStateBytes+128))
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return Decode(raw)
}

// write replaces a state atomically: a reader sees the old one or the new one.
func (d *SharedDir) write(name string, state *handoff.State) error {
	state.Version, state.Epoch, state.Owner, state.Node = handoff.FormatVersion, d.epoch.Load(), d.id, d.node
	raw, err := Encode(state)
	if err != nil {
		return err
	}
	if err := durable.WriteFile(filepath.Join(d.dir, name), raw); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// TakeOwnership makes this process the owner of the node's state and returns the state found, nil
// if there is none. If the state could not be read or replaced, failure says why; without a
// readable state the process starts without any.
func (d *SharedDir) TakeOwnership() (found *handoff.State, failure error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	unlock, err := d.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	// Nobody else writes now: temporary files are left over from processes that died.
	for _, name := range []string{stateName, listName} {
		if leftovers, err := filepath.Glob(filepath.Join(d.dir, name+".*")); err == nil {
			for _, name := range leftovers {
				os.Remove(name)
			}
		}
	}
	found, failure = d.read(stateName)
	epoch := d.highestEpoch() + 1 // if the state is unreadable, running processes still report their epochs
	if found != nil {
		epoch = max(epoch, found.Epoch+1)
	}
	d.setEpoch(epoch)
	updated := handoff.State{}
	if found != nil {
		updated = *found
	}
	if err := d.write(stateName, &updated); err != nil && failure == nil {
		failure = err
	}
	return found, failure
}

// setEpoch changes this process's epoch and reports it.
func (d *SharedDir) setEpoch(epoch uint64) {
	d.epoch.Store(epoch)
	d.updateReport(func(report *processReport) { report.epoch = epoch })
}

// Store writes the state. If a newer process has taken ownership, only the list is written, for
// PollSiblings of that process, and newer is the state that it left, whose maintenance records are
// authoritative. If that process is running, the error is ErrTakenOver; otherwise this process
// becomes the owner again, and its next state is written.
func (d *SharedDir) Store(state *handoff.State) (newer *handoff.State, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	unlock, err := d.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	found, _ := d.read(stateName) // an unreadable state is replaced
	switch handoff.DecideOwnership(found, d.epoch.Load(), found != nil && d.isRunning(found.Owner)) {
	case handoff.Yield:
		if handoff.IsNewerList(*found, *state) {
			err = d.write(listName, &handoff.State{WrittenAt: state.WrittenAt, Generation: state.Generation, ListReceivedAt: state.ListReceivedAt, List: state.List})
		}
		return found, errors.Join(ErrTakenOver, err)
	case handoff.Reclaim:
		d.setEpoch(found.Epoch + 1)
		return found, nil
	}
	return nil, d.write(stateName, state)
}

// PollSiblings returns what other processes of the node have written since the last call, as far
// as it is readable. It waits for no disk operation of Store.
func (d *SharedDir) PollSiblings() (siblings handoff.SiblingStates) {
	d.pollMu.Lock()
	defer d.pollMu.Unlock()
	state, list := d.readIfChanged(stateName), d.readIfChanged(listName)
	siblings.Owner, siblings.List = state, state
	if state == nil || list != nil && handoff.IsNewerList(*state, *list) {
		siblings.List = list
	}
	return siblings
}

// readIfChanged returns a state that another process has written since the last call; nil if there
// is none that is readable.
func (d *SharedDir) readIfChanged(name string) *handoff.State {
	info, err := os.Stat(filepath.Join(d.dir, name))
	if err != nil {
		return nil
	}
	last := d.lastRead[name]
	if last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) { // each write creates a new file
		return nil
	}
	state, err := d.read(name)
	if err != nil { // for lack of a descriptor, for example: the next call reads it again
		return nil
	}
	d.lastRead[name] = info
	if state == nil || state.Owner == d.id || state.Node != d.node {
		return nil
	}
	return state
}

// IsNewer reports whether a state was written by a newer process than this one. A process that has
// become the owner again is newer than the one that it replaced.
func (d *SharedDir) IsNewer(state *handoff.State) bool {
	return handoff.DecideOwnership(state, d.epoch.Load(), true) == handoff.Yield
}

// CheckOwner returns ErrTakenOver if a newer process owns the node's state and is running. It
// waits for no disk operation of Store.
func (d *SharedDir) CheckOwner() error {
	found, _ := d.read(stateName)
	if handoff.DecideOwnership(found, d.epoch.Load(), found != nil && d.isRunning(found.Owner)) == handoff.Yield {
		return ErrTakenOver
	}
	return nil
}

// isRunning reports whether a process holds the lock on its file.
func (d *SharedDir) isRunning(id int) bool {
	file, err := os.Open(filepath.Join(d.dir, runPrefix+strconv.Itoa(id)+runSuffix))
	if err != nil {
		return false
	}
	defer file.Close()
	return syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil
}

// ExchangeUsage reports this process's usage to the others, and returns the total usage of the
// others that are running, and whether there are none.
func (d *SharedDir) ExchangeUsage(own Usage) (others Usage, alone bool) {
	d.updateReport(func(report *processReport) { report.Usage = own })
	alone = true
	for _, r := range d.others() {
		alone = false
		others.Clients += max(0, r.Clients)
		others.Backends += max(0, r.Backends)
	}
	return others, alone
}

// processReport is the content of a process's file.
type processReport struct {
	Usage
	epoch uint64
}

const reportFormat = "%10d %10d %20d\n"

// updateReport changes and writes this process's report.
func (d *SharedDir) updateReport(change func(*processReport)) {
	d.reportMu.Lock()
	defer d.reportMu.Unlock()
	change(&d.ownReport)
	d.runFile.WriteAt(fmt.Appendf(nil, reportFormat, d.ownReport.Clients, d.ownReport.Backends, d.ownReport.epoch), 0)
}

// others returns the reports of the other running processes, and removes the files of dead ones.
func (d *SharedDir) others() (reports []processReport) {
	for _, name := range d.latestRunFiles() {
		idText := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(name), runPrefix), runSuffix)
		id, err := strconv.Atoi(idText)
		if err != nil || id == d.id {
			continue
		}
		if !d.isRunning(id) {
			os.Remove(name) // its process is dead
			continue
		}
		var report processReport
		if raw, err := os.ReadFile(name); err == nil {
			fmt.Sscan(string(raw), &report.Clients, &report.Backends, &report.epoch)
		}
		reports = append(reports, report)
	}
	return reports
}

// latestRunFiles returns the paths of the process files written last. A running process writes its
// own many times a second; those of dead processes may be many if they can't be removed.
func (d *SharedDir) latestRunFiles() []string {
	names, err := filepath.Glob(filepath.Join(d.dir, runPrefix+"*"+runSuffix))
	if err != nil || len(names) <= maxRunFiles {
		return names
	}
	writtenAt := make(map[string]time.Time, len(names))
	for _, name := range names {
		if info, err := os.Stat(name); err == nil {
			writtenAt[name] = info.ModTime()
		}
	}
	slices.SortFunc(names, func(a, b string) int { return writtenAt[b].Compare(writtenAt[a]) })
	return names[:maxRunFiles]
}

// highestEpoch returns the highest epoch of the other running processes.
func (d *SharedDir) highestEpoch() (highest uint64) {
	for _, report := range d.others() {
		highest = max(highest, report.epoch)
	}
	return highest
}

// RunUsageExchange exchanges usage until ctx ends: current returns this process's usage, apply
// receives its limit of the node's total.
func (d *SharedDir) RunUsageExchange(ctx context.Context, total Usage, current func() Usage, apply func(limit Usage, alone bool)) {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		others, alone := d.ExchangeUsage(current())
		apply(Usage{Clients: handoff.ConnectionLimit(total.Clients, others.Clients, alone),
			Backends: handoff.ConnectionLimit(total.Backends, others.Backends, alone)}, alone)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
