package scenario

import (
	"errors"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const validScenario = `name = "good"
length = "10s"

[load]
rate = 100.0

[[hall]]
name = "hall-nord"
nodes = 1
servers = { fast-6 = 2, slow-6 = 1 }

[[hall]]
name = "hall-syd"
nodes = 2
servers = { std-6 = 2 }

[[fault]]
at = "1s"
for = "2s"
what = "hang"
who = ["hall-nord.1"]

[[fault]]
at = "4s"
for = "2s"
what = "heavy"
class = "cut-order"
part = 0.1
factor = 20
`

func TestParseReadsValidScenario(t *testing.T) {
	s, err := Parse("good.toml", []byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(s.Servers()); n != 5 {
		t.Errorf("%d servers", n)
	}
	var names []string
	for _, n := range s.Nodes() {
		names = append(names, n.Name+"@"+n.Zone)
	}
	if got := strings.Join(names, " "); got != "n0@hall-nord n1@hall-syd n2@hall-syd" {
		t.Errorf("nodes %s", got)
	}
	if a, b := s.Servers()[0], s.Servers()[4]; a.Pod == b.Pod || a.Kind != "fast-6" || b.Name != "hall-syd.2" {
		t.Errorf("servers %+v and %+v", a, b)
	}
	raw, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("again.toml", raw); err != nil {
		t.Errorf("encoded scenario does not parse: %v\n%s", err, raw)
	}
}

// Each case makes the valid scenario invalid in one place; the error must name
// the line and the fix on one line.
func TestParseErrorsNameLineAndFix(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		line           int
		want           string
	}{
		{"unknown key", "rate = 100.0", "rate = 100.0\nrates = 3", 6, "unknown key load.rates"},
		{"unknown table", "[load]", "[loads]\nx = 1\n[load]", 4, "unknown key loads"},
		{"duration as a number", `length = "10s"`, "length = 10", 2, `such as "500ms"`},
		{"duration without unit", `at = "1s"`, `at = "1"`, 18, `such as "500ms"`},
		{"negative duration", `at = "1s"`, `at = "-1s"`, 18, "negative"},
		{"invalid TOML", `length = "10s"`, `length = `, 2, ""},
		{"rate of wrong type", "rate = 100.0", `rate = "many"`, 5, "rate"},
		{"rate out of range", "rate = 100.0", "rate = -1.0", 5, "0.1 to 20000"},
		{"length out of range", `length = "10s"`, `length = "10h"`, 2, "between 1s and 10m"},
		{"no name", `name = "good"`, "", 1, "name"},
		{"unknown class", "rate = 100.0", "rate = 100.0\nshares = { clip = 1.0 }", 6, "unknown class"},
		{"unknown machine", "std-6 = 2", "std-7 = 2", 15, "unknown machine kind"},
		{"duplicate zone", `name = "hall-syd"`, `name = "hall-nord"`, 13, "twice"},
		{"unknown fault", `what = "hang"`, `what = "hangs"`, 20, "unknown fault; there are"},
		{"unknown server", `who = ["hall-nord.1"]`, `who = ["hall-nord.9"]`, 21, "no server, node or hall"},
		{"fault without targets", `who = ["hall-nord.1"]`, ``, 17, "want who"},
		{"fault past the end", `at = "4s"`, `at = "40s"`, 24, "past the scenario's length"},
		{"fault without duration", `for = "2s"`, ``, 17, "want a duration"},
		{"heavy without fraction", "part = 0.1", "", 23, "want part"},
		{"fraction above 1", "part = 0.1", "part = 1.5", 28, "want part"},
		{"fraction for a fault without one", `what = "hang"`, "what = \"hang\"\npart = 0.5", 21, "no part"},
		{"overlapping faults on one process", `what = "heavy"
class = "cut-order"
part = 0.1
factor = 20`, `what = "hang"
who = ["hall-nord.1"]
[[fault]]
at = "5s"
for = "2s"
what = "silent"
who = ["hall-nord"]`, 29, "while fault 2 (hang) holds it down"},
		{"system call for another fault", `what = "hang"`, "what = \"hang\"\ncall = \"accept\"", 21, "go with"},
		{"unknown system call", `what = "hang"
who = ["hall-nord.1"]`, "what = \"system-calls\"\nwho = [\"n0\"]\ncall = \"listen\"\npart = 0.5", 22, "there are accept"},
		{"error that the call never returns", `what = "hang"
who = ["hall-nord.1"]`, "what = \"system-calls\"\nwho = [\"n0\"]\ncall = \"sync\"\nerror = \"EPERM\"\npart = 0.5", 22, "EIO, ENOSPC"},
		{"all accept calls fail for long", `what = "hang"
who = ["hall-nord.1"]`, "what = \"system-calls\"\nwho = [\"n0\"]\ncall = \"accept\"\nerror = \"EMFILE\"\npart = 1.0", 19, "150ms at most"},
		{"link without change", `what = "hang"`, `what = "link"`, 17, "wants delay, loss or state"},
	} {
		text := strings.Replace(validScenario, c.old, c.new, 1)
		if text == validScenario {
			t.Fatalf("%s: the case changes nothing", c.name)
		}
		_, err := Parse("bad.toml", []byte(text))
		var e *Error
		if !errors.As(err, &e) {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if e.Line != c.line || !strings.Contains(e.Text, c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %q, want line %d and %q", c.name, err, c.line, c.want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validScenario))
	f.Add([]byte("[[fault]]\nat = 1\n"))
	f.Add([]byte("name = \"x\"\n[[hall]]\n[[hall]]\nservers = {}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Parse("f.toml", raw)
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("error without a line: %v", err)
		}
		if err == nil && Check(s) != nil {
			t.Fatal("parsed scenario fails validation")
		}
	})
}
