package operator

import (
	"errors"
	"strings"
	"testing"

	"ivylock/internal/strict"
)

const validConfig = `[control]
listen = "127.0.0.1:18000"
plain_text = true
discovery = "127.0.0.1:7000"

[[control.service]]
name = "clips"

[[control.service.class]]
name = "fetch"
effect = "safe"
aim = "500ms"
deadline = "5s"

[[control.service.class]]
name = "broadcast"
effect = "keyed"
priority = true
aim = "1s"
deadline = "20s"
key_window = "8s"
`

func TestParseValidFile(t *testing.T) {
	f, err := Parse("operator.toml", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c := f.Control; c.EndpointTTL.Milliseconds() != 240 || c.FallbackTTL.Seconds() != 60 || len(c.Services[0].Classes) != 2 || c.HealthCheck != "/healthz" {
		t.Errorf("%+v", c)
	}
	if f, err := Parse("operator.toml", []byte("# nothing is on\n")); err != nil || f.Control != nil {
		t.Errorf("a file without sections: %+v, %v", f, err)
	}
}

func TestParseErrorsNameLineAndFix(t *testing.T) {
	for _, c := range []struct {
		from, to string
		line     int
		want     string
	}{
		{`listen =`, `lissten =`, 2, "unknown key"},
		{`"127.0.0.1:18000"`, `"here"`, 2, "host:port"},
		{`"127.0.0.1:18000"`, `"0.0.0.0:18000"`, 2, "loopback"},
		{`plain_text = true`, `plain_text = false`, 2, "cert, key and client_ca"},
		{`plain_text = true`, "plain_text = true\ncert = \"x\"", 3, "exclude one another"},
		{`"127.0.0.1:7000"`, `""`, 4, "discovery"},
		{`discovery =`, "lease = \"400ms\"\ndiscovery =", 4, "lease must be from 60ms to 250ms"},
		{`discovery =`, "lease = 200\ndiscovery =", 4, "bare number"},
		{`discovery =`, "held = \"soon\"\ndiscovery =", 4, "not a duration"},
		{`discovery =`, "max_streams = -1\ndiscovery =", 4, "max_streams"},
		{`discovery =`, "max_streams = \"many\"\ndiscovery =", 4, ""},
		{`discovery =`, "change_by = 1.0\ndiscovery =", 4, "change_by"},
		{`discovery =`, "overload_factor = 0.5\ndiscovery =", 4, "overload_factor"},
		{`discovery =`, "cold_from = 2.0\ndiscovery =", 4, "cold_from"},
		{`discovery =`, "probe = \"x\"\ndiscovery =", 4, "probe"},
		{`name = "clips"`, `name = "Clips!"`, 7, "lower-case"},
		{`effect = "safe"`, `effect = "harmless"`, 11, "safe"},
		{`key_window = "8s"`, `key_window = "9s"`, 21, "8s"},
		{`deadline = "5s"`, `deadline = "100ms"`, 13, "deadline"},
		{`name = "broadcast"`, `name = "fetch"`, 16, "two classes"},
		{`aim = "500ms"`, `aim = "0s"`, 12, "aim"},
		{`[control]`, `[control`, 1, ""},
	} {
		_, err := Parse("operator.toml", []byte(strings.Replace(validConfig, c.from, c.to, 1)))
		var e *strict.Error
		if !errors.As(err, &e) {
			t.Errorf("%s: %v", c.to, err)
			continue
		}
		if e.Line != c.line || !strings.Contains(e.Text, c.want) || strings.Contains(e.Error(), "\n") {
			t.Errorf("%q: %v (wanted line %d, %q)", c.to, e, c.line, c.want)
		}
	}
	withTLS := strings.Replace(validConfig, "plain_text = true", "cert = \"c\"\nkey = \"k\"\nclient_ca = \"a\"", 1)
	if _, err := Parse("operator.toml", []byte(withTLS)); err == nil || !strings.Contains(err.Error(), "proxies") {
		t.Errorf("with TLS and no allowed proxies: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("[control]\n[[control.service]]\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if _, err := Parse("f", raw); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("more than one line: %q", err)
		}
	})
}
