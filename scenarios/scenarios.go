// Package scenarios holds the lab's scenario files.
package scenarios

import "embed"

// Files contains the scenario files, each named NAME.toml.
//
//go:embed *.toml
var Files embed.FS
