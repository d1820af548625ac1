// Package recordfile keeps a process's records (package version) in the file that
// the operator names.
package recordfile

import (
	"fmt"
	"os"

	"ivylock/fleet/version"
)

const mostBytes = 16 << 20 // of a file; then it is set aside and begun anew

// Append adds a record to a file. A file that has become too long is set aside
// under one other name, so that two files are kept at most.
func Append(path string, r *version.Record) error {
	line, err := version.AppendLine(nil, r)
	if err != nil {
		return err
	}
	if st, err := os.Stat(path); err == nil && st.Size()+int64(len(line)) > mostBytes {
		if err := os.Rename(path, path+".old"); err != nil {
			return fmt.Errorf("set aside: %w", err)
		}
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.Write(line); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
