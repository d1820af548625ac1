package load

import (
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
)

// Deployment says what settings and clients are like.
type Deployment struct {
	Classes []history.Class
	Limits  history.Limits
	// Settings changes what the brief's settings have beside classes and limits; nil: nothing.
	Settings func(all map[string]any)
	Tenants  []string // the requests are dealt among them in turn; "" is nobody's
}

// Tenant is whose all requests are where a scenario has a quota.
const Tenant = "club"

// Brief is the brief's deployment, with a scenario's own shares and work.
func Brief(s *scenario.Scenario) *Deployment {
	d := &Deployment{Classes: ClassesOf(s), Limits: Limits}
	if s.TenantQuota > 0 {
		d.Tenants = []string{Tenant}
	}
	return d
}

// Common is how long all servers together remember keys, where classes have scopes and
// windows of their own: then all know all keys, and the judge looks who may meet them. 0:
// each pod remembers its own.
func (d *Deployment) Common() (window time.Duration) {
	for _, c := range d.Classes {
		window = max(window, c.Window)
	}
	return window
}
