package experiment

import (
	"bytes"
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a chart.
const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// series is one line of a chart, with error bars.
type series struct {
	plotter.XYs
	plotter.YErrors
	name string
}

// chartSeries groups cells by arm, and by nodes and retries where these differ from the first cell's.
func chartSeries(cells []Cell, value func(Cell) Interval) (all []*series) {
	byName := map[string]*series{}
	for _, c := range cells {
		name := c.Arm
		if c.Nodes != cells[0].Nodes || c.Retries != cells[0].Retries {
			name = fmt.Sprintf("%s, %d nodes, %d retries", c.Arm, c.Nodes, c.Retries)
		}
		s := byName[name]
		if s == nil {
			s = &series{name: name}
			byName[name] = s
			all = append(all, s)
		}
		v := value(c)
		s.XYs = append(s.XYs, plotter.XY{X: c.Load, Y: v.Mean})
		s.YErrors = append(s.YErrors, struct{ Low, High float64 }{v.Mean - v.Low, v.High - v.Mean})
	}
	return all
}

// drawChart plots one value of each arm against the load. It returns the chart as SVG, and as a plot for other formats.
func drawChart(cells []Cell, title, unit string, value func(Cell) Interval) (svg string, p *plot.Plot, err error) {
	p = plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "offered load, of what all cores can do", unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, s := range chartSeries(cells, value) {
		line, points, err := plotter.NewLinePoints(s.XYs)
		if err != nil {
			return "", nil, err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		bars, err := plotter.NewYErrorBars(s)
		if err != nil {
			return "", nil, err
		}
		bars.Color = plotutil.Color(i)
		p.Add(line, points, bars)
		p.Legend.Add(s.name, line, points)
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", nil, err
	}
	return b.String(), p, nil
}
