// Package build identifies the build of the running program.
package build

import (
	"runtime/debug"
	"strings"

	"ivylock/fleet/version"
)

// Digest returns the digest of the program's version and revision, or 0 if the build
// information is missing.
func Digest() uint16 {
	info, ok := debug.ReadBuildInfo()
	if !ok {
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
