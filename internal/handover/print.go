package handover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// FormatSnapshot returns what a snapshot holds as a table for operators.
func FormatSnapshot(s Snapshot) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	print := func(line string, values ...any) { _, _ = fmt.Fprintf(w, line, values...) } // a strings.Builder takes all
	l := s.LearnedState
	print("  at the notice to leave\t%v\n", s.AtShutdown)
	print("  running limit\t%.1f\n", l.RunLimit)
	print("  refused\t%.0f%%\n", 100*l.RejectedShare.Mean)
	print("  call time\t%.1f ms, %.1f at the least\n", l.CallTime.Mean/1000, l.MinCallTime/1000)
	for _, name := range slices.Sorted(maps.Keys(l.Classes)) {
		e := l.Classes[name]
		print("  class %s\trun time %.1f ms of %d runs, %.1f with a hint of %.1f\n",
			name, e.RunTime.Mean/1000, e.RunTime.Samples, e.HintedRunTime.Mean/1000, e.Hint.Mean/1000)
	}
	for _, name := range slices.Sorted(maps.Keys(l.TenantTokens)) {
		print("  tenant %s\t%.1f requests left of its share\n", name, l.TenantTokens[name])
	}
	_ = w.Flush()
	return b.String()
}
