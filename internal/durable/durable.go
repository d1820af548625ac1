// Package durable replaces files whole: whoever reads one, after whatever failure of a
// process, a disk or a machine, finds the old content or the new one.
package durable

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// file is what Write does with the new content before that has its name.
type file interface {
	io.Writer
	Sync() error
	Close() error
	Name() string
}

// folder is what the operating system does for Write. Tests replace it.
type folder struct {
	create func(dir, pattern string) (file, error)
	rename func(from, to string) error
	remove func(name string) error
	sync   func(dir string) error
}

var system = folder{
	create: func(dir, pattern string) (file, error) { return os.CreateTemp(dir, pattern) },
	rename: os.Rename,
	remove: os.Remove,
	sync:   syncFolder,
}

// WriteFile replaces the file at path by one with this content, for the owner alone: it
// writes a temporary file beside it (path, a dot and digits), has that on the disk,
// renames it and has the name on the disk. After an error the old content stands, or,
// if only the last step failed, the new one; the temporary file is gone. One that a
// process left that was killed may be removed by whoever holds the right to write.
func WriteFile(path string, content []byte) error { return system.write(path, content) }

func (s folder) write(path string, content []byte) error {
	dir, name := filepath.Split(path)
	if dir == "" {
		dir = "."
	}
	temporary, err := s.create(dir, name+".*")
	if err != nil {
		return err
	}
	if err := fill(temporary, content); err != nil {
		s.remove(temporary.Name())
		return err
	}
	if err := s.rename(temporary.Name(), path); err != nil {
		s.remove(temporary.Name())
		return err
	}
	return s.sync(dir)
}

// fill writes the content of a new file, has it on the disk and closes the file.
func fill(f file, content []byte) error {
	n, err := f.Write(content)
	if err == nil && n < len(content) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}

// syncFolder has the names in a folder on the disk: without it a rename may be undone by
// a machine that fails.
func syncFolder(dir string) error {
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
