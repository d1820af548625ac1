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

// plotSpans draws a line a process, in the colour of the version that it acted on,
// older ones darker: who was behind when is seen at a glance.
func plotSpans(spans []audit.Span, path string) error {
	if len(spans) == 0 {
		return errNothing
	}
	var lists []version.List
	from := spans[0].From
	for _, s := range spans {
		from = min(from, s.From)
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
	colours.SetMax(1.2) // not up to white, which does not show
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Versions acted on, from %s UTC", time.UnixMilli(from.Time().Milliseconds()).UTC().Format("2006-01-02 15:04:05.000"))
	p.X.Label.Text, p.Y.Label.Text = "s", "process"
	var names []plot.Tick
	for _, s := range spans {
		y := float64(s.Number)
		names = append(names, plot.Tick{Value: y, Label: s.Process})
		l, err := plotter.NewLine(plotter.XYs{{X: s.From.Sub(from).Seconds(), Y: y}, {X: max(s.Until, s.From).Sub(from).Seconds(), Y: y}})
		if err != nil {
			return err
		}
		at := slices.Index(lists, s.Version.List)
		c, err := colours.At(float64(at+1) / float64(len(lists)+1))
		if err != nil {
			return err
		}
		l.Color, l.Width = c, vg.Points(5)
		p.Add(l)
	}
	p.Y.Tick.Marker = plot.ConstantTicks(names)
	height := max(8, min(60, 1.0+0.5*float64(len(names))))
	return p.Save(24*vg.Centimeter, vg.Length(height)*vg.Centimeter, path)
}
