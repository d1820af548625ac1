package version

import "time"

// Control is a control service's state of one proxy: what the service published and how
// far the proxy has followed. Versions rise within one incarnation of the service;
// after a restart they start low again.
type Control struct {
	Service     string    `json:"service"`   // name of the control service
	Incarnation Timestamp `json:"life"`      // start time of the service
	Published   uint64    `json:"published"` // newest version for this proxy
	Sent        uint64    `json:"sent"`
	Accepted    uint64    `json:"accepted"`
	Rejected    uint64    `json:"refused"`    // newest version that the proxy rejected; 0: none
	BasedOn     List      `json:"on"`         // the list that the accepted version is based on; no digest: unknown
	LeaseEnds   Time      `json:"lease_ends"` // when what it was sent expires; 0: never
}

// Compare relates what a proxy has accepted from one service to what it has accepted
// from another one or an earlier incarnation. Versions are comparable only within one
// incarnation of a service. Otherwise the lists decide that the versions are based on;
// unknown lists, or lists of different epochs, are incomparable.
func (c Control) Compare(o Control) Relation {
	if c.Service == o.Service && c.Incarnation == o.Incarnation {
		return serialRelation(int64(c.Accepted) - int64(o.Accepted))
	}
	return c.BasedOn.CompareIndependent(o.BasedOn)
}

// CompareIndependent relates the lists of two processes that have counted discovery
// restarts independently: the identical list is the same whatever the epochs, and
// otherwise lists of different epochs are incomparable.
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

// ProxyState tells how well a steered proxy follows its control service.
type ProxyState int

const (
	// ProxyUnknown: nothing was sent that it could have answered.
	ProxyUnknown ProxyState = iota
	// ProxyCurrent: it has accepted what was sent, and no load report contradicts that.
	ProxyCurrent
	// ProxyPending: its answer may still be in transit.
	ProxyPending
	// ProxyUnresponsive: it has not answered in time.
	ProxyUnresponsive
	// ProxyRejecting: it rejected the newest version.
	ProxyRejecting
	// ProxyNotApplying: it accepted withdrawals and still sends to the withdrawn
	// servers.
	ProxyNotApplying
)

func (s ProxyState) String() string {
	return [...]string{"unknown", "current", "waits", "frozen", "refuses", "accepts and does not act"}[s]
}

// Reliable reports whether the proxy can be counted on.
func (s ProxyState) Reliable() bool {
	return s == ProxyCurrent || s == ProxyPending || s == ProxyUnknown
}

// Evaluate returns the state of a proxy. sentAt is when the oldest unanswered version
// was sent; lateSends counts sends, reported after the grace period, to servers that an
// accepted version withdraws.
func (c Control) Evaluate(now, sentAt Time, timeout time.Duration, lateSends uint64) ProxyState {
	switch {
	case c.Sent == 0:
		return ProxyUnknown
	case c.Rejected > c.Accepted:
		return ProxyRejecting
	case c.Accepted < c.Sent && now-sentAt > timeout:
		return ProxyUnresponsive
	case lateSends > 0:
		return ProxyNotApplying
	case c.Accepted < c.Sent:
		return ProxyPending
	}
	return ProxyCurrent
}

// ProxyRecord is the record of one proxy at a control service.
type ProxyRecord struct {
	Proxy string `json:"proxy"`
	Control
	State     string    `json:"state"`
	Why       string    `json:"why,omitempty"`
	LateSends uint64    `json:"strays"` // sends to servers that an accepted version withdraws, in all
	Joined    Timestamp `json:"joined"`
	Left      Timestamp `json:"left"` // 0: still connected
}
