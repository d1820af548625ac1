package history

import (
	"bytes"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"
)

func TestWhatIsWrittenReads(t *testing.T) {
	h := &History{Setup: Setup{Scenario: "x", Seed: 3, Classes: []Class{{Name: "c", Effect: Keyed}}, Servers: []Server{{Name: "s", Pod: 2}}},
		Events: []Event{{At: 1, Kind: Try, Try: "t", Deadline: time.Second}, {At: 2, Kind: Answer, Try: "t", Status: Served}}}
	var b bytes.Buffer
	if err := h.Write(&b); err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(b.Bytes()))
	if err != nil || !reflect.DeepEqual(got, h) {
		t.Errorf("%+v, %v", got, err)
	}
	cut := b.Bytes()[:b.Len()-5]
	if _, err := Read(bytes.NewReader(cut)); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("cut short: %v", err)
	}
	if _, err := Read(strings.NewReader("")); err == nil {
		t.Error("nothing at all reads")
	}
}

func TestARecorderSortsAndIsBounded(t *testing.T) {
	var r Recorder
	seen := 0
	r.Observe(func(Event) { seen++ })
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
	if len(events) != 800 || seen != 800 || dropped != 0 {
		t.Fatalf("%d events, %d seen, %d dropped", len(events), seen, dropped)
	}
	for i, e := range events {
		if e.At != time.Duration(i) {
			t.Fatalf("event %d is at %d", i, e.At)
		}
	}
	r.events = make([]Event, MaxEvents)
	r.Add(Event{})
	if _, dropped := r.Snapshot(); dropped != 1 {
		t.Errorf("%d dropped past the bound", dropped)
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
		var b bytes.Buffer
		if err := h.Write(&b); err != nil {
			t.Fatal(err)
		}
		if _, err := Read(&b); err != nil {
			t.Fatalf("what was written does not read: %v", err)
		}
	})
}
