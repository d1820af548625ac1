package load

import (
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/scenario"
)

// Deployment describes the settings and clients of a deployment.
type Deployment struct {
	Classes []history.Class
	Limits  history.Limits
	// ChangeSettings changes the default settings other than classes and limits; nil: no change.
	ChangeSettings func(all map[string]any)
	Tenants        []string // requests are assigned to them in turn; "" is no tenant
}

// QuotaTenant is the tenant of all requests where a scenario has a quota.
const QuotaTenant = "club"

// DefaultDeployment is the default deployment with a scenario's shares and work.
func DefaultDeployment(s *scenario.Scenario) *Deployment {
	d := &Deployment{Classes: ScenarioClasses(s), Limits: Limits}
	if s.TenantQuota > 0 {
		d.Tenants = []string{QuotaTenant}
	}
	return d
}

// SharedKeyWindow is how long all servers together remember keys, where classes have scopes and
// windows of their own. Every server then knows all keys, and the judge checks which ones it may
// see. 0: each pod remembers its own.
func (d *Deployment) SharedKeyWindow() (window time.Duration) {
	for _, c := range d.Classes {
		window = max(window, c.DedupWindow)
	}
	return window
}
