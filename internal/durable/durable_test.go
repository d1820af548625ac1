package durable

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test start this binary as a process that writes until it is killed.
func TestMain(m *testing.M) {
	if path := os.Getenv("DURABLE_TEST_WRITE"); path != "" {
		for number := 0; ; number++ {
			if err := WriteFile(path, content(number)); err != nil {
				fmt.Println(err)
				os.Exit(1)
			}
			if number == 0 {
				fmt.Println("writes")
			}
		}
	}
	os.Exit(m.Run())
}

// content returns about 100 KB with a checksum.
func content(number int) []byte {
	body := bytes.Repeat([]byte(strconv.Itoa(number)+"\n"), 50_000/len(strconv.Itoa(number)))
	return append(fmt.Appendf(nil, "%08x\n", crc32.ChecksumIEEE(body)), body...)
}

func isComplete(raw []byte) bool {
	sum, body, found := bytes.Cut(raw, []byte("\n"))
	return found && string(sum) == fmt.Sprintf("%08x", crc32.ChecksumIEEE(body))
}

// A process killed at any step of a write leaves a complete file.
func TestKilledWriterLeavesCompleteFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	const kills = 60
	for i := range kills {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), "DURABLE_TEST_WRITE="+path)
		out, err := writer.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := writer.Start(); err != nil {
			t.Fatal(err)
		}
		if line, err := bufio.NewReader(out).ReadString('\n'); line != "writes\n" {
			t.Fatalf("writer printed %q, %v", line, err)
		}
		time.Sleep(time.Duration(i*137) * time.Microsecond)
		writer.Process.Kill()
		writer.Wait()
		if raw, err := os.ReadFile(path); err != nil || !isComplete(raw) {
			t.Fatalf("kill %d left %d bytes, %v", i, len(raw), err)
		}
	}
}

// failingFile fails one step of a write.
type failingFile struct {
	file
	write, sync, close error
}

func (f failingFile) Write(b []byte) (int, error) {
	if f.write != nil {
		n, _ := f.file.Write(b[:len(b)/2])
		return n, f.write
	}
	return f.file.Write(b)
}

func (f failingFile) Sync() error {
	if f.sync != nil {
		return f.sync
	}
	return f.file.Sync()
}

func (f failingFile) Close() error {
	if err := f.file.Close(); f.close == nil {
		return err
	}
	return f.close
}

// Whichever step fails, the old content is unchanged, no temporary file remains, and the next
// write succeeds.
func TestFailedWriteKeepsOldContent(t *testing.T) {
	withFile := func(wrap func(file) file) fileSystem {
		s := osFileSystem
		s.create = func(dir, pattern string) (file, error) {
			f, err := osFileSystem.create(dir, pattern)
			return wrap(f), err
		}
		return s
	}
	noCreate, noRename := osFileSystem, osFileSystem
	noCreate.create = func(string, string) (file, error) { return nil, syscall.ENOSPC }
	noRename.rename = func(string, string) error { return syscall.EIO }
	for name, s := range map[string]fileSystem{
		"create": noCreate, "rename": noRename,
		"write": withFile(func(f file) file { return failingFile{file: f, write: syscall.ENOSPC} }),
		"sync":  withFile(func(f file) file { return failingFile{file: f, sync: syscall.EIO} }),
		"close": withFile(func(f file) file { return failingFile{file: f, close: syscall.EIO} }),
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "state")
		if err := WriteFile(path, []byte("old")); err != nil {
			t.Fatal(err)
		}
		if err := s.write(path, []byte("new, which fails")); err == nil {
			t.Errorf("%s: no error", name)
		}
		if raw, err := os.ReadFile(path); string(raw) != "old" || err != nil {
			t.Errorf("%s: content %q, %v", name, raw, err)
		}
		if files, _ := os.ReadDir(dir); len(files) != 1 {
			t.Errorf("%s: %d files", name, len(files))
		}
		if err := WriteFile(path, []byte("next")); err != nil {
			t.Errorf("%s: the next write: %v", name, err)
		}
	}
}

func TestFileIsPrivateToOwner(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if err := WriteFile(path, []byte("x")); err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
}
