package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Figure is one plot: a value against the load, with a line and 95% intervals over
// seeds for each policy.
type Figure struct {
	Title string
	SVG   []byte
}

// value is a column of the rows that is plotted.
type value struct {
	name string
	of   func(Row) float64
}

var plottedValues = []value{
	{"service measure", func(r Row) float64 { return r.Measure }},
	{"worst 10 s", func(r Row) float64 { return r.WorstWindow }},
	{"p99 of broadcast clips, ms", func(r Row) float64 { return r.P99["broadcast-clip"] }},
}

// Figures plots each value for each size and fault.
func Figures(rows []Row) ([]Figure, error) {
	type key struct{ size, fault string }
	groups := map[key][]Row{}
	var order []key
	for _, r := range rows {
		k := key{fmt.Sprintf("%d servers, %d proxies", r.Servers, r.Proxies), string(r.Fault)}
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	var out []Figure
	for _, k := range order {
		for _, v := range plottedValues {
			title := fmt.Sprintf("%s: %s, %s", v.name, k.size, k.fault)
			svg, err := figure(title, v, groups[k])
			if err != nil {
				return nil, err
			}
			out = append(out, Figure{title, svg})
		}
	}
	return out, nil
}

// points are the means that a line connects, with their confidence intervals.
type points struct {
	plotter.XYs
	plotter.YErrors
}

func figure(title string, v value, rows []Row) ([]byte, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "load, in parts of what the servers can do", v.name
	p.Legend.Top, p.Legend.Left = false, true
	p.Add(plotter.NewGrid())
	var policies []string
	values := map[string]map[float64][]float64{}
	for _, r := range rows {
		policy := string(r.Policy)
		if values[policy] == nil {
			values[policy] = map[float64][]float64{}
			policies = append(policies, policy)
		}
		values[policy][r.Load] = append(values[policy][r.Load], v.of(r))
	}
	for i, policy := range policies {
		var loads []float64
		for load := range values[policy] {
			loads = append(loads, load)
		}
		sort.Float64s(loads)
		var pts points
		for _, load := range loads {
			m := MeanOf(values[policy][load])
			pts.XYs = append(pts.XYs, plotter.XY{X: load, Y: m.Mean})
			pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{m.HalfWidth, m.HalfWidth})
		}
		line, dots, err := plotter.NewLinePoints(pts.XYs)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", title, err)
		}
		bars, err := plotter.NewYErrorBars(pts)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", title, err)
		}
		var lineColor color.Color = plotutil.Color(i)
		line.Color, dots.Color, bars.Color = lineColor, lineColor, lineColor
		line.Dashes, dots.Shape = plotutil.Dashes(i/7), plotutil.Shape(i)
		p.Add(line, dots, bars)
		p.Legend.Add(policy, line, dots)
	}
	canvas := vgsvg.New(16*vg.Centimeter, 10*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("%s: %w", title, err)
	}
	return out.Bytes(), nil
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 80em; margin: 2em auto; padding: 0 1em; color: #222; background: #fff }
table { border-collapse: collapse } td, th { border: 1px solid #bbb; padding: .2em .6em; text-align: right }
td:first-child, th:first-child { text-align: left } .bad { color: #a00 } figure { display: inline-block; margin: 1em 0 }
</style></head><body>
<h1>{{.Title}}</h1>
<p>{{.Rows}} days. Means over seeds with their 95% intervals (Student's t). In red: broken rules.</p>
<table><tr><th>day</th>{{range .Ways}}<th>{{.}}</th>{{end}}</tr>
{{range .Lines}}<tr><td>{{.Day}}</td>{{range .Cells}}<td>{{.Text}}{{if .Bad}} <span class="bad">{{.Bad}} broken</span>{{end}}</td>{{end}}</tr>
{{end}}</table>
{{range .Figures}}<figure>{{.}}</figure>
{{end}}</body></html>
`))

// Report writes one HTML page with the table and all figures.
func Report(w io.Writer, title string, rows []Row) error {
	figures, err := Figures(rows)
	if err != nil {
		return err
	}
	type cell struct {
		Text string
		Bad  int
	}
	type line struct {
		Day   string
		Cells []cell
	}
	data := struct {
		Title   string
		Rows    int
		Ways    []string
		Lines   []line
		Figures []template.HTML
	}{Title: title, Rows: len(rows)}
	groups := Groups(rows)
	for _, g := range groups {
		if !slices.Contains(data.Ways, string(g.Policy)) {
			data.Ways = append(data.Ways, string(g.Policy))
		}
	}
	lines := map[string]int{}
	for _, g := range groups {
		_, workload, _ := strings.Cut(g.GroupKey(), " ")
		i, known := lines[workload]
		if !known {
			i = len(data.Lines)
			lines[workload] = i
			data.Lines = append(data.Lines, line{workload, make([]cell, len(data.Ways))})
		}
		data.Lines[i].Cells[slices.Index(data.Ways, string(g.Policy))] = cell{
			fmt.Sprintf("%.3f ± %.3f", g.Measure.Mean, g.Measure.HalfWidth), g.Breaches[1] + g.Breaches[2] + g.Breaches[3] + g.Breaches[4]}
	}
	for _, f := range figures {
		_, svg, _ := strings.Cut(string(f.SVG), "<svg") // without the XML declaration
		// The SVG is trusted: from the rows it contains only numbers and validated names.
		data.Figures = append(data.Figures, template.HTML("<svg"+svg))
	}
	return page.Execute(w, data)
}
