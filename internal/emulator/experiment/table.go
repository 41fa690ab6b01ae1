package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Table formats cells as text: a table of goodput, latency and rejections, and one of releases if there are any.
func Table(cells []Cell) string {
	var b strings.Builder
	writeLoadTable(&b, cells)
	released := slices.DeleteFunc(slices.Clone(cells), func(c Cell) bool { return c.Release == nil })
	if len(released) > 0 {
		fmt.Fprintln(&b)
		writeReleaseTable(&b, released)
	}
	return b.String()
}

func writeLoadTable(out io.Writer, cells []Cell) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tnodes\tretries\tarm\tgoodput [95%]\tagainst the first arm\tworst p99, ms\trefused")
	for _, c := range cells {
		difference := ""
		if c.Difference != nil {
			if difference = c.Difference.text(); !c.Difference.excludesZero() {
				difference += " (noise)"
			}
		}
		fmt.Fprintf(w, "%.3g\t%d\t%d\t%s\t%s\t%s\t%.0f\t%.1f%%\n", c.Load, c.Nodes, c.Retries, c.Arm, c.Goodput.text(), difference, c.P99.Mean, 100*c.Rejected.Mean)
	}
	_ = w.Flush() // a strings.Builder takes every write
}

func writeReleaseTable(out io.Writer, cells []Cell) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tnodes\tarm\tchanged at the end [95%]\tmost out or cold\tseconds until over or halted\tended, halted by itself")
	for _, c := range cells {
		r := c.Release
		fmt.Fprintf(w, "%.3g\t%d\t%s\t%s\t%s\t%s\t%d, %d\n", c.Load, c.Nodes, c.Arm, r.NodesChanged.text(), r.MaxUnavailable.text(), r.Seconds.text(), r.EndedSeeds, r.HaltedSeeds)
	}
	_ = w.Flush() // a strings.Builder takes every write
}
