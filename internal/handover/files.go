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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ivylock/handoff"
	"ivylock/internal/durable"
)

const (
	stateName = "ivylock.state"
	newsName  = "ivylock.news" // the list as a process that no longer speaks for the node was told it
	lockName  = "ivylock.lock"
	runPrefix = "ivylock-" // and the process's id
	runSuffix = ".run"
	maxRuns   = 64 // files of processes that are looked at

	exchangeEvery = 50 * time.Millisecond

	lockTime  = time.Second          // for a process that holds the lock to give it back
	lockPause = 2 * time.Millisecond // between two tries
)

// errLocked says that another process has held the lock for too long: it stands still, or
// its disk does.
var errLocked = errors.New("handover: another process holds the lock")

// ErrTakenOver says that a newer process speaks for the node.
var ErrTakenOver = errors.New("a newer process has taken over; its console knows")

// Usage is what a process holds of what is one node's.
type Usage struct{ Clients, Backends int }

// SharedDir are what the processes of one node share in a folder: the state, a
// lock round each change of it, and for each process a file that it keeps
// locked while it lives and that tells what it holds.
type SharedDir struct {
	dir, node string
	id        int      // of this process, drawn at its start: numbers of processes differ by who looks
	run       *os.File // locked by this process for its life
	mu        sync.Mutex
	epoch     uint64                 // of this process's ownership; 0: none yet
	seen      map[string]os.FileInfo // the files that News has read, by name

	saidMu sync.Mutex // not the other one, which is held while a disk takes its time
	said   told       // by this process in its own file
}

