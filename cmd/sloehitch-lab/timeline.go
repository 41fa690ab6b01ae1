package main

import (
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"sloehitch/internal/testing/fleetrig"
)

// timeline draws the spans of leases, leaders, drains and faults, in one row for each name, to a file whose extension is the format (svg,
// png, pdf).
func timeline(spans []fleetrig.Span, title, file string) error {
	colours := map[string]color.Color{"duty": color.RGBA{R: 31, G: 119, B: 180, A: 255}, "lead": color.RGBA{R: 44, G: 160, B: 44, A: 255}, "fault": color.RGBA{R: 214, G: 39, B: 40, A: 255},
		"out": color.RGBA{R: 255, G: 127, B: 14, A: 255}, "back": color.RGBA{R: 255, G: 187, B: 120, A: 255}, "release": color.RGBA{R: 148, G: 103, B: 189, A: 255}}
	var rows []string
	for _, s := range slices.Backward(spans) { // from the last, so that the first row is on top
		if !slices.Contains(rows, s.Row) {
			rows = append(rows, s.Row)
		}
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, "s"
	for _, s := range spans {
		y := float64(slices.Index(rows, s.Row))
		bar, err := plotter.NewLine(plotter.XYs{{X: s.From.Seconds(), Y: y}, {X: max(s.To.Seconds(), s.From.Seconds()+0.02), Y: y}})
		if err != nil {
			return err
		}
		bar.Color, bar.Width = colours[s.Kind], vg.Points(6)
		p.Add(bar)
	}
	p.NominalY(rows...)
	return p.Save(20*vg.Centimeter, vg.Length(len(rows)+4)*0.5*vg.Centimeter, file)
}
