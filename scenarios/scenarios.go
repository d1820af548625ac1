// Package scenarios holds the lab's scenario files.
package scenarios

import "embed"

// Files are the scenario files, NAME.toml each.
//
//go:embed *.toml
var Files embed.FS