// Open joins the processes of a node that share a folder.
func Open(dir, node string) (*SharedDir, error) {
	for range maxRuns {
		id := rand.IntN(math.MaxInt32) + 1
		run, err := os.OpenFile(filepath.Join(dir, runPrefix+strconv.Itoa(id)+runSuffix), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
		if err := syscall.Flock(int(run.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			// Guards against one who took the file for a dead process's before it was locked.
			if _, err := os.Stat(run.Name()); err == nil {
				return &SharedDir{dir: dir, node: node, id: id, run: run, seen: map[string]os.FileInfo{}}, nil
			}
		}
		run.Close()
	}
	return nil, fmt.Errorf("handover: no file of its own in %s", dir)
}

// Close leaves the others.
func (f *SharedDir) Close() error {
	os.Remove(f.run.Name())
	return f.run.Close()
}

// lock keeps other processes from the state until the returned call. It waits for a
// bounded time: guards against a process that never starts, or never ends, because
// another one stands still while it holds the lock.
func (f *SharedDir) lock() (unlock func(), err error) {
	l, err := os.OpenFile(filepath.Join(f.dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for end := time.Now().Add(lockTime); ; time.Sleep(lockPause) {
		err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { l.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			l.Close()
			return nil, fmt.Errorf("handover: %w", err)
		}
		if time.Now().After(end) {
			l.Close()
			return nil, errLocked
		}
	}
}

// read gives a state, nil if there is none.
func (f *SharedDir) read(name string) (*handoff.State, error) {
	file, err := os.Open(filepath.Join(f.dir, name))
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

// write puts the state in place whole: a reader sees the old one or the new one.
func (f *SharedDir) write(name string, s *handoff.State) error {
	s.Version, s.Epoch, s.Owner, s.Node = handoff.FormatVersion, f.epoch, f.id, f.node
	raw, err := Encode(s)
	if err != nil {
		return err
	}
	if err := durable.Write(filepath.Join(f.dir, name), raw); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// TakeOwnership makes this process the one that speaks for the node, and gives the
// state that it takes over, nil if there is none. What can't be read is told
// in why and is a clean start.
func (f *SharedDir) TakeOwnership() (found *handoff.State, why error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unlock, err := f.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	// Nobody writes now: what is left of a write was a process's that died.
	for _, name := range []string{stateName, newsName} {
		if left, err := filepath.Glob(filepath.Join(f.dir, name+".*")); err == nil {
			for _, name := range left {
				os.Remove(name)
			}
		}
	}
	found, why = f.read(stateName)
	f.epoch = f.latestEpoch() + 1 // where the state can't be read the processes that run tell theirs
	if found != nil {
		f.epoch = max(f.epoch, found.Epoch+1)
	}
	f.say(func(t *told) { t.epoch = f.epoch })
	next := handoff.State{}
	if found != nil {
		next = *found
	}
	if err := f.write(stateName, &next); err != nil && why == nil {
		why = err
	}
	return found, why
}

// Store writes the state. If a newer process has owned it only the list is
// written, as news for that one, and newer is what that one left: the
// operators' words in it hold. If that process runs, the error is ErrTakenOver;
// else this one speaks for the node again, and what it stores next is written.
func (f *SharedDir) Store(s *handoff.State) (newer *handoff.State, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	unlock, err := f.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	found, _ := f.read(stateName) // one that can't be read is replaced
	switch handoff.DecideOwnership(found, f.epoch, found != nil && f.runs(found.Owner)) {
	case handoff.Yield:
		if handoff.IsNewerList(*found, *s) {
			err = f.write(newsName, &handoff.State{WrittenAt: s.WrittenAt, Generation: s.Generation, ListReceivedAt: s.ListReceivedAt, List: s.List})
		}
		return found, errors.Join(ErrTakenOver, err)
	case handoff.Reclaim:
		f.epoch = found.Epoch + 1
		f.say(func(t *told) { t.epoch = f.epoch })
		return found, nil
	}
	return nil, f.write(stateName, s)
}

// PollNewer gives what another process of the node has written since the last call:
// the state of a newer one, or the list that an older one was told. It is nil
// if there is nothing new that can be read.
func (f *SharedDir) PollNewer() (newest *handoff.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range []string{stateName, newsName} {
		info, err := os.Stat(filepath.Join(f.dir, name))
		if err != nil || f.seen[name] != nil && os.SameFile(info, f.seen[name]) && info.ModTime().Equal(f.seen[name].ModTime()) {
			continue // each write is a new file
		}
		f.seen[name] = info
		s, err := f.read(name)
		if err == nil && s != nil && s.Owner != f.id && s.Node == f.node && (newest == nil || handoff.IsNewerList(*newest, *s)) {
			newest = s
		}
	}
	return newest
}

// CheckOwner tells whether this process speaks for the node; if not the error is
// ErrTakenOver.
func (f *SharedDir) CheckOwner() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	found, _ := f.read(stateName)
	if handoff.DecideOwnership(found, f.epoch, found != nil && f.runs(found.Owner)) == handoff.Yield {
		return ErrTakenOver
	}
	return nil
}

// runs tells whether a process holds its file.
func (f *SharedDir) runs(id int) bool {
	file, err := os.Open(filepath.Join(f.dir, runPrefix+strconv.Itoa(id)+runSuffix))
	if err != nil {
		return false
	}
	defer file.Close()
	return syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil
}

// ExchangeUsage tells the others what this process holds, and gives what those
// that run hold together, and whether there are none.
func (f *SharedDir) ExchangeUsage(own Usage) (others Usage, alone bool) {
	f.say(func(t *told) { t.Usage = own })
	alone = true
	for _, r := range f.others() {
		alone = false
		others.Clients += max(0, r.Clients)
		others.Backends += max(0, r.Backends)
	}
	return others, alone
}

// told is what a process says in its own file.
type told struct {
	Usage
	epoch uint64
}

const toldForm = "%10d %10d %20d\n"

// say changes what this process says, and writes it.
func (f *SharedDir) say(change func(*told)) {
	f.saidMu.Lock()
	defer f.saidMu.Unlock()
	change(&f.said)
	f.run.WriteAt(fmt.Appendf(nil, toldForm, f.said.Clients, f.said.Backends, f.said.epoch), 0)
}

// others gives what each other process that runs says, and removes the files of dead ones.
func (f *SharedDir) others() (all []told) {
	names, err := filepath.Glob(filepath.Join(f.dir, runPrefix+"*"+runSuffix))
	if err != nil {
		return nil
	}
	for _, name := range names[:min(len(names), maxRuns)] {
		number := strings.TrimSuffix(strings.TrimPrefix(filepath.Base(name), runPrefix), runSuffix)
		id, err := strconv.Atoi(number)
		if err != nil || id == f.id {
			continue
		}
		if !f.runs(id) {
			os.Remove(name) // its process is dead
			continue
		}
		var t told
		if raw, err := os.ReadFile(name); err == nil {
			fmt.Sscan(string(raw), &t.Clients, &t.Backends, &t.epoch)
		}
		all = append(all, t)
	}
	return all
}

// latestEpoch is the highest one of the other processes that run.
func (f *SharedDir) latestEpoch() (latest uint64) {
	for _, t := range f.others() {
		latest = max(latest, t.epoch)
	}
	return latest
}

// RunUsageExchange exchanges usage until ctx ends: held tells what this process holds,
// set takes how much of the node's full it may hold from now on.
func (f *SharedDir) RunUsageExchange(ctx context.Context, full Usage, held func() Usage, set func(most Usage, alone bool)) {
	tick := time.NewTicker(exchangeEvery)
	defer tick.Stop()
	for {
		others, alone := f.ExchangeUsage(held())
		set(Usage{Clients: handoff.ConnectionLimit(full.Clients, others.Clients, alone),
			Backends: handoff.ConnectionLimit(full.Backends, others.Backends, alone)}, alone)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
