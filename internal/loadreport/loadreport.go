// Package loadreport reads servers' accounts of their own load. Their values
// go by the names of the settings (report.fields: active, waiting), or by those
// of the protocol page (inflight, queue): deployments differ in it, and a name
// that is not known leaves a node blind without a word.
package loadreport

import (
	"strconv"
	"strings"
	"time"

	"ivylock/balance"
)

// setters is what each name sets.
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

// Known tells whether a name is one that reports are read by.
func Known(name string) bool { return setters[name] != nil }

// Builder puts a report together.
type Builder struct {
	r     balance.Report
	known bool
}

// Add takes one value. What it does not know, or can not be, it skips.
func (r *Builder) Add(name, value string) {
	v, err := strconv.ParseFloat(value, 64)
	if set := setters[name]; set != nil && err == nil && v >= 0 && v < 1e12 {
		set(&r.r, v)
		r.known = true
	}
}

// Report gives the report; nil if no value was taken.
func (r *Builder) Report() *balance.Report {
	if !r.known {
		return nil
	}
	return &r.r
}

// Parse reads name=value pairs, as servers write them on sockets.
func Parse(text string) *balance.Report {
	if text == "" {
		return nil
	}
	var r Builder
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		r.Add(name, value)
	}
	return r.Report()
}
