// Package durable replaces files atomically: after a failure of a process, a disk or a
// machine, a reader finds either the old content or the new one.
package durable

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// file is a temporary file.
type file interface {
	io.Writer
	Sync() error
	Close() error
	Name() string
}

// fileSystem holds the file system operations of WriteFile. Tests replace it.
type fileSystem struct {
	create func(dir, pattern string) (file, error)
	rename func(from, to string) error
	remove func(name string) error
	sync   func(dir string) error
}

var osFileSystem = fileSystem{
	create: func(dir, pattern string) (file, error) { return os.CreateTemp(dir, pattern) },
	rename: os.Rename,
	remove: os.Remove,
	sync:   syncDir,
}

// WriteFile atomically replaces the content of the file at path, with mode 0600. It writes
// and syncs a temporary file in the same directory (path, a dot and digits), renames it and
// syncs the directory. On error the temporary file is removed and the old content is
// unchanged, except that if only the last sync failed the file has its new content. A process
// that is killed may leave its temporary file behind; it is safe to remove it when no other
// process writes the file.
func WriteFile(path string, content []byte) error { return osFileSystem.write(path, content) }

func (s fileSystem) write(path string, content []byte) error {
	dir, name := filepath.Split(path)
	if dir == "" {
		dir = "."
	}
	tempFile, err := s.create(dir, name+".*")
	if err != nil {
		return err
	}
	if err := writeAndClose(tempFile, content); err != nil {
		s.remove(tempFile.Name())
		return err
	}
	if err := s.rename(tempFile.Name(), path); err != nil {
		s.remove(tempFile.Name())
		return err
	}
	return s.sync(dir)
}

// writeAndClose writes, syncs and closes a new file.
func writeAndClose(f file, content []byte) error {
	n, err := f.Write(content)
	if err == nil && n < len(content) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDir syncs a directory; without it, a machine failure may undo a rename.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("%s: %w", dir, err)
	}
	return nil
}
