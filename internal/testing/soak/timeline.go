package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteTimelines writes all violations, up to most of them with the events and log lines of the requests concerned.
func (r *Report) WriteTimelines(w io.Writer, most int) {
	for i, v := range r.Violations {
		fmt.Fprintf(w, "seed %d: %s: %s\n", r.Plan.Seed, v.Rule, v.What)
		if i < most {
			r.Record.Timeline(w, v.Names...)
			r.writeLogLines(w, v.Names)
		}
	}
}

// writeLogLines writes the lines of the processes' logs that contain one of the names.
func (r *Report) writeLogLines(w io.Writer, names []string) {
	for _, text := range r.Logs {
		for line := range strings.SplitSeq(text, "\n") {
			concerned := slices.ContainsFunc(names, func(name string) bool { return name != "" && strings.Contains(line+" ", name) })
			if concerned {
				fmt.Fprintln(w, "  ", line)
			}
		}
	}
}
