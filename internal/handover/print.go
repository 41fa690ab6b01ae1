package handover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// FormatSnapshot returns the contents of a snapshot as a table for operators.
func FormatSnapshot(s Snapshot) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	print := func(line string, values ...any) { _, _ = fmt.Fprintf(w, line, values...) } // writing to a strings.Builder never fails
	l := s.LearnedState
	print("  made at shutdown\t%v\n", s.AtShutdown)
	print("  run limit\t%.1f\n", l.RunLimit)
	print("  requests rejected\t%.0f%%\n", 100*l.RejectedShare.Mean)
	print("  mean call time\t%.1f ms, minimum %.1f ms\n", l.CallTime.Mean/1000, l.MinCallTime/1000)
	for _, name := range slices.Sorted(maps.Keys(l.Classes)) {
		e := l.Classes[name]
		print("  class %s\trun time %.1f ms of %d runs, %.1f ms of hinted runs with a mean hint of %.1f ms\n",
			name, e.RunTime.Mean/1000, e.RunTime.Samples, e.HintedRunTime.Mean/1000, e.Hint.Mean/1000)
	}
	for _, name := range slices.Sorted(maps.Keys(l.TenantTokens)) {
		print("  tenant %s\t%.1f requests left of its quota\n", name, l.TenantTokens[name])
	}
	_ = w.Flush()
	return b.String()
}
