package version

import "time"

// Control is what a control service knows of one proxy that it steers: what it
// published, and how far the proxy has followed. Versions rise within a life of
// the control service; a service that began anew has a later Life, so that a
// lower version of its is not taken for an older one.
type Control struct {
	Life      Stamp  `json:"life"`      // when the control service started
	Published uint64 `json:"published"` // newest version for this proxy
	Sent      uint64 `json:"sent"`
	Accepted  uint64 `json:"accepted"`
	Refused   uint64 `json:"refused"`    // newest that the proxy turned down; 0: none
	LeaseEnds Time   `json:"lease_ends"` // when what it was sent last runs out by itself; 0: never
}

// Compare tells how what a proxy has accepted of one service stands to what it
// has accepted of another, or of an earlier life: by life first, as a service
// that begins anew may begin at a lower version.
func (c Control) Compare(o Control) Relation {
	if c.Life != o.Life {
		return serial(int64(c.Life) - int64(o.Life))
	}
	return serial(int64(c.Accepted) - int64(o.Accepted))
}

// ProxyState says how a steered proxy follows.
type ProxyState int

const (
	// ProxyUnknown: nothing was sent that it could have answered.
	ProxyUnknown ProxyState = iota
	// ProxyCurrent: it has accepted what was sent, and acts so as far as is seen.
	ProxyCurrent
	// ProxyWaits: its answer may still be on its way.
	ProxyWaits
	// ProxyFrozen: it answers nothing.
	ProxyFrozen
	// ProxyRefuses: it turned the newest version down.
	ProxyRefuses
	// ProxyIdle: it accepted and does not act: sends to what was withdrawn go on.
	ProxyIdle
)

func (s ProxyState) String() string {
	return [...]string{"unknown", "current", "waits", "frozen", "refuses", "accepts and does not act"}[s]
}

// Follows tells whether a proxy may be counted on.
func (s ProxyState) Follows() bool { return s == ProxyCurrent || s == ProxyWaits || s == ProxyUnknown }

// Judge says how a proxy follows: sentAt is when the newest version went out,
// strays how many of its sends to servers withdrawn in a version it had accepted
// were reported after the grace.
func (c Control) Judge(now, sentAt Time, within time.Duration, strays uint64) ProxyState {
	switch {
	case c.Sent == 0:
		return ProxyUnknown
	case c.Refused > c.Accepted:
		return ProxyRefuses
	case c.Accepted < c.Sent && now-sentAt > within:
		return ProxyFrozen
	case strays > 0:
		return ProxyIdle
	case c.Accepted < c.Sent:
		return ProxyWaits
	}
	return ProxyCurrent
}
