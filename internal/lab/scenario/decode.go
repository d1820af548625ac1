package scenario

import (
	"io/fs"

	"ivylock/internal/strict"
)

// Errno is what is wrong with a file, on one line.
type Error = strict.Error

// Span is a time that is written with its unit.
type Span = strict.Span

// Load reads and checks a file. What is wrong with its content is an *Error.
func LoadFile(dir fs.FS, name string) (*Scenario, error) {
	raw, err := fs.ReadFile(dir, name)
	if err != nil {
		return nil, err
	}
	return Parse(name, raw)
}

// Parse reads and checks the text of a file. Every error is an *Error.
func Parse(file string, raw []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := strict.Decode(file, raw, s, "docs/lab.md"); err != nil {
		return nil, err
	}
	s.defaults()
	if key, text := s.check(onSockets); text != "" {
		return nil, &Error{File: file, Line: strict.LineOf(raw, key), Text: text}
	}
	return s, nil
}
