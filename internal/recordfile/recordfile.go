// Package recordfile appends a process's version records to the operator's record file.
package recordfile

import (
	"fmt"
	"os"

	"ivylock/fleet/version"
)

const maxBytes = 16 << 20 // then the file is rotated

// Append appends a record to a file. A file that would exceed its maximum size is renamed to
// path.old first, replacing an earlier one.
func Append(path string, r *version.Record) error {
	line, err := version.AppendLine(nil, r)
	if err != nil {
		return err
	}
	if info, err := os.Stat(path); err == nil && info.Size()+int64(len(line)) > maxBytes {
		if err := os.Rename(path, path+".old"); err != nil {
			return fmt.Errorf("rotate record file: %w", err)
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
