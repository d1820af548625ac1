// Package settings reads the settings object that a deployment gives each node: once, for
// the node's configuration and for the simulator's wire alike, into the decision module's
// form. docs/settings.md has a row for each field. It does no I/O.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"ivylock/balance"
	"ivylock/guard"
)

// Error is what is wrong with settings, on one line.
type Error struct {
	Field string // its place in the object; empty: the whole of it
	Text  string // what is wrong and the fix
}

func (e *Error) Error() string {
	if e.Field == "" {
		return e.Text
	}
	return e.Field + ": " + e.Text
}

func fault(field, format string, args ...any) *Error {
	return &Error{Field: field, Text: strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")}
}

// Numbers as the object has them. A duration may be written as any number; the unit is in
// its name.
type (
	nanos  float64
	micros float64
)

// most is the longest time that is told from a longer one: what is above counts as it.
const most = 100 * 365 * 24 * time.Hour

func (n nanos) time() time.Duration {
	return time.Duration(math.Min(float64(n), float64(most)))
}

func (m micros) time() time.Duration { return nanos(m * 1000).time() }

// count is a whole number, which may be written as 2e4; what no machine counts to is cut.
type count float64

func (c count) int() int { return int(math.Min(float64(c), math.MaxInt32)) }

// form is the object. Fields that it does not have are passed over: deployments have more
// than these.
type form struct {
	Accounts []struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota_per_s"`
		Fraction float64 `json:"fraction"`
	} `json:"accounts"`
	Balancers count `json:"balancers"`
	Caps      struct {
		Cancel         bool   `json:"cancel"`
		ConnIdle       nanos  `json:"conn_idle_ns"`
		ConnectTimeout nanos  `json:"connect_timeout_ns"`
		CPUPerRequest  micros `json:"cpu_us_per_request"`
		CPUPerSecond   micros `json:"cpu_us_per_s"`
		MaxAttempts    count  `json:"max_attempts"`
		MaxRetryAfter  nanos  `json:"max_retry_after_ns"`
		MayDuplicate   bool   `json:"may_duplicate"`
		MostHeld       count  `json:"most_held"`
		Multiplex      count  `json:"multiplex"`
		Peers          bool   `json:"peers"`
		Probes         bool   `json:"probes"`
		RetryAfter     bool   `json:"retry_after"`
	} `json:"caps"`
	Charges struct {
		Connection float64 `json:"connection"`
		CrossZone  float64 `json:"cross_zone"`
		Fleet      float64 `json:"fleet"`
		Handshake  float64 `json:"handshake"`
		LateFail   float64 `json:"late_fail"`
		Lines      float64 `json:"membership_mode"`
		Moves      float64 `json:"moves"`
		Origin     float64 `json:"origin"`
		Peer       float64 `json:"peer"`
		Probe      float64 `json:"probe"`
		Waste      float64 `json:"waste"`
	} `json:"charges"`
	Classes []struct {
		Aim        nanos   `json:"aim_ns"`
		AimStretch float64 `json:"aim_stretch"`
		Dedup      nanos   `json:"dedup_window_ns"`
		Effect     string  `json:"effect"`
		GiveUp     nanos   `json:"give_up_ns"`
		Importance float64 `json:"importance"`
		KeyScope   string  `json:"key_scope"`
		LateWorth  float64 `json:"late_worth"`
		Name       string  `json:"name"`
		Streamed   bool    `json:"streamed"`
	} `json:"classes"`
	Habits struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Domains []string `json:"failure_domains"`
	Family  string   `json:"family"`
	Goal    struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		WorstWindow float64 `json:"worst_window"`
	} `json:"goal"`
	Invariants struct {
		AnswerSlack    nanos   `json:"answer_slack_ns"`
		AskWithin      nanos   `json:"ask_within_ns"`
		ColdFrom       float64 `json:"cold_from"`
		Cold           nanos   `json:"cold_ns"`
		DrainGrace     nanos   `json:"drain_grace_ns"`
		OverloadFactor float64 `json:"overload_factor"`
		TipAfter       nanos   `json:"tip_after_ns"`
	} `json:"invariants"`
	Kinds      []string `json:"kinds"`
	Membership string   `json:"membership_mode"`
	OverShare  float64  `json:"over_share_worth"`
	Report     struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"report"`
	Slot      count `json:"slot_no"`
	Specifics struct {
		PassesDeadline bool `json:"passes_deadline"`
		WarmKeys       bool `json:"warm_keys"`
	} `json:"specifics"`
	Tick       nanos    `json:"tick_ns"`
	Tier       count    `json:"tier"`
	Tiers      []string `json:"tiers"`
	WeightKind string   `json:"weight_kind"`
	WorthBy    string   `json:"worth_by"`
	Zone       string   `json:"zone"`
}

// The words that the object may hold; a word that is not here is an error where a rule
// rests on it, else the neutral one.
var (
	effects    = map[string]balance.Effect{"retryable": balance.Safe, "dedup": balance.Keyed, "fragile": balance.Unsafe}
	scopes     = map[string]balance.Scope{"cell": balance.ScopeCell, "zone": balance.ScopeZone, "all": balance.ScopeAll}
	reportVias = map[string]balance.ReportSource{"none": balance.NoReports, "probe": balance.ReportsFromProbes, "answers": balance.ReportsFromAnswers}
	modes      = map[string]bool{"on_request": true, "pushed": false} // whether the list is asked for
	sizes      = []string{"nominal", "rough", "live"}
)

// Decode reads the object. Its errors are of type *Error.
func Decode(raw json.RawMessage) (balance.Settings, error) {
	var f form
	if err := json.Unmarshal(raw, &f); err != nil {
		return balance.Settings{}, explain(raw, err)
	}
	if e := negative(reflect.ValueOf(f), ""); e != nil {
		return balance.Settings{}, e
	}
	s := balance.Settings{Nodes: max(1, f.Balancers.int(), f.Slot.int()+1), Self: f.Slot.int(), Zone: f.Zone, Zones: f.Domains, Kinds: f.Kinds,
		MaxAttempts: f.Caps.MaxAttempts.int(), MayOverlap: f.Caps.MayDuplicate, MayCancel: f.Caps.Cancel,
		MayProbe: f.Caps.Probes, MayMessage: f.Caps.Peers, RetryAfterSupported: f.Caps.RetryAfter,
		MaxRetryAfter: f.Caps.MaxRetryAfter.time(), RetriesMarked: f.Habits.MarksRetry,
		ConnectTimeout: f.Caps.ConnectTimeout.time(), MinTick: f.Tick.time(),
		ListOnDemand: modes[f.Membership], SizeKnown: slices.Contains(sizes, f.WeightKind),
		SizeLive: f.WeightKind == "live", OverQuotaValueFactor: f.OverShare, ValuePerWork: f.WorthBy == "work",
		ReportSource: reportVias[f.Report.How], ReportFields: f.Report.Fields,
		AnswerGrace: f.Invariants.AnswerSlack.time(), ListPollInterval: f.Invariants.AskWithin.time(),
		DrainGrace: f.Invariants.DrainGrace.time(), WarmupStartFraction: math.Min(1, f.Invariants.ColdFrom),
		WarmupTime: f.Invariants.Cold.time(), OverloadFactor: f.Invariants.OverloadFactor,
		OverloadTime: f.Invariants.TipAfter.time(), Family: f.Family, Tier: f.Tier.int(), Tiers: f.Tiers,
		KeyLocality: f.Specifics.WarmKeys, DeadlinePropagated: f.Specifics.PassesDeadline,
		StreamsPerConn: f.Caps.Multiplex.int(), ConnIdleTimeout: f.Caps.ConnIdle.time(), MaxOpenRequests: f.Caps.MostHeld.int(),
		CPUPerSecond: f.Caps.CPUPerSecond.time(), CPUPerRequest: f.Caps.CPUPerRequest.time(),
		ScoreWeights: balance.ScoreWeights{Overall: f.Goal.Whole, WorstWindow: f.Goal.WorstWindow, WorstClass: f.Goal.WorstClass,
			WorstTenant: f.Goal.WorstTenant},
		Penalties: balance.Penalties{Connection: f.Charges.Connection, Handshake: f.Charges.Handshake,
			CrossZone: f.Charges.CrossZone, WastedWork: f.Charges.Waste, LateFailure: f.Charges.LateFail,
			Probe: f.Charges.Probe, Message: f.Charges.Peer, Moves: f.Charges.Moves, Origin: f.Charges.Origin,
			ListLines: f.Charges.Lines, Fleet: f.Charges.Fleet}}
	for i, c := range f.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		effect, ok := effects[c.Effect]
		if !ok {
			return balance.Settings{}, fault(at+".effect", "%q of class %q; write retryable, dedup or fragile", c.Effect, c.Name)
		}
		scope, ok := scopes[c.KeyScope]
		if !ok && effect == balance.Keyed {
			return balance.Settings{}, fault(at+".key_scope", "%q of class %q; write all, zone or cell", c.KeyScope, c.Name)
		}
		if slices.ContainsFunc(s.Classes, func(o balance.Class) bool { return o.Name == c.Name }) {
			return balance.Settings{}, fault(at+".name", "%q stands twice; give each class a name of its own", c.Name)
		}
		s.Classes = append(s.Classes, balance.Class{Name: c.Name, Value: c.Importance, TargetLatency: c.Aim.time(),
			TargetWorkFactor: c.AimStretch, Deadline: c.GiveUp.time(), LateValueFraction: c.LateWorth, Effect: effect,
			KeyScope: scope, DedupWindow: c.Dedup.time(), Streamed: c.Streamed})
	}
	for _, t := range f.Accounts {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: t.Name, Quota: t.Quota, Share: t.Fraction})
	}
	return s, nil
}

// DecodeForNode reads the object for a real node, which needs some of it: what the simulator may
// leave out. Its errors are of type *Error.
func DecodeForNode(raw json.RawMessage) (balance.Settings, error) {
	s, err := Decode(raw)
	if err != nil {
		return s, err
	}
	for _, f := range []struct {
		field string
		have  int64
	}{{"classes", int64(len(s.Classes))}, {"caps.connect_timeout_ns", int64(s.ConnectTimeout)}, {"caps.conn_idle_ns", int64(s.ConnIdleTimeout)},
		{"caps.max_attempts", int64(s.MaxAttempts)}, {"caps.most_held", int64(s.MaxOpenRequests)}} {
		if f.have <= 0 {
			return s, fault(f.field, "missing or not above 0; write one that is")
		}
	}
	var mode struct {
		Membership string `json:"membership_mode"`
	}
	if err := json.Unmarshal(raw, &mode); err != nil {
		return s, explain(raw, err)
	}
	if _, known := modes[mode.Membership]; !known { // a wrong guess breaks the rule on drains
		return s, fault("membership_mode", "%q; write on_request or pushed", mode.Membership)
	}
	s.MaxProcessPause = guard.MaxProcessPause // the simulator writes in the moment of the choice
	return s, nil
}

// explain words an error of encoding/json with its place.
func explain(raw []byte, err error) *Error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		before := raw[:min(int(syntax.Offset), len(raw))]
		return fault("", "line %d: %v; write valid JSON", 1+strings.Count(string(before), "\n"), err)
	case errors.As(err, &kind):
		word := "a number"
		switch kind.Type.Kind() {
		case reflect.String:
			word = "a text"
		case reflect.Bool:
			word = "true or false"
		case reflect.Struct:
			word = "an object"
		case reflect.Slice:
			word = "an array"
		}
		return fault(kind.Field, "is a JSON %s; write %s", kind.Value, word)
	}
	return fault("", "%v; correct it", err)
}

// negative finds a number under 0: there is no use for one anywhere.
func negative(v reflect.Value, at string) *Error {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Field(i).Tag.Get("json")
			if e := negative(v.Field(i), strings.Trim(at+"."+name, ".")); e != nil {
				return e
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if e := negative(v.Index(i), fmt.Sprintf("%s[%d]", at, i)); e != nil {
				return e
			}
		}
	case reflect.Float64:
		if v.Float() < 0 {
			return fault(at, "%v; write a number of at least 0", v.Float())
		}
	}
	return nil
}
