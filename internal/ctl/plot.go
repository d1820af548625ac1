package ctl

import (
	"fmt"
	"slices"
	"time"

	"ivylock/fleet/audit"
	"ivylock/fleet/version"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plotSpans draws one horizontal line per process over time into a file. The
// colour shows the version that the process acted on; older versions are darker.
func plotSpans(spans []audit.Span, path string) error {
	if len(spans) == 0 {
		return errNoRecords
	}
	var lists []version.List
	start := spans[0].From
	for _, s := range spans {
		start = min(start, s.From)
		if v := s.Version.List; !slices.Contains(lists, v) {
			lists = append(lists, v)
		}
	}
	slices.SortFunc(lists, func(x, y version.List) int {
		switch x.CompareGeneration(y) {
		case version.Older:
			return -1
		case version.Newer:
			return 1
		}
		return int(x.Digest) - int(y.Digest)
	})
	colours := moreland.Kindlmann()
	colours.SetMax(1.2) // leaves out white, which is invisible on the background
	plt := plot.New()
	plt.Title.Text = fmt.Sprintf("Versions acted on, from %s UTC", time.UnixMilli(start.Time().Milliseconds()).UTC().Format("2006-01-02 15:04:05.000"))
	plt.X.Label.Text, plt.Y.Label.Text = "s", "process"
	var ticks []plot.Tick
	for _, s := range spans {
		y := float64(s.Number)
		ticks = append(ticks, plot.Tick{Value: y, Label: s.Process})
		line, err := plotter.NewLine(plotter.XYs{{X: s.From.Sub(start).Seconds(), Y: y}, {X: max(s.Until, s.From).Sub(start).Seconds(), Y: y}})
		if err != nil {
			return err
		}
		index := slices.Index(lists, s.Version.List)
		c, err := colours.At(float64(index+1) / float64(len(lists)+1))
		if err != nil {
			return err
		}
		line.Color, line.Width = c, vg.Points(5)
		plt.Add(line)
	}
	plt.Y.Tick.Marker = plot.ConstantTicks(ticks)
	height := max(8, min(60, 1.0+0.5*float64(len(ticks))))
	return plt.Save(24*vg.Centimeter, vg.Length(height)*vg.Centimeter, path)
}
