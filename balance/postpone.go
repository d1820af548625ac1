package balance

import "time"

// Requests that wait until their clients can be known to be connected.

const (
	minPostponement = 25 * time.Millisecond // doubles each time
	maxPostponement = 200 * time.Millisecond
)

// postponement is the state of a request whose attempts were withheld as its client could not be
// known to be connected.
type postponement struct {
	count int           // attempts that do not count, as nothing was sent
	delay time.Duration // the latest one
	until Time          // of the next attempt; 0: the request does not wait
}

// postpone has a request wait before its next attempt. The attempt that was withheld counts neither
// against the limit of attempts nor against its server.
func (m *Module) postpone(req *request, att *attempt) {
	att.postponed = true
	p := &req.postponement
	p.count++
	p.delay = min(max(minPostponement, 2*p.delay), maxPostponement)
	p.until = m.now + m.jitter(p.delay)
}

// resumePostponed makes the next attempt of a request that has waited long enough.
func (m *Module) resumePostponed(req *request) {
	p := &req.postponement
	if req.done || p.until == 0 || m.now < p.until {
		return
	}
	p.until = 0
	m.retry(req, false)
}
