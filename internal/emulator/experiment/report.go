package experiment

import (
	"encoding/json"
	"html/template"
	"os"
	"path/filepath"
	"strings"
)

// reportContent is the data of reportPage.
type reportContent struct {
	Name, What  string
	Seeds       int
	Table, Text string
	Charts      []template.HTML // SVG
}

var reportPage = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}pre{overflow-x:auto}svg{max-width:100%;height:auto}</style></head>
<body><h1>{{.Name}}</h1><p>{{.What}}</p><p>{{.Seeds}} seeds, the same for every arm. Intervals are 95% confidence intervals of the mean (bootstrap over seeds).</p>
<pre>{{.Table}}</pre>{{range .Charts}}{{.}}{{end}}<h2>The experiment</h2><pre>{{.Text}}</pre></body></html>
`))

// reportCharts are the charts of a report.
var reportCharts = []struct {
	file, title, unit string
	value             func(Cell) Interval
}{
	{"goodput", "Goodput", "worth answered in time, of that offered", func(c Cell) Interval { return c.Goodput }},
	{"p99", "Latency of what is served, 99%, worst class", "ms", func(c Cell) Interval { return c.P99 }},
	{"refused", "Refused", "share of requests", func(c Cell) Interval { return c.Rejected }},
}

// WriteReport writes summary.json, the charts (SVG and PNG) and report.html, a page that needs no other files, into a
// folder of results. It returns the table of the report.
func WriteReport(dir string) (table string, err error) {
	f, err := ReadFile(filepath.Join(dir, experimentFile))
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
	charts, err := writeCharts(dir, cells)
	if err != nil {
		return "", err
	}
	out, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return "", err
	}
	defer out.Close()
	table = Table(cells)
	return table, reportPage.Execute(out, reportContent{Name: f.Name, What: f.Question, Seeds: f.Seeds, Table: table, Charts: charts, Text: string(f.text)})
}

// writeCharts writes the charts of cells into a folder and returns them as SVG for a page.
func writeCharts(dir string, cells []Cell) (charts []template.HTML, err error) {
	for _, c := range reportCharts {
		svg, p, err := drawChart(cells, c.title, c.unit, c.value)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(filepath.Join(dir, c.file+".svg"), []byte(svg), 0o644); err != nil {
			return nil, err
		}
		if err := p.Save(chartWidth, chartHeight, filepath.Join(dir, c.file+".png")); err != nil {
			return nil, err
		}
		charts = append(charts, template.HTML(svg[strings.Index(svg, "<svg"):])) // drawn by this package, so the markup is trusted
	}
	return charts, nil
}
