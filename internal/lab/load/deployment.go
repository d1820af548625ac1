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
	// ChangeSettings changes what the brief's settings have beside classes and limits; nil: nothing.
	ChangeSettings func(all map[string]any)
	Tenants        []string // the requests are dealt among them in turn; "" is nobody's
}

// QuotaTenant is whose all requests are where a scenario has a quota.
const QuotaTenant = "club"

// DefaultDeployment is the brief's deployment, with a scenario's own shares and work.
func DefaultDeployment(s *scenario.Scenario) *Deployment {
	d := &Deployment{Classes: ScenarioClasses(s), Limits: Limits}
	if s.TenantQuota > 0 {
		d.Tenants = []string{QuotaTenant}
	}
	return d
}

// SharedKeyWindow is how long all servers together remember keys, where classes have scopes and
// windows of their own: then all know all keys, and the judge looks who may meet them. 0:
// each pod remembers its own.
func (d *Deployment) SharedKeyWindow() (window time.Duration) {
	for _, c := range d.Classes {
		window = max(window, c.DedupWindow)
	}
	return window
}
