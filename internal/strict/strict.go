// Package strict decodes operators' TOML files. Unknown keys, wrong types and invalid values
// are reported on one line with the file, the line and how to fix them.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

const maxFileBytes = 1 << 20

// Error describes a problem in a file on one line.
type Error struct {
	File string
	Line int
	Text string // the problem and its fix
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text) }

// Span is a non-negative duration that is written with its unit, such as "500ms".
type Span struct{ time.Duration }

// UnmarshalText parses a duration with its unit.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration; write it with its unit, such as \"500ms\" or \"8.3s\"", text)
	}
	if d < 0 {
		return fmt.Errorf("%q is negative; write a duration of 0 or more", text)
	}
	s.Duration = d
	return nil
}

// MarshalText formats the duration with its unit.
func (s Span) MarshalText() ([]byte, error) { return []byte(s.Duration.String()), nil }

// Decode decodes the content of a file into the struct that into points to. page names the
// documentation of the keys, for errors. Every error is an *Error.
func Decode(file string, raw []byte, into any, page string) error {
	if len(raw) > maxFileBytes {
		return &Error{file, 1, "the file is over 1 MiB; split it"}
	}
	if line, key := findBareDuration(raw, durationKeys(reflect.TypeOf(into))); line > 0 {
		return &Error{file, line, key + ": nobody can tell what a bare number counts; write a time with its unit, such as \"500ms\" or \"8.3s\""}
	}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(into); err != nil {
		return explain(file, err, page)
	}
	return nil
}

// explain converts a decoder's error to an *Error.
func explain(file string, err error, page string) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return &Error{file, line, fmt.Sprintf("unknown key %s; remove it, or see %s for the keys there are", strings.Join(first.Key(), "."), page)}
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		text := strings.TrimPrefix(decodeErr.Error(), "toml: ")
		text, _, _ = strings.Cut(text, "\n")
		if strings.Contains(text, "strict.Span") {
			text = "want a duration as text with its unit, such as \"500ms\" or \"8.3s\""
		}
		if key := strings.Join(decodeErr.Key(), "."); key != "" {
			text = key + ": " + text
		}
		return &Error{file, line, text}
	}
	text, _, _ := strings.Cut(err.Error(), "\n")
	return &Error{file, 1, text}
}

// durationKeys returns the names of all keys of a struct that hold a duration.
func durationKeys(root reflect.Type) map[string]bool {
	keys := map[string]bool{}
	var walk func(t reflect.Type)
	walk = func(t reflect.Type) {
		if t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return
		}
		for i := range t.NumField() {
			f := t.Field(i)
			if name, _, _ := strings.Cut(f.Tag.Get("toml"), ","); f.Type == reflect.TypeFor[Span]() {
				keys[name] = true
			} else {
				walk(f.Type)
			}
		}
	}
	walk(root)
	return keys
}

// findBareDuration finds a number where a duration with a unit is expected, because the
// decoder would report it without its line. It returns line 0 if there is none.
func findBareDuration(raw []byte, keys map[string]bool) (line int, key string) {
	var p unstable.Parser
	p.Reset(raw)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.KeyValue || e.Value().Kind != unstable.Integer && e.Value().Kind != unstable.Float {
			continue
		}
		for it := e.Key(); it.Next(); {
			line, key = p.Shape(p.Range(it.Node().Data)).Start.Line, string(it.Node().Data)
		}
		if keys[key] {
			return line, key
		}
	}
	return 0, ""
}

// LineOf returns the line on which a key such as fault.2.at is set, or else the line of the
// closest enclosing table. Array tables are counted from 0, nested ones over the whole file.
func LineOf(raw []byte, key string) int {
	lines := map[string]int{"": 1}
	count := map[string]int{}
	var p unstable.Parser
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			if line == 0 {
				line = p.Shape(p.Range(it.Node().Data)).Start.Line
			}
			parts = append(parts, string(it.Node().Data))
		}
		name := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s.%d", name, count[name])
			count[name]++
			lines[table] = line
		case unstable.Table:
			table = name
			lines[table] = line
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			lines[name] = line
		}
	}
	for {
		if line, found := lines[key]; found {
			return line
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 1
		}
		key = key[:i]
	}
}
