package operator

import (
	"fmt"
	"time"

	"barrowscale/fleet/follow"
	"barrowscale/internal/strict"
)

// Fleet switches on that nodes tell one another what they act on; docs/audit.md
// says what each key does. What is left out keeps its default.
type Fleet struct {
	Watch      bool        `toml:"only_watch"`
	Hello      strict.Span `toml:"hello"`
	HelloTo    int         `toml:"hello_to"`
	Fanout     int         `toml:"fanout"`
	Narrow     strict.Span `toml:"narrow_after"`
	Close      strict.Span `toml:"close_after"`
	Behind     strict.Span `toml:"behind_after"`
	Reopen     strict.Span `toml:"reopen_over"`
	OneTeller  float64     `toml:"one_teller"`
	AllTellers float64     `toml:"all_tellers"`
	Part       float64     `toml:"source_part"`
	Doubt      strict.Span `toml:"doubt_after"`
	Wake       strict.Span `toml:"wake_gap"`
	WakeHold   strict.Span `toml:"wake_hold"`

	Members     bool        `toml:"members"`     // nodes find out who is alive
	Quotas      bool        `toml:"quotas"`      // parts of tenants' quotas follow their traffic
	RecordFile  string      `toml:"record_file"` // none if empty
	RecordEvery strict.Span `toml:"record_every"`
}

// Settings are the figures as package follow takes them.
func (f *Fleet) Settings() follow.Settings {
	return follow.Settings{Watch: f.Watch, Hello: f.Hello.Duration, HelloTo: f.HelloTo, Fanout: f.Fanout, Narrow: f.Narrow.Duration,
		Close: f.Close.Duration, Behind: f.Behind.Duration, Reopen: f.Reopen.Duration, OneTeller: f.OneTeller,
		AllTellers: f.AllTellers, Part: f.Part, Doubt: f.Doubt.Duration, Wake: f.Wake.Duration, WakeHold: f.WakeHold.Duration}
}

func (f *Fleet) defaults() {
	d := follow.Defaults()
	for _, x := range []struct {
		span *strict.Span
		d    time.Duration
	}{{&f.Hello, d.Hello}, {&f.Narrow, d.Narrow}, {&f.Close, d.Close}, {&f.Behind, d.Behind}, {&f.Reopen, d.Reopen},
		{&f.Doubt, d.Doubt}, {&f.Wake, d.Wake}, {&f.WakeHold, d.WakeHold}, {&f.RecordEvery, time.Second}} {
		if x.span.Duration == 0 {
			x.span.Duration = x.d
		}
	}
	for _, x := range []struct {
		n *int
		d int
	}{{&f.HelloTo, d.HelloTo}, {&f.Fanout, d.Fanout}} {
		if *x.n == 0 {
			*x.n = x.d
		}
	}
	for _, x := range []struct {
		v *float64
		d float64
	}{{&f.OneTeller, d.OneTeller}, {&f.AllTellers, d.AllTellers}, {&f.Part, d.Part}} {
		if *x.v == 0 {
			*x.v = x.d
		}
	}
}

// check gives the key of what is wrong, below fleet, and what to do.
func (f *Fleet) check() (key, text string) {
	for _, x := range []struct {
		key      string
		v        strict.Span
		low, top time.Duration
	}{
		{"hello", f.Hello, 20 * time.Millisecond, 10 * time.Second},
		{"narrow_after", f.Narrow, 500 * time.Millisecond, time.Minute},
		{"close_after", f.Close, 500 * time.Millisecond, 10 * time.Minute},
		{"behind_after", f.Behind, 100 * time.Millisecond, time.Minute},
		{"reopen_over", f.Reopen, 0, time.Minute},
		{"doubt_after", f.Doubt, time.Second, 10 * time.Minute},
		{"wake_gap", f.Wake, 200 * time.Millisecond, 10 * time.Second},
		{"wake_hold", f.WakeHold, 10 * time.Millisecond, time.Second},
		{"record_every", f.RecordEvery, 100 * time.Millisecond, time.Hour},
	} {
		if x.v.Duration < x.low || x.v.Duration > x.top {
			return x.key, fmt.Sprintf("%s must be from %v to %v; it is %v", x.key, x.low, x.top, x.v.Duration)
		}
	}
	switch {
	case f.Close.Duration <= f.Narrow.Duration:
		return "close_after", "close_after must be longer than narrow_after: a process narrows before it closes"
	case f.HelloTo < 1 || f.HelloTo > 64:
		return "hello_to", "hello_to must be from 1 to 64"
	case f.Fanout < 1 || f.Fanout > 64:
		return "fanout", "fanout must be from 1 to 64"
	}
	for _, x := range []struct {
		key string
		v   float64
	}{{"one_teller", f.OneTeller}, {"all_tellers", f.AllTellers}, {"source_part", f.Part}} {
		if !(x.v > 0 && x.v <= 1) {
			return x.key, x.key + " must be a part of 1, such as 0.25"
		}
	}
	if f.OneTeller > f.AllTellers {
		return "one_teller", "one_teller must be at most all_tellers"
	}
	return "", ""
}
