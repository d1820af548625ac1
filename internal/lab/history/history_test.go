package history

import (
	"bytes"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestWriteThenReadReturnsTheSameHistory(t *testing.T) {
	h := &History{Setup: Setup{Scenario: "x", Seed: 3, Classes: []Class{{Name: "c", Effect: Keyed}}, Servers: []Server{{Name: "s", Pod: 2}}},
		Events: []Event{{At: 1, Kind: Try, Try: "t", Deadline: time.Second}, {At: 2, Kind: Answer, Try: "t", Status: Served}}}
	var written bytes.Buffer
	if err := h.Write(&written); err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(written.Bytes()))
	if err != nil || !reflect.DeepEqual(got, h) {
		t.Errorf("read %+v, error %v", got, err)
	}
	truncated := written.Bytes()[:written.Len()-5]
	if _, err := Read(bytes.NewReader(truncated)); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("truncated input: %v", err)
	}
	if _, err := Read(strings.NewReader("")); err == nil {
		t.Error("empty input was accepted")
	}
}

func TestRecorderSortsAndBoundsEvents(t *testing.T) {
	var r Recorder
	observed := 0
	r.Observe(func(Event) { observed++ })
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 100 {
				r.Add(Event{At: time.Duration(j*8 + i)})
			}
		})
	}
	wg.Wait()
	events, dropped := r.Snapshot()
	if len(events) != 800 || observed != 800 || dropped != 0 {
		t.Fatalf("%d events, %d observed, %d dropped", len(events), observed, dropped)
	}
	for i, e := range events {
		if e.At != time.Duration(i) {
			t.Fatalf("event %d is at %d", i, e.At)
		}
	}
	r.events = make([]Event, MaxEvents)
	r.Add(Event{})
	if _, dropped := r.Snapshot(); dropped != 1 {
		t.Errorf("%d events dropped beyond MaxEvents, want 1", dropped)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"scenario":"x"}` + "\n" + `{"at":1,"kind":"try"}`))
	f.Add([]byte("{}\n[]"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		var written bytes.Buffer
		if err := h.Write(&written); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(&written); err != nil {
			t.Fatalf("a written history cannot be read: %v", err)
		}
	})
}
