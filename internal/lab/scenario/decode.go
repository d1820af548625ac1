package scenario

import (
	"io/fs"

	"ivylock/internal/strict"
)

// Error describes the first invalid entry of a file, on one line.
type Error = strict.Error

// Span is a duration that is written with its unit.
type Span = strict.Span

// LoadFile reads and validates a file. Invalid content results in an *Error.
func LoadFile(dir fs.FS, name string) (*Scenario, error) {
	raw, err := fs.ReadFile(dir, name)
	if err != nil {
		return nil, err
	}
	return Parse(name, raw)
}

// Parse decodes and validates the text of a file. Every error is an *Error.
func Parse(file string, raw []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := strict.Decode(file, raw, s, "docs/lab.md"); err != nil {
		return nil, err
	}
	s.defaults()
	if key, text := s.check(processLimits); text != "" {
		return nil, &Error{File: file, Line: strict.LineOf(raw, key), Text: text}
	}
	return s, nil
}
