package version

import "time"

// Control is a control service's state of one proxy: what the service published and what
// the proxy has accepted. Versions increase within one incarnation of the service and
// start low again after a restart.
type Control struct {
	Service     string    `json:"service"`    // name of the control service
	Incarnation Timestamp `json:"life"`       // start time of the service
	Published   uint64    `json:"published"`  // newest version for this proxy
	Sent        uint64    `json:"sent"`       // newest version sent to this proxy
	Accepted    uint64    `json:"accepted"`   // newest version that the proxy accepted
	Rejected    uint64    `json:"refused"`    // newest version that the proxy rejected; 0: none
	BasedOn     List      `json:"on"`         // list that the accepted version is based on; digest 0: unknown
	LeaseEnds   Time      `json:"lease_ends"` // when the proxy drops what it was sent; 0: never
}

// Compare relates what a proxy has accepted from one service to what it has accepted
// from another one or an earlier incarnation. Versions are comparable only within one
// incarnation of a service. Otherwise Compare relates the lists that the versions are
// based on, by CompareIndependent.
func (c Control) Compare(o Control) Relation {
	if c.Service == o.Service && c.Incarnation == o.Incarnation {
		return serialRelation(int64(c.Accepted) - int64(o.Accepted))
	}
	return c.BasedOn.CompareIndependent(o.BasedOn)
}

// CompareIndependent relates the lists of two processes that have counted discovery
// restarts independently: identical lists are the same whatever their epochs, and other
// lists are incomparable if their epochs differ or one has no digest.
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

// ProxyState describes how a proxy responds to its control service.
type ProxyState int

const (
	// ProxyUnknown: nothing was sent to it yet.
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

// Reliable reports whether the proxy is not known to leave versions unanswered, rejected
// or unapplied.
func (s ProxyState) Reliable() bool {
	return s == ProxyCurrent || s == ProxyPending || s == ProxyUnknown
}

// Evaluate returns the state of a proxy. sentAt is when the oldest unanswered version
// was sent, timeout the time in which it must be answered, and lateSends the number of
// sends after the grace period to servers that an accepted version withdraws.
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
	LateSends uint64    `json:"strays"` // total of sends to servers that an accepted version withdraws
	Joined    Timestamp `json:"joined"`
	Left      Timestamp `json:"left"` // 0: still connected
}
