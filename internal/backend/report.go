package backend

import (
	"strconv"
	"strings"
	"time"

	"barrowscale/balance"
)

// ParseReport reads name=value pairs. What it does not know or cannot read it
// skips; with nothing left there is no report.
func ParseReport(text string) *balance.Report {
	var r balance.Report
	known := false
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v < 1e12) {
			continue
		}
		switch name {
		case "inflight":
			r.InFlight, r.HasInFlight = v, true
		case "queue":
			r.Queue, r.HasQueue = v, true
		case "util":
			r.Utilisation = v
		case "latency_ms":
			r.ServiceTime = time.Duration(v * float64(time.Millisecond))
		case "qps":
			r.Rate = v
		case "eps":
			r.ErrorRate = v
		default:
			continue
		}
		known = true
	}
	if !known {
		return nil
	}
	return &r
}
