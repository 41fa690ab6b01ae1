package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"html/template"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Interval is a mean over seeds and where it lies with 95%.
type Interval struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// bootstrapResamples of a bootstrap: enough that an interval's ends are steady to a hundredth of its width.
const bootstrapResamples = 2000

// Bootstrap is the mean of values and its percentile bootstrap interval (Efron and Tibshirani, An Introduction to the
// Bootstrap, 13.3). The same values give the same interval.
func Bootstrap(values []float64) Interval {
	if len(values) == 0 {
		return Interval{}
	}
	r := rand.New(rand.NewPCG(1, 2))
	means := make([]float64, bootstrapResamples)
	for i := range means {
		sum := 0.0
		for range values {
			sum += values[r.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	return Interval{stat.Mean(values, nil), stat.Quantile(0.025, stat.Empirical, means, nil), stat.Quantile(0.975, stat.Empirical, means, nil)}
}

// Cell is what an arm comes to at a point.
type Cell struct {
	Arm        string          `json:"arm"`
	Load       float64         `json:"load"`
	Nodes      int             `json:"nodes"`
	Retries    int             `json:"retries"`
	Goodput    Interval        `json:"goodput"`           // worth answered in time over worth offered
	Difference *Interval       `json:"against,omitempty"` // its goodput less the first arm's, seed by seed
	P99        Interval        `json:"p99_ms"`            // of the worst class
	Rejected   Interval        `json:"refused"`           // share of requests
	Release    *ReleaseSummary `json:"release,omitempty"` // where one went through

	goodput map[uint64]float64
}

// ReleaseSummary is what became of a release.
type ReleaseSummary struct {
	NodesChanged   Interval `json:"changed"`  // nodes that run the new version at the end
	MaxUnavailable Interval `json:"most_out"` // nodes that were out of service or cold at once
	Seconds        Interval `json:"took_s"`   // seconds until it was over or halted by itself, in those seeds where it was
	EndedSeeds     int      `json:"ended"`    // seeds
	HaltedSeeds    int      `json:"halted"`   // and of these, where it halted by itself
}

func (c Cell) point() Point { return Point{c.Load, c.Nodes, c.Retries} }

// Summarize sums rows up, in the order in which arms and points come.
func Summarize(rows []Row) (cells []Cell) {
	type key struct {
		arm   string
		point Point
	}
	type sums struct {
		worth, offer, p99, refused, offered float64
		last                                Row
	}
	seeds := map[key]map[uint64]*sums{}
	var order []key
	for _, r := range rows {
		k := key{r.Arm, r.Point}
		if seeds[k] == nil {
			seeds[k] = map[uint64]*sums{}
			order = append(order, k)
		}
		s := seeds[k][r.Seed]
		if s == nil {
			s = &sums{}
			seeds[k][r.Seed] = s
		}
		s.worth, s.offer, s.p99 = s.worth+r.WeightWithinObjective, s.offer+r.WeightOffered, max(s.p99, r.P99MS)
		s.last = r
		s.refused, s.offered = s.refused+float64(r.Rejected), s.offered+float64(r.Offered)
	}
	first := map[Point]Cell{}
	for _, k := range order {
		c := Cell{Arm: k.arm, Load: k.point.Load, Nodes: k.point.Nodes, Retries: k.point.Retries, goodput: map[uint64]float64{}}
		var goodput, p99, refused, against, changed, out, took []float64
		halted := 0
		for _, seed := range sortedSeeds(seeds[k]) {
			s := seeds[k][seed]
			c.goodput[seed] = s.worth / max(1e-9, s.offer)
			if changed, out = append(changed, float64(s.last.NodesChanged)), append(out, float64(s.last.MaxUnavailable)); s.last.ReleaseSeconds > 0 {
				took = append(took, s.last.ReleaseSeconds)
			}
			halted += s.last.HaltedReleases
			goodput, p99, refused = append(goodput, c.goodput[seed]), append(p99, s.p99), append(refused, s.refused/max(1, s.offered))
		}
		c.Goodput, c.P99, c.Rejected = Bootstrap(goodput), Bootstrap(p99), Bootstrap(refused)
		if slices.Max(out) > 0 {
			c.Release = &ReleaseSummary{Bootstrap(changed), Bootstrap(out), Bootstrap(took), len(took), halted}
		}
		if f, ok := first[k.point]; ok {
			for _, seed := range sortedSeeds(seeds[k]) {
				if g, both := f.goodput[seed]; both {
					against = append(against, c.goodput[seed]-g)
				}
			}
			i := Bootstrap(against)
			c.Difference = &i
		} else {
			first[k.point] = c
		}
		cells = append(cells, c)
	}
	return cells
}

func sortedSeeds[T any](m map[uint64]T) (seeds []uint64) {
	for s := range m {
		seeds = append(seeds, s)
	}
	slices.Sort(seeds)
	return seeds
}

func (i Interval) text() string {
	return fmt.Sprintf("%.3f [%.3f, %.3f]", i.Mean, i.Low, i.High)
}

// excludesZero says whether an interval of differences leaves no place for none.
func (i Interval) excludesZero() bool { return i.Low > 0 || i.High < 0 }

// Table is the cells for people to read.
func Table(cells []Cell) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tnodes\tretries\tarm\tgoodput [95%]\tagainst the first arm\tworst p99, ms\trefused")
	for _, c := range cells {
		against := ""
		if c.Difference != nil {
			if against = c.Difference.text(); !c.Difference.excludesZero() {
				against += " (noise)"
			}
		}
		fmt.Fprintf(w, "%.3g\t%d\t%d\t%s\t%s\t%s\t%.0f\t%.1f%%\n", c.Load, c.Nodes, c.Retries, c.Arm, c.Goodput.text(), against, c.P99.Mean, 100*c.Rejected.Mean)
	}
	_ = w.Flush() // a strings.Builder takes every write
	rolled := slices.DeleteFunc(slices.Clone(cells), func(c Cell) bool { return c.Release == nil })
	if len(rolled) == 0 {
		return b.String()
	}
	fmt.Fprintln(&b)
	fmt.Fprintln(w, "load\tnodes\tarm\tchanged at the end [95%]\tmost out or cold\tseconds until over or halted\tended, halted by itself")
	for _, c := range rolled {
		r := c.Release
		fmt.Fprintf(w, "%.3g\t%d\t%s\t%s\t%s\t%s\t%d, %d\n", c.Load, c.Nodes, c.Arm, r.NodesChanged.text(), r.MaxUnavailable.text(), r.Seconds.text(), r.EndedSeeds, r.HaltedSeeds)
	}
	_ = w.Flush() // a strings.Builder takes every write
	return b.String()
}

// Change is how a cell differs between two folders of results.
type Change struct {
	Cell        Cell // of the second
	Difference  Interval
	Significant bool // noise
}

// Diff compares two folders' rows, seed by seed. It errs where they have no cell and seed in common.
func Diff(a, b []Row) (changes []Change, err error) {
	before := map[string]Cell{}
	for _, c := range Summarize(a) {
		before[c.Arm+c.point().String()] = c
	}
	for _, c := range Summarize(b) {
		old, ok := before[c.Arm+c.point().String()]
		if !ok {
			continue
		}
		var by []float64
		for _, seed := range sortedSeeds(c.goodput) {
			if g, both := old.goodput[seed]; both {
				by = append(by, c.goodput[seed]-g)
			}
		}
		if len(by) > 0 {
			i := Bootstrap(by)
			changes = append(changes, Change{c, i, i.excludesZero()})
		}
	}
	if len(changes) == 0 {
		return nil, fmt.Errorf("the two have no arm, point and seed in common")
	}
	return changes, nil
}

// drawChart draws one figure of each arm against the load, for the points that differ in nothing else.
func drawChart(cells []Cell, title, unit string, value func(Cell) Interval) (string, *plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "offered load, of what all cores can do", unit
	p.Y.Min = 0
	p.Legend.Top = true
	arms := map[string]plotter.XYs{}
	bars := map[string]plotter.YErrors{}
	var order []string
	for _, c := range cells {
		name := c.Arm
		if c.point() != (Point{c.Load, cells[0].Nodes, cells[0].Retries}) {
			name = fmt.Sprintf("%s, %d nodes, %d retries", c.Arm, c.Nodes, c.Retries)
		}
		if arms[name] == nil {
			order = append(order, name)
		}
		v := value(c)
		arms[name] = append(arms[name], plotter.XY{X: c.Load, Y: v.Mean})
		bars[name] = append(bars[name], struct{ Low, High float64 }{v.Mean - v.Low, v.High - v.Mean})
	}
	for i, name := range order {
		line, points, err := plotter.NewLinePoints(arms[name])
		if err != nil {
			return "", nil, err
		}
		line.Color, points.Color, points.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		errors, err := plotter.NewYErrorBars(struct {
			plotter.XYs
			plotter.YErrors
		}{arms[name], bars[name]})
		if err != nil {
			return "", nil, err
		}
		errors.Color = plotutil.Color(i)
		p.Add(line, points, errors)
		p.Legend.Add(name, line, points)
	}
	canvas := vgsvg.New(16*vg.Centimeter, 10*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", nil, err
	}
	return b.String(), p, nil
}

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{overflow-x:auto}svg{max-width:100%;height:auto}</style></head>
<body><h1>{{.Name}}</h1><p>{{.What}}</p><p>{{.Seeds}} seeds; every arm meets the same. Intervals hold the mean with 95% (bootstrap over seeds).</p>
<pre>{{.Table}}</pre>{{range .Charts}}{{.}}{{end}}<h2>The experiment</h2><pre>{{.Text}}</pre></body></html>
`))

// WriteReport writes summary.json, charts (SVG and PNG) and report.html, one page that needs nothing else, into a folder of
// results, and returns the table.
func WriteReport(dir string) (string, error) {
	f, err := ReadFile(filepath.Join(dir, "experiment.toml"))
	if err != nil {
		return "", err
	}
	rows, err := ReadRows(dir)
	if err != nil {
		return "", err
	}
	cells := Summarize(rows)
	summary, err := json.MarshalIndent(cells, "", " ")
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(dir, "summary.json"), append(summary, '\n'), 0o644); err != nil {
		return "", err
	}
	var charts []template.HTML
	for _, c := range []struct {
		file, title, unit string
		value             func(Cell) Interval
	}{
		{"goodput", "Goodput", "worth answered in time, of that offered", func(c Cell) Interval { return c.Goodput }},
		{"p99", "Latency of what is served, 99%, worst class", "ms", func(c Cell) Interval { return c.P99 }},
		{"refused", "Refused", "share of requests", func(c Cell) Interval { return c.Rejected }},
	} {
		svg, p, err := drawChart(cells, c.title, c.unit, c.value)
		if err != nil {
			return "", err
		}
		if err := os.WriteFile(filepath.Join(dir, c.file+".svg"), []byte(svg), 0o644); err != nil {
			return "", err
		}
		if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, c.file+".png")); err != nil {
			return "", err
		}
		charts = append(charts, template.HTML(svg[strings.Index(svg, "<svg"):])) // of our own making
	}
	out, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return "", err
	}
	defer out.Close()
	table := Table(cells)
	return table, reportPage.Execute(out, map[string]any{"Name": f.Name, "What": f.Question, "Seeds": f.Seeds, "Table": table, "Charts": charts, "Text": string(f.text)})
}
