// Package settings decodes the settings object that a deployment gives each node into the form of
// the decision module, both for the node's configuration and for the simulator's protocol.
// docs/settings.md describes each field. It does no I/O.
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

// Error describes an error in the settings on one line.
type Error struct {
	Field string // path of the field in the object; empty: the object itself
	Text  string // what is wrong and how to fix it
}

func (e *Error) Error() string {
	if e.Field == "" {
		return e.Text
	}
	return e.Field + ": " + e.Text
}

// newError returns an error with the formatted text on one line.
func newError(field, format string, args ...any) *Error {
	return &Error{Field: field, Text: strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", " ")}
}

// Durations in the object; the unit is in the name of the field. Any JSON number is accepted.
type (
	nanos  float64
	micros float64
)

// maxDuration is the longest duration; longer ones are reduced to it.
const maxDuration = 100 * 365 * 24 * time.Hour

func (n nanos) time() time.Duration {
	return time.Duration(math.Min(float64(n), float64(maxDuration)))
}

func (m micros) time() time.Duration { return nanos(m * 1000).time() }

// wholeNumber may be written as 2e4; values above the largest int32 are reduced to it.
type wholeNumber float64

func (c wholeNumber) int() int { return int(math.Min(float64(c), math.MaxInt32)) }

// rawSettings is the settings object. Unknown fields are ignored, as deployments have more than
// these.
type rawSettings struct {
	Accounts []struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota_per_s"`
		Fraction float64 `json:"fraction"`
	} `json:"accounts"`
	Balancers wholeNumber `json:"balancers"`
	Caps      struct {
		Cancel         bool        `json:"cancel"`
		ConnIdle       nanos       `json:"conn_idle_ns"`
		ConnectTimeout nanos       `json:"connect_timeout_ns"`
		CPUPerRequest  micros      `json:"cpu_us_per_request"`
		CPUPerSecond   micros      `json:"cpu_us_per_s"`
		MaxAttempts    wholeNumber `json:"max_attempts"`
		MaxRetryAfter  nanos       `json:"max_retry_after_ns"`
		MayDuplicate   bool        `json:"may_duplicate"`
		MostHeld       wholeNumber `json:"most_held"`
		Multiplex      wholeNumber `json:"multiplex"`
		Peers          bool        `json:"peers"`
		Probes         bool        `json:"probes"`
		RetryAfter     bool        `json:"retry_after"`
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
	Slot      wholeNumber `json:"slot_no"`
	Specifics struct {
		PassesDeadline bool `json:"passes_deadline"`
		WarmKeys       bool `json:"warm_keys"`
	} `json:"specifics"`
	Tick       nanos       `json:"tick_ns"`
	Tier       wholeNumber `json:"tier"`
	Tiers      []string    `json:"tiers"`
	WeightKind string      `json:"weight_kind"`
	WorthBy    string      `json:"worth_by"`
	Zone       string      `json:"zone"`
}

// Values of enumerated fields. An unknown value is an error if a rule depends on it; otherwise a
// neutral default is used.
var (
	effects          = map[string]balance.Effect{"retryable": balance.Safe, "dedup": balance.Keyed, "fragile": balance.Unsafe}
	keyScopes        = map[string]balance.Scope{"cell": balance.ScopeCell, "zone": balance.ScopeZone, "all": balance.ScopeAll}
	reportSources    = map[string]balance.ReportSource{"none": balance.NoReports, "probe": balance.ReportsFromProbes, "answers": balance.ReportsFromAnswers}
	membershipModes  = map[string]bool{"on_request": true, "pushed": false} // whether the list must be requested
	knownWeightKinds = []string{"nominal", "rough", "live"}
)

// Decode decodes the settings object. Its errors are of type *Error.
func Decode(raw json.RawMessage) (balance.Settings, error) {
	var obj rawSettings
	if err := json.Unmarshal(raw, &obj); err != nil {
		return balance.Settings{}, explainJSONError(raw, err)
	}
	if e := findNegative(reflect.ValueOf(obj), ""); e != nil {
		return balance.Settings{}, e
	}
	decoded := balance.Settings{Nodes: max(1, obj.Balancers.int(), obj.Slot.int()+1), Self: obj.Slot.int(), Zone: obj.Zone, Zones: obj.Domains, Kinds: obj.Kinds,
		MaxAttempts: obj.Caps.MaxAttempts.int(), MayOverlap: obj.Caps.MayDuplicate, MayCancel: obj.Caps.Cancel,
		MayProbe: obj.Caps.Probes, MayMessage: obj.Caps.Peers, RetryAfterSupported: obj.Caps.RetryAfter,
		MaxRetryAfter: obj.Caps.MaxRetryAfter.time(), RetriesMarked: obj.Habits.MarksRetry,
		ConnectTimeout: obj.Caps.ConnectTimeout.time(), MinTick: obj.Tick.time(),
		ListOnDemand: membershipModes[obj.Membership], SizeKnown: slices.Contains(knownWeightKinds, obj.WeightKind),
		SizeLive: obj.WeightKind == "live", OverQuotaValueFactor: obj.OverShare, ValuePerWork: obj.WorthBy == "work",
		ReportSource: reportSources[obj.Report.How], ReportFields: obj.Report.Fields,
		AnswerGrace: obj.Invariants.AnswerSlack.time(), ListPollInterval: obj.Invariants.AskWithin.time(),
		DrainGrace: obj.Invariants.DrainGrace.time(), WarmupStartFraction: math.Min(1, obj.Invariants.ColdFrom),
		WarmupTime: obj.Invariants.Cold.time(), OverloadFactor: obj.Invariants.OverloadFactor,
		OverloadTime: obj.Invariants.TipAfter.time(), Family: obj.Family, Tier: obj.Tier.int(), Tiers: obj.Tiers,
		KeyLocality: obj.Specifics.WarmKeys, DeadlinePropagated: obj.Specifics.PassesDeadline,
		StreamsPerConn: obj.Caps.Multiplex.int(), ConnIdleTimeout: obj.Caps.ConnIdle.time(), MaxOpenRequests: obj.Caps.MostHeld.int(),
		CPUPerSecond: obj.Caps.CPUPerSecond.time(), CPUPerRequest: obj.Caps.CPUPerRequest.time(),
		ScoreWeights: balance.ScoreWeights{Overall: obj.Goal.Whole, WorstWindow: obj.Goal.WorstWindow, WorstClass: obj.Goal.WorstClass,
			WorstTenant: obj.Goal.WorstTenant},
		Penalties: balance.Penalties{Connection: obj.Charges.Connection, Handshake: obj.Charges.Handshake,
			CrossZone: obj.Charges.CrossZone, WastedWork: obj.Charges.Waste, LateFailure: obj.Charges.LateFail,
			Probe: obj.Charges.Probe, Message: obj.Charges.Peer, Moves: obj.Charges.Moves, Origin: obj.Charges.Origin,
			ListLines: obj.Charges.Lines, Fleet: obj.Charges.Fleet}}
	for i, class := range obj.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		effect, ok := effects[class.Effect]
		if !ok {
			return balance.Settings{}, newError(path+".effect", "%q of class %q; write retryable, dedup or fragile", class.Effect, class.Name)
		}
		scope, ok := keyScopes[class.KeyScope]
		if !ok && effect == balance.Keyed {
			return balance.Settings{}, newError(path+".key_scope", "%q of class %q; write all, zone or cell", class.KeyScope, class.Name)
		}
		if slices.ContainsFunc(decoded.Classes, func(other balance.Class) bool { return other.Name == class.Name }) {
			return balance.Settings{}, newError(path+".name", "%q is used twice; give each class its own name", class.Name)
		}
		decoded.Classes = append(decoded.Classes, balance.Class{Name: class.Name, Value: class.Importance, TargetLatency: class.Aim.time(),
			TargetWorkFactor: class.AimStretch, Deadline: class.GiveUp.time(), LateValueFraction: class.LateWorth, Effect: effect,
			KeyScope: scope, DedupWindow: class.Dedup.time(), Streamed: class.Streamed})
	}
	for _, account := range obj.Accounts {
		decoded.Tenants = append(decoded.Tenants, balance.Tenant{Name: account.Name, Quota: account.Quota, Share: account.Fraction})
	}
	return decoded, nil
}

