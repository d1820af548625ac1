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

// Fleet is the section [fleet], which enables communication between nodes; docs/audit.md
// describes its keys. Omitted keys have default values.
type Fleet struct {
	ObserveOnly         bool        `toml:"only_watch"`
	HelloInterval       strict.Span `toml:"hello"`
	HelloFanout         int         `toml:"hello_to"`
	PushFanout          int         `toml:"fanout"`
	NarrowAfter         strict.Span `toml:"narrow_after"`
	CloseAfter          strict.Span `toml:"close_after"`
	BehindAfter         strict.Span `toml:"behind_after"`
	ReopenJitter        strict.Span `toml:"reopen_over"`
	OnePeerFraction     float64     `toml:"one_teller"`
	AllPeersFraction    float64     `toml:"all_tellers"`
	StaleSourceFraction float64     `toml:"source_part"`
	UnconfirmedTimeout  strict.Span `toml:"doubt_after"`
	PauseThreshold      strict.Span `toml:"wake_gap"`
	PauseHold           strict.Span `toml:"wake_hold"`

	Membership      bool        `toml:"members"`     // detect which nodes are alive
	ShareQuotas     bool        `toml:"quotas"`      // divide tenants' quotas among nodes by their traffic
	ShareWork       bool        `toml:"work"`        // divide work that is limited over all nodes by their traffic
	Subsets         bool        `toml:"subsets"`     // assign servers to nodes by membership
	Guards          []int       `toml:"guards"`      // nodes whose leases move slots off failed nodes; none: slots stay
	Slots           int         `toml:"seats"`       // into which shares are divided if there are guards
	MaxProcesses    int         `toml:"most"`        // largest possible number of nodes if there are guards
	AllowedPrefixes []string    `toml:"strangers"`   // address ranges accepted in addition to the configured nodes
	RecordFile      string      `toml:"record_file"` // empty: no record file
	RecordInterval  strict.Span `toml:"record_every"`
}

// MemberConfig returns the configuration for package member. Prefixes that do not parse are
// skipped; validate has rejected them.
func (f *Fleet) MemberConfig() member.Config {
	config := member.Config{Follow: follow.Settings{ObserveOnly: f.ObserveOnly, HelloInterval: f.HelloInterval.Duration, HelloFanout: f.HelloFanout, PushFanout: f.PushFanout, NarrowAfter: f.NarrowAfter.Duration,
		CloseAfter: f.CloseAfter.Duration, BehindAfter: f.BehindAfter.Duration, ReopenJitter: f.ReopenJitter.Duration, OnePeerFraction: f.OnePeerFraction,
		AllPeersFraction: f.AllPeersFraction, StaleSourceFraction: f.StaleSourceFraction, UnconfirmedTimeout: f.UnconfirmedTimeout.Duration, PauseThreshold: f.PauseThreshold.Duration, PauseHold: f.PauseHold.Duration},
		Membership: f.Membership, ShareQuotas: f.ShareQuotas, ShareWork: f.ShareWork, Subsets: f.Subsets, Guards: f.Guards, Slots: f.Slots, MaxProcesses: f.MaxProcesses}
	for _, text := range f.AllowedPrefixes {
		if p, err := netip.ParsePrefix(text); err == nil {
			config.AllowedPrefixes = append(config.AllowedPrefixes, p)
		}
	}
	return config
}

func (f *Fleet) setDefaults() {
	defaults := follow.DefaultSettings()
	for _, x := range []struct {
		span *strict.Span
		d    time.Duration
	}{{&f.HelloInterval, defaults.HelloInterval}, {&f.NarrowAfter, defaults.NarrowAfter}, {&f.CloseAfter, defaults.CloseAfter}, {&f.BehindAfter, defaults.BehindAfter}, {&f.ReopenJitter, defaults.ReopenJitter},
		{&f.UnconfirmedTimeout, defaults.UnconfirmedTimeout}, {&f.PauseThreshold, defaults.PauseThreshold}, {&f.PauseHold, defaults.PauseHold}, {&f.RecordInterval, time.Second}} {
		if x.span.Duration == 0 {
			x.span.Duration = x.d
		}
	}
	for _, x := range []struct {
		n *int
		d int
	}{{&f.HelloFanout, defaults.HelloFanout}, {&f.PushFanout, defaults.PushFanout}, {&f.Slots, 256}, {&f.MaxProcesses, 256}} {
		if *x.n == 0 {
			*x.n = x.d
		}
	}
	for _, x := range []struct {
		v *float64
		d float64
	}{{&f.OnePeerFraction, defaults.OnePeerFraction}, {&f.AllPeersFraction, defaults.AllPeersFraction}, {&f.StaleSourceFraction, defaults.StaleSourceFraction}} {
		if *x.v == 0 {
			*x.v = x.d
		}
	}
}

