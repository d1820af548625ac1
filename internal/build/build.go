// Package build tells which build of a program runs.
package build

import (
	"runtime/debug"
	"strings"

	"ivylock/fleet/version"
)

// Digest is the digest of the program's version, as the runtime tells it; 0 if it is
// not told.
func Digest() uint16 {
	info, told := debug.ReadBuildInfo()
	if !told {
		return 0
	}
	text := info.Main.Version
	for _, s := range info.Settings {
		if strings.HasPrefix(s.Key, "vcs.") {
			text += " " + s.Value
		}
	}
	return version.Digest([]byte(text))
}
