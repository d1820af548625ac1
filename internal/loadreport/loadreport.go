// Package loadreport parses the load reports of servers. It accepts both naming schemes for
// their fields, since deployments use either one: those of the settings (report.fields:
// active, waiting) and those of the protocol (inflight, queue).
package loadreport

import (
	"strconv"
	"strings"
	"time"

	"ivylock/balance"
)

// setters maps field names to the functions that set them.
var setters = map[string]func(*balance.Report, float64){}

func init() {
	for names, set := range map[[2]string]func(*balance.Report, float64){
		{"inflight", "active"}:   func(r *balance.Report, v float64) { r.InFlight, r.HasInFlight = v, true },
		{"queue", "waiting"}:     func(r *balance.Report, v float64) { r.Queue, r.HasQueue = v, true },
		{"util", "cpu"}:          func(r *balance.Report, v float64) { r.Utilisation = v },
		{"latency_ms", "avg_ms"}: func(r *balance.Report, v float64) { r.ServiceTime = time.Duration(v * float64(time.Millisecond)) },
		{"qps", "rps"}:           func(r *balance.Report, v float64) { r.Rate = v },
		{"eps", "err_rps"}:       func(r *balance.Report, v float64) { r.ErrorRate = v },
	} {
		setters[names[0]], setters[names[1]] = set, set
	}
}

// Known reports whether a field name is recognised.
func Known(name string) bool { return setters[name] != nil }

// Builder collects the fields of a report.
type Builder struct {
	report balance.Report
	known  bool
}

// Add sets one field. Unknown names are ignored, and so are values that are not numbers,
// negative or at least 1e12.
func (b *Builder) Add(name, value string) {
	v, err := strconv.ParseFloat(value, 64)
	if set := setters[name]; set != nil && err == nil && v >= 0 && v < 1e12 {
		set(&b.report, v)
		b.known = true
	}
}

// Report returns the report, or nil if no field was set.
func (b *Builder) Report() *balance.Report {
	if !b.known {
		return nil
	}
	return &b.report
}

// Parse parses comma-separated name=value pairs. It returns nil if no field is known.
func Parse(text string) *balance.Report {
	if text == "" {
		return nil
	}
	var b Builder
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		b.Add(name, value)
	}
	return b.Report()
}
