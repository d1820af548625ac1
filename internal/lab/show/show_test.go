package show

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/memory"
	"ivylock/internal/lab/real"
	"ivylock/internal/lab/scenario"
	"ivylock/scenarios"
)

func simulate(t *testing.T) *history.History {
	t.Helper()
	s, err := scenario.LoadFile(scenarios.Files, "silent.toml")
	if err != nil {
		t.Fatal(err)
	}
	return memory.Run(s, memory.Options{})
}

func TestSeriesMatchVerdict(t *testing.T) {
	h := simulate(t)
	s, v := NewSeries(h), judge.Judge(h)
	sent, refused := 0.0, 0.0
	for _, server := range h.Setup.Servers {
		for _, n := range s.Sent[server.Name] {
			sent += n
		}
	}
	for _, n := range s.Refused {
		refused += n
	}
	if int(sent) != v.Service.Attempts || int(refused) != v.Service.Refused {
		t.Errorf("%v sent and %v refused, the verdict has %d and %d", sent, refused, v.Service.Attempts, v.Service.Refused)
	}
	if len(s.Faults) != 1 || s.Faults[0].From != 6*time.Second || s.Faults[0].To != 15*time.Second {
		t.Errorf("faults %+v", s.Faults)
	}
	silent := s.Sent["hall-nord.1"][8:14]
	for _, n := range silent {
		if n != 0 {
			t.Errorf("attempts sent to a silent server: %v", silent)
		}
	}
}

// The page must be self-contained and escape text: no addresses, no scripts,
// well-formed SVG.
func TestReportIsSelfContained(t *testing.T) {
	h := simulate(t)
	h.Setup.Scenario = `<script>alert("x")</script>`
	v := judge.Judge(h)
	var b bytes.Buffer
	if err := Report(&b, h, &v, []string{"something <b>did</b> not hold"}); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, bad := range []string{"<script", "http://", "https://", "src=", "<b>did"} {
		if strings.Contains(text, bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	for _, want := range []string{"something &lt;b&gt;did", "silent hall-nord.1", "hall-vest: requests", "<svg"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
	for _, svg := range strings.Split(text, "<svg")[1:] {
		svg = "<svg" + svg[:strings.Index(svg, "</svg>")+len("</svg>")]
		for d := xml.NewDecoder(strings.NewReader(svg)); ; {
			if _, err := d.Token(); err == io.EOF {
				break
			} else if err != nil {
				t.Fatalf("a plot is not well formed: %v", err)
			}
		}
	}
}

func TestScreenShowsRunWithinLineLimit(t *testing.T) {
	h := simulate(t)
	l := NewLiveView(load.Classes)
	rows := []real.ServerStatus{{Name: "hall-nord.1", Kind: "fast-6", State: "silent", WarmRatio: 1}, {Name: "hall-nord.2", Kind: "fast-6", Active: 6, Waiting: 2, WarmRatio: 0.5}}
	for _, e := range h.Events {
		if e.At < 8*time.Second {
			l.Add(e)
		}
	}
	text := l.Screen("x", 8*time.Second, 24*time.Second, rows, 24)
	for _, want := range []string{"silent hall-nord.1", "cold 50%", "broadcast-clip", "########", "worth served"} {
		if !strings.Contains(text, want) {
			t.Errorf("the screen does not contain %q:\n%s", want, text)
		}
	}
	if n := strings.Count(l.Screen("x", 8*time.Second, 24*time.Second, rows, 5), "\n"); n > 5 {
		t.Errorf("%d lines on a terminal of 5", n)
	}
	if line := l.Line(8*time.Second, rows); strings.Contains(line, "\n") || !strings.Contains(line, "in flight 8") {
		t.Errorf("the line is %q", line)
	}
}
