package operator

import (
	"fmt"
	"net/netip"
	"time"

	"ivylock/fleet/follow"
	"ivylock/fleet/member"
	"ivylock/fleet/shares"
	"ivylock/internal/strict"
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
	Work        bool        `toml:"work"`        // and so does each node's part of what all nodes do
	Subsets     bool        `toml:"subsets"`     // who uses which server follows from who is alive
	Guards      []int       `toml:"guards"`      // by whose leases parts go from the dead to the living; none: they stay with them
	Seats       int         `toml:"seats"`       // that parts are cut into, where there are guards
	Most        int         `toml:"most"`        // nodes there may ever be, where there are guards
	Strangers   []string    `toml:"strangers"`   // ranges of addresses that are heard beside the configured ones
	RecordFile  string      `toml:"record_file"` // none if empty
	RecordEvery strict.Span `toml:"record_every"`
}

// Member is what package member takes of it; check has found that the ranges can be
// read.
func (f *Fleet) Member() member.Config {
	m := member.Config{Follow: follow.Settings{ObserveOnly: f.Watch, HelloInterval: f.Hello.Duration, HelloFanout: f.HelloTo, PushFanout: f.Fanout, NarrowAfter: f.Narrow.Duration,
		CloseAfter: f.Close.Duration, BehindAfter: f.Behind.Duration, ReopenJitter: f.Reopen.Duration, OnePeerFraction: f.OneTeller,
		AllPeersFraction: f.AllTellers, StaleSourceFraction: f.Part, UnconfirmedTimeout: f.Doubt.Duration, PauseThreshold: f.Wake.Duration, PauseHold: f.WakeHold.Duration},
		Membership: f.Members, ShareQuotas: f.Quotas, ShareWork: f.Work, Subsets: f.Subsets, Guards: f.Guards, Slots: f.Seats, MaxProcesses: f.Most}
	for _, text := range f.Strangers {
		if p, err := netip.ParsePrefix(text); err == nil {
			m.AllowedPrefixes = append(m.AllowedPrefixes, p)
		}
	}
	return m
}

func (f *Fleet) defaults() {
	d := follow.DefaultSettings()
	for _, x := range []struct {
		span *strict.Span
		d    time.Duration
	}{{&f.Hello, d.HelloInterval}, {&f.Narrow, d.NarrowAfter}, {&f.Close, d.CloseAfter}, {&f.Behind, d.BehindAfter}, {&f.Reopen, d.ReopenJitter},
		{&f.Doubt, d.UnconfirmedTimeout}, {&f.Wake, d.PauseThreshold}, {&f.WakeHold, d.PauseHold}, {&f.RecordEvery, time.Second}} {
		if x.span.Duration == 0 {
			x.span.Duration = x.d
		}
	}
	for _, x := range []struct {
		n *int
		d int
	}{{&f.HelloTo, d.HelloFanout}, {&f.Fanout, d.PushFanout}, {&f.Seats, 256}, {&f.Most, 256}} {
		if *x.n == 0 {
			*x.n = x.d
		}
	}
	for _, x := range []struct {
		v *float64
		d float64
	}{{&f.OneTeller, d.OnePeerFraction}, {&f.AllTellers, d.AllPeersFraction}, {&f.Part, d.StaleSourceFraction}} {
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
	for _, text := range f.Strangers {
		if p, err := netip.ParsePrefix(text); err != nil || !p.Addr().Is4() {
			return "strangers", fmt.Sprintf("strangers: %q is no range of IPv4 addresses, such as \"10.3.0.0/16\"", text)
		}
	}
	if key, text := f.checkGuards(); text != "" {
		return key, text
	}
	if f.OneTeller > f.AllTellers {
		return "one_teller", "one_teller must be at most all_tellers"
	}
	return "", ""
}

func (f *Fleet) checkGuards() (key, text string) {
	seen := map[int]bool{}
	for _, g := range f.Guards {
		if g < 0 || g >= 4096 || seen[g] {
			return "guards", fmt.Sprintf("guards are numbers of processes, each once, from 0 to 4095; %d is not", g)
		}
		seen[g] = true
	}
	switch {
	case len(f.Guards) > shares.MaxGuards || len(f.Guards) > 0 && len(f.Guards)%2 == 0:
		return "guards", fmt.Sprintf("name an odd number of guards, %d at most", shares.MaxGuards)
	case f.Seats < 1 || f.Seats > shares.MaxSlots:
		return "seats", fmt.Sprintf("seats must be from 1 to %d", shares.MaxSlots)
	case f.Most < 1 || f.Most > member.FirstControlID:
		return "most", fmt.Sprintf("most must be from 1 to %d", member.FirstControlID)
	case len(f.Guards) > 0 && !f.Members:
		return "guards", "guards want members = true: parts go to the living"
	case f.Subsets && !f.Members:
		return "subsets", "subsets wants members = true: they follow from who is alive"
	case len(f.Strangers) > 0 && !f.Members:
		return "strangers", "strangers wants members = true: who joins is a member first"
	}
	return "", ""
}
