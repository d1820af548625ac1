package eventlog

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestLogKeepsLatestEvents(t *testing.T) {
	l := New()
	const added = Capacity + 10
	for i := range added {
		l.Add(Event{Kind: RequestRead, Request: fmt.Sprint(i), Connection: uint64(i + 1)})
	}
	events := l.Events("")
	if len(events) != Capacity || events[0].Request != "10" || events[Capacity-1].Request != fmt.Sprint(added-1) {
		t.Errorf("kept %d events, from %q to %q", len(events), events[0].Request, events[len(events)-1].Request)
	}
	if got := l.Events("11"); len(got) != 1 || got[0].Connection != 12 {
		t.Errorf("events of request 11: %v", got)
	}
	if got := l.Events("3"); got != nil {
		t.Errorf("events of an overwritten request: %v", got)
	}
	if text := string(l.Text("11")); !strings.HasPrefix(text, fmt.Sprintf("%d events, 10 overwritten\n", added)) || strings.Count(text, "\n") != 2 {
		t.Errorf("text: %q", text)
	}
}

func TestEventIsFormattedOnOneLine(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 6000, time.UTC)
	for want, e := range map[string]Event{
		`03:04:05.000006 phase reason="draining"`:                                       {Kind: PhaseChanged, Reason: "draining"},
		`03:04:05.000006 request ended request="a\nb" connection=7 status=503`:          {Kind: RequestEnded, Request: "a\nb", Connection: 7, Status: 503},
		`03:04:05.000006 attempt ended request="a" attempt=0 server="s" reason="reset"`: {Kind: AttemptEnded, Request: "a", Server: "s", Reason: "reset"},
		`03:04:05.000006 kind 99`:                                                       {Kind: 99},
	} {
		e.At = at
		if got := e.String(); got != want {
			t.Errorf("got  %s\nwant %s", got, want)
		}
	}
}

// Guards against a log that holds as much as clients write into their ids.
func TestLongTextsAreTruncated(t *testing.T) {
	l := New()
	long := strings.Repeat("x", 7000)
	l.Add(Event{Kind: RequestRead, Request: long, Reason: long})
	events := l.Events(long)
	if len(events) != 1 || len(events[0].Request) != maxText || len(events[0].Reason) != maxText {
		t.Errorf("got %d events", len(events))
	}
}

func TestNilLogKeepsNothing(t *testing.T) {
	var l *Log
	l.Add(Event{Kind: RequestRead})
	if l.Events("") != nil || l.Total() != 0 {
		t.Error("a nil log kept an event")
	}
}

func TestConcurrentAddAndRead(t *testing.T) {
	l := New()
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 2000 {
				l.Add(Event{Kind: AttemptWritten, Request: "r", Server: "s"})
				if len(l.Events("none")) != 0 {
					t.Error("got events of an unknown request")
				}
			}
		})
	}
	writers.Wait()
	if l.Total() != 16000 {
		t.Errorf("total is %d events", l.Total())
	}
}

func TestAddDoesNotAllocate(t *testing.T) {
	l := New()
	if n := testing.AllocsPerRun(100, func() { l.Add(Event{Kind: RequestRead, Request: "r"}) }); n > 0 {
		t.Errorf("%v allocations per event", n)
	}
}

func BenchmarkAdd(b *testing.B) {
	l := New()
	for range b.N {
		l.Add(Event{Kind: AttemptWritten, Request: "r", Server: "s"})
	}
}
