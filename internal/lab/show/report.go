package show

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"ivylock/internal/lab/history"
	"ivylock/internal/lab/judge"
)

//go:embed report.html
var reportText string

var reportPage = template.Must(template.New("report").Funcs(template.FuncMap{
	"pct": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"ms":  func(d time.Duration) string { return fmt.Sprintf("%.0f ms", d.Seconds()*1000) },
}).Parse(reportText))

// Report writes a self-contained HTML page about a run. failures are the
// requirements and rules that the run did not meet.
func Report(w io.Writer, h *history.History, v *judge.Verdict, failures []string) error {
	s := NewSeries(h)
	plotter := plot{seconds: s.Seconds, faults: s.Faults}
	page := struct {
		Setup    history.Setup
		V        *judge.Verdict
		Failures []string
		Points   float64
		Plots    []renderedPlot
		Faults   []FaultInterval
	}{h.Setup, v, failures, v.Service.Penalties.Sum(), nil, s.Faults}
	value := plotter.draw("Service: worth within its aim, of the worth asked for, by second of the first try", 1, true, line{"worth", s.OnTimeValue})
	page.Plots = append(page.Plots, value, plotter.draw("Refusals a second", 0, false, line{"refused", s.Refused}))
	for _, zone := range zonesOf(h) {
		var inFlight, sent []line
		for _, server := range h.Setup.Servers {
			if server.Zone == zone {
				inFlight = append(inFlight, line{server.Name + " " + server.Kind, s.InFlight[server.Name]})
				sent = append(sent, line{server.Name + " " + server.Kind, s.Sent[server.Name]})
			}
		}
		page.Plots = append(page.Plots, plotter.draw(zone+": requests that each server holds, mean of the second", 0, false, inFlight...),
			plotter.draw(zone+": requests sent to each server a second", 0, false, sent...))
	}
	return reportPage.Execute(w, page)
}

func zonesOf(h *history.History) []string {
	var out []string
	seen := map[string]bool{}
	for _, server := range h.Setup.Servers {
		if !seen[server.Zone] {
			seen[server.Zone] = true
			out = append(out, server.Zone)
		}
	}
	return out
}

type line struct {
	name   string
	values []float64 // by second; negative: no value
}

// renderedPlot is a plot as SVG with its legend.
type renderedPlot struct {
	Title  string
	SVG    template.HTML
	Legend []legendEntry
}

type legendEntry struct{ Name, Colour string }

// plot renders lines over the time of a run and marks its faults.
type plot struct {
	seconds int
	faults  []FaultInterval
}

const (
	plotWidth, plotHeight                    = 900.0, 190.0
	plotLeft, plotRight, plotTop, plotBottom = 46.0, 8.0, 8.0, 24.0
)

// colours is the colour-blind safe palette of Okabe and Ito.
var colours = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#000000", "#8c6d31"}

// draw renders a plot; top is the end of the value axis, or 0 to fit the lines.
func (p plot) draw(title string, top float64, percent bool, lines ...line) renderedPlot {
	for _, l := range lines {
		for _, v := range l.values {
			if top != 1 || !percent {
				top = math.Max(top, v)
			}
		}
	}
	top = roundUp(top)
	x := func(second float64) float64 {
		return plotLeft + second/float64(max(1, p.seconds))*(plotWidth-plotLeft-plotRight)
	}
	y := func(v float64) float64 { return plotHeight - plotBottom - v/top*(plotHeight-plotTop-plotBottom) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, plotWidth, plotHeight, template.HTMLEscapeString(title))
	for i, f := range p.faults {
		from, to := x(f.From.Seconds()), x(f.To.Seconds())
		fmt.Fprintf(&b, `<rect class="fault" x="%.1f" y="%g" width="%.1f" height="%.1f"><title>%s</title></rect>`, from, plotTop,
			math.Max(2, to-from), plotHeight-plotTop-plotBottom, template.HTMLEscapeString(f.Text))
		fmt.Fprintf(&b, `<text class="mark" x="%.1f" y="%g">%d</text>`, from+2, plotTop+10, i+1)
	}
	for i := 0; i <= 4; i++ {
		v := top * float64(i) / 4
		label := fmt.Sprintf("%.3g", v)
		if percent {
			label = fmt.Sprintf("%.0f%%", 100*v)
		}
		fmt.Fprintf(&b, `<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/><text class="axis" text-anchor="end" x="%g" y="%.1f">%s</text>`,
			plotLeft, plotWidth-plotRight, y(v), y(v), plotLeft-5, y(v)+4, label)
	}
	step := max(1, p.seconds/10)
	for t := 0; t <= p.seconds; t += step {
		anchor := "middle"
		if t == p.seconds {
			anchor = "end"
		}
		fmt.Fprintf(&b, `<text class="axis" text-anchor="%s" x="%.1f" y="%g">%d s</text>`, anchor, x(float64(t)), plotHeight-8, t)
	}
	out := renderedPlot{Title: title}
	for i, l := range lines {
		colour := colours[i%len(colours)]
		out.Legend = append(out.Legend, legendEntry{l.name, colour})
		var path strings.Builder
		pen := "M"
		for t, v := range l.values {
			if v < 0 {
				pen = "M"
				continue
			}
			fmt.Fprintf(&path, "%s%.1f %.1f", pen, x(float64(t)+0.5), y(math.Min(v, top)))
			pen = "L"
		}
		dash := ""
		if i >= len(colours) {
			dash = ` stroke-dasharray="4 3"`
		}
		fmt.Fprintf(&b, `<path d="%s" fill="none" stroke="%s" stroke-width="1.6"%s/>`, path.String(), colour, dash)
	}
	b.WriteString("</svg>")
	out.SVG = template.HTML(b.String())
	return out
}

// roundUp rounds the end of an axis up to 1, 2, 2.5 or 5 times a power of ten.
func roundUp(v float64) float64 {
	if v <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range []float64{1, 2, 2.5, 5, 10} {
		if v <= m*unit*(1+1e-9) {
			return m * unit
		}
	}
	return 10 * unit
}
