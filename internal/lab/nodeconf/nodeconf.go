// Package nodeconf converts a scenario to the configuration of its nodes.
package nodeconf

import (
	"cmp"
	"encoding/json"
	"fmt"

	"ivylock/balance"
	"ivylock/internal/lab/clip"
	"ivylock/internal/lab/history"
	"ivylock/internal/lab/hosts"
	"ivylock/internal/lab/load"
	"ivylock/internal/lab/scenario"
	"ivylock/internal/settings"
)

// Limits are the resources of a node's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the content of the file that PROXY_CONFIG names.
type Config struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Discovery     string          `json:"discovery"`
	Console       string          `json:"console,omitempty"`
	Seed          string          `json:"seed"`
	Limits        Limits          `json:"limits"`
	PeerListen    string          `json:"peer_listen,omitempty"`
	Peers         []string        `json:"peers,omitempty"`
	PeerBroadcast string          `json:"peers_all,omitempty"`
	InitialList   hosts.List      `json:"known"`
	Settings      json.RawMessage `json:"settings"`
}

var effects = map[history.Effect]string{history.Safe: "retryable", history.Keyed: "dedup", history.Unsafe: "fragile"}

var scopes = map[history.Scope]string{history.PodScope: "cell", history.ZoneScope: "zone", history.GlobalScope: "all"}

// Settings returns the settings of one node of a scenario in the default deployment, load.DefaultDeployment.
func Settings(s *scenario.Scenario, number int) json.RawMessage {
	return DeploymentSettings(s, number, load.DefaultDeployment(s))
}

// DeploymentSettings returns the settings of one node of a scenario in a deployment.
func DeploymentSettings(s *scenario.Scenario, number int, d *load.Deployment) json.RawMessage {
	type object = map[string]any
	var classes []object
	for _, c := range d.Classes {
		o := object{"name": c.Name, "effect": effects[c.Effect], "aim_ns": c.TargetLatency, "give_up_ns": c.Deadline,
			"importance": c.Value, "key_scope": "all"}
		if c.Effect == history.Keyed {
			o["key_scope"], o["dedup_window_ns"] = scopes[c.Scope], cmp.Or(c.DedupWindow, d.Limits.KeyWindow)
		}
		classes = append(classes, o)
	}
	var zones []string
	for _, z := range s.Zones {
		zones = append(zones, z.Name)
	}
	machine, _ := clip.NewMachine("std-6")
	nodes := s.Nodes()
	balancers := len(nodes)
	if number < s.InitialNodes() { // its settings predate the nodes that join later
		balancers = s.InitialNodes()
	}
	accounts := []object{}
	if s.TenantQuota > 0 {
		accounts = append(accounts, object{"name": load.QuotaTenant, "quota_per_s": s.TenantQuota})
	}
	all := object{
		"accounts":  accounts,
		"balancers": balancers, "slot_no": number, "zone": nodes[number].Zone, "failure_domains": zones,
		"kinds": []string{"fast-6", "std-6", "slow-6"}, "family": "proxy", "tier": 0, "tiers": []string{"clip-web"},
		"caps": object{"cancel": true, "conn_idle_ns": 60e9, "connect_timeout_ns": 250e6, "cpu_us_per_s": 15000,
			"max_attempts": 4, "max_retry_after_ns": load.MaxRetryAfter, "may_duplicate": true, "most_held": 20000,
			"multiplex": 1, "peers": true, "probes": true, "retry_after": true},
		"charges": object{"cross_zone": 0.02, "waste": 0.05, "probe": 0.01, "peer": 0.01, "late_fail": 0.08,
			"connection": 0.03, "handshake": 0.03},
		"classes": classes, "client_habits": object{"marks_retry": false},
		"goal":            object{"whole": 0.6, "worst_window": 0.2, "worst_class": 0.2, "worst_tenant": 0},
		"membership_mode": "on_request", "report": object{"how": "probe", "fields": []string{"inflight", "queue"}},
		"invariants": object{"answer_slack_ns": 0, "ask_within_ns": 10e9, "cold_from": machine.ColdFraction, "cold_ns": machine.WarmupTime,
			"drain_grace_ns": d.Limits.DrainGrace, "overload_factor": d.Limits.OverloadFactor, "tip_after_ns": d.Limits.OverloadWindow},
		"over_share_worth": 0.05, "tick_ns": 5e6, "weight_kind": "nominal", "worth_by": "request",
	}
	if d.ChangeSettings != nil {
		d.ChangeSettings(all)
	}
	raw, err := json.Marshal(all)
	if err != nil {
		panic(fmt.Sprintf("nodeconf: encoding the settings: %v", err))
	}
	return raw
}

// BalancerSettings returns the settings of DeploymentSettings in decoded form.
func BalancerSettings(s *scenario.Scenario, number int, d *load.Deployment) balance.Settings {
	decoded, err := settings.Decode(DeploymentSettings(s, number, d))
	if err != nil {
		panic(fmt.Sprintf("nodeconf: decoding the encoded settings: %v", err))
	}
	return decoded
}
