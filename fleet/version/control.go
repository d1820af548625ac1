package version

import "time"

// Control is what a control service knows of one proxy that it steers: what it
// published, and how far the proxy has followed. Versions rise within a life of
// the control service; one that began anew begins at a lower version.
type Control struct {
	Service     string    `json:"service"`   // name of the control service
	Incarnation Timestamp `json:"life"`      // when it started
	Published   uint64    `json:"published"` // newest version for this proxy
	Sent        uint64    `json:"sent"`
	Accepted    uint64    `json:"accepted"`
	Rejected    uint64    `json:"refused"`    // newest that the proxy turned down; 0: none
	BasedOn     List      `json:"on"`         // the list that the accepted version rests on; no digest: not known
	LeaseEnds   Time      `json:"lease_ends"` // when what it was sent last runs out by itself; 0: never
}

// Compare tells how what a proxy has accepted of one service stands to what it
// has accepted of another, or of an earlier life. Within one life of a service
// versions decide. Beyond that they tell nothing: a service that began anew
// begins low, and two services count each for itself. There the lists decide
// that the versions rest on; where one of them is not known, or lists are of two
// beginnings of discovery, nobody can say.
func (c Control) Compare(o Control) Relation {
	if c.Service == o.Service && c.Incarnation == o.Incarnation {
		return serial(int64(c.Accepted) - int64(o.Accepted))
	}
	return c.BasedOn.CompareIndependent(o.BasedOn)
}

// CompareIndependent tells how lists stand to one another that two processes have counted the
// beginnings of discovery for without a word between them: the very same list is
// the same whatever the counts say, and different counts can't be compared.
func (l List) CompareIndependent(o List) Relation {
	switch {
	case l.Digest == 0 || o.Digest == 0:
		return Incomparable
	case l.Generation == o.Generation && l.Digest == o.Digest:
		return Same
	case l.Epoch != o.Epoch:
		return Incomparable
	}
	return l.Compare(o)
}

// ProxyState says how a steered proxy follows.
type ProxyState int

const (
	// ProxyUnknown: nothing was sent that it could have answered.
	ProxyUnknown ProxyState = iota
	// ProxyCurrent: it has accepted what was sent, and acts so as far as is seen.
	ProxyCurrent
	// ProxyPending: its answer may still be on its way.
	ProxyPending
	// ProxyUnresponsive: it answers nothing.
	ProxyUnresponsive
	// ProxyRejecting: it turned the newest version down.
	ProxyRejecting
	// ProxyNotApplying: it accepted and does not act: sends to what was withdrawn go on.
	ProxyNotApplying
)

func (s ProxyState) String() string {
	return [...]string{"unknown", "current", "waits", "frozen", "refuses", "accepts and does not act"}[s]
}

// Reliable tells whether a proxy may be counted on.
func (s ProxyState) Reliable() bool {
	return s == ProxyCurrent || s == ProxyPending || s == ProxyUnknown
}

// Evaluate says how a proxy follows: sentAt is when the newest version went out,
// strays how many of its sends to servers withdrawn in a version it had accepted
// were reported after the grace.
func (c Control) Evaluate(now, sentAt Time, within time.Duration, strays uint64) ProxyState {
	switch {
	case c.Sent == 0:
		return ProxyUnknown
	case c.Rejected > c.Accepted:
		return ProxyRejecting
	case c.Accepted < c.Sent && now-sentAt > within:
		return ProxyUnresponsive
	case strays > 0:
		return ProxyNotApplying
	case c.Accepted < c.Sent:
		return ProxyPending
	}
	return ProxyCurrent
}

// ProxyRecord is how one proxy follows a control service, as that has it on record.
type ProxyRecord struct {
	Proxy string `json:"proxy"`
	Control
	State     string    `json:"state"`
	Why       string    `json:"why,omitempty"`
	LateSends uint64    `json:"strays"` // sends to what it had accepted as withdrawn, in all
	Joined    Timestamp `json:"joined"`
	Left      Timestamp `json:"left"` // 0: it is there
}