// validate returns the first invalid key, relative to fleet, and what to change.
func (f *Fleet) validate() (key, text string) {
	for _, x := range []struct {
		key       string
		v         strict.Span
		low, high time.Duration
	}{
		{"hello", f.HelloInterval, 20 * time.Millisecond, 10 * time.Second},
		{"narrow_after", f.NarrowAfter, 500 * time.Millisecond, time.Minute},
		{"close_after", f.CloseAfter, 500 * time.Millisecond, 10 * time.Minute},
		{"behind_after", f.BehindAfter, 100 * time.Millisecond, time.Minute},
		{"reopen_over", f.ReopenJitter, 0, time.Minute},
		{"doubt_after", f.UnconfirmedTimeout, time.Second, 10 * time.Minute},
		{"wake_gap", f.PauseThreshold, 200 * time.Millisecond, 10 * time.Second},
		{"wake_hold", f.PauseHold, 10 * time.Millisecond, time.Second},
		{"record_every", f.RecordInterval, 100 * time.Millisecond, time.Hour},
	} {
		if x.v.Duration < x.low || x.v.Duration > x.high {
			return x.key, fmt.Sprintf("%s must be from %v to %v; it is %v", x.key, x.low, x.high, x.v.Duration)
		}
	}
	switch {
	case f.CloseAfter.Duration <= f.NarrowAfter.Duration:
		return "close_after", "close_after must be longer than narrow_after"
	case f.HelloFanout < 1 || f.HelloFanout > 64:
		return "hello_to", "hello_to must be from 1 to 64"
	case f.PushFanout < 1 || f.PushFanout > 64:
		return "fanout", "fanout must be from 1 to 64"
	}
	for _, x := range []struct {
		key string
		v   float64
	}{{"one_teller", f.OnePeerFraction}, {"all_tellers", f.AllPeersFraction}, {"source_part", f.StaleSourceFraction}} {
		if !(x.v > 0 && x.v <= 1) {
			return x.key, x.key + " must be a part of 1, such as 0.25"
		}
	}
	for _, text := range f.AllowedPrefixes {
		if p, err := netip.ParsePrefix(text); err != nil || !p.Addr().Is4() {
			return "strangers", fmt.Sprintf("strangers: %q is not a range of IPv4 addresses, such as \"10.3.0.0/16\"", text)
		}
	}
	if key, text := f.validateGuards(); text != "" {
		return key, text
	}
	if f.OnePeerFraction > f.AllPeersFraction {
		return "one_teller", "one_teller must be at most all_tellers"
	}
	return "", ""
}

func (f *Fleet) validateGuards() (key, text string) {
	seen := map[int]bool{}
	for _, g := range f.Guards {
		if g < 0 || g >= 4096 || seen[g] {
			return "guards", fmt.Sprintf("guards must be distinct process numbers from 0 to 4095; %d is invalid or a duplicate", g)
		}
		seen[g] = true
	}
	switch {
	case len(f.Guards) > shares.MaxGuards || len(f.Guards) > 0 && len(f.Guards)%2 == 0:
		return "guards", fmt.Sprintf("name an odd number of guards, %d at most", shares.MaxGuards)
	case f.Slots < 1 || f.Slots > shares.MaxSlots:
		return "seats", fmt.Sprintf("seats must be from 1 to %d", shares.MaxSlots)
	case f.MaxProcesses < 1 || f.MaxProcesses > member.FirstControlID:
		return "most", fmt.Sprintf("most must be from 1 to %d", member.FirstControlID)
	case len(f.Guards) > 0 && !f.Membership:
		return "guards", "guards requires members = true"
	case f.Subsets && !f.Membership:
		return "subsets", "subsets requires members = true"
	case len(f.AllowedPrefixes) > 0 && !f.Membership:
		return "strangers", "strangers requires members = true"
	}
	return "", ""
}