// DecodeForNode decodes the object for a real node, which requires fields that the simulator may
// omit. Its errors are of type *Error.
func DecodeForNode(raw json.RawMessage) (balance.Settings, error) {
	decoded, err := Decode(raw)
	if err != nil {
		return decoded, err
	}
	for _, required := range []struct {
		field string
		have  int64
	}{{"classes", int64(len(decoded.Classes))}, {"caps.connect_timeout_ns", int64(decoded.ConnectTimeout)}, {"caps.conn_idle_ns", int64(decoded.ConnIdleTimeout)},
		{"caps.max_attempts", int64(decoded.MaxAttempts)}, {"caps.most_held", int64(decoded.MaxOpenRequests)}} {
		if required.have <= 0 {
			return decoded, newError(required.field, "missing or not above 0; write a value above 0")
		}
	}
	var mode struct {
		Membership string `json:"membership_mode"`
	}
	if err := json.Unmarshal(raw, &mode); err != nil {
		return decoded, explainJSONError(raw, err)
	}
	// With a wrong default a draining server could receive requests for too long.
	if _, known := membershipModes[mode.Membership]; !known {
		return decoded, newError("membership_mode", "%q; write on_request or pushed", mode.Membership)
	}
	decoded.MaxProcessPause = guard.MaxProcessPause // the simulator writes at the moment of the decision
	return decoded, nil
}

// explainJSONError adds the location to an error of encoding/json.
func explainJSONError(raw []byte, err error) *Error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		before := raw[:min(int(syntaxErr.Offset), len(raw))]
		return newError("", "line %d: %v; write valid JSON", 1+strings.Count(string(before), "\n"), err)
	case errors.As(err, &typeErr):
		expected := "a number"
		switch typeErr.Type.Kind() {
		case reflect.String:
			expected = "a string"
		case reflect.Bool:
			expected = "true or false"
		case reflect.Struct:
			expected = "an object"
		case reflect.Slice:
			expected = "an array"
		}
		return newError(typeErr.Field, "is a JSON %s; write %s", typeErr.Value, expected)
	}
	return newError("", "%v; correct it", err)
}

// findNegative returns an error for the first negative number: none is valid anywhere.
func findNegative(value reflect.Value, path string) *Error {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name := value.Type().Field(i).Tag.Get("json")
			if e := findNegative(value.Field(i), strings.Trim(path+"."+name, ".")); e != nil {
				return e
			}
		}
	case reflect.Slice:
		for i := range value.Len() {
			if e := findNegative(value.Index(i), fmt.Sprintf("%s[%d]", path, i)); e != nil {
				return e
			}
		}
	case reflect.Float64:
		if value.Float() < 0 {
			return newError(path, "%v; write a number of at least 0", value.Float())
		}
	}
	return nil
}
