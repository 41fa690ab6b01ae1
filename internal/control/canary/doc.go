// Package canary analyzes a release while it is under way: are the nodes that run the new version worse than
// those that still run the old one? It has no I/O and no clock; counts of intervals of time go in, a Verdict
// comes out.
//
// Each updated node is compared, interval by interval, with the nodes of its zone that are not updated yet,
// and that difference with what the difference was before the update. So a rise in load and a faulty
// upstream, which are the same on both sides, cancel out, and so does a machine that was slow all along. A
// zone needs nodes that are not updated to compare with; without any there is no conclusive verdict.
//
// The rules are
//
//   - analysis.go: when a metric of the updated nodes is worse, and when a verdict is conclusive;
//   - restarts.go: when the updated nodes restart too often;
//   - differences.go: what is compared with what.
//
// metrics.go has the metrics and their thresholds, recorder.go makes intervals of the counts that nodes
// report, and statistics.go has the formulas. docs/design/drains.md has the design.
package canary
