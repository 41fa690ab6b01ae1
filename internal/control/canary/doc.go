// Package canary analyzes whether the nodes that run the new version of a release are worse than those that still
// run the old one. It has no I/O and no clock: it takes counts per interval of time and returns a Verdict.
//
// Each updated node is compared, interval by interval, with the nodes of its zone that are not updated yet, and
// this difference with the difference from before the update. A rise in load and a faulty upstream affect both
// sides equally and cancel out, and so does a machine that has always been slow. Without nodes in the zone that
// are not updated there is no conclusive verdict.
//
// The rules are
//
//   - analysis.go: when a metric of the updated nodes is worse, and when a verdict is conclusive;
//   - restarts.go: when the updated nodes restart too often;
//   - differences.go: how a node is compared with its peers.
//
// metrics.go has the metrics and their thresholds, recorder.go divides the counts that nodes report into
// intervals, and statistics.go has the formulas. The design is in docs/design/drains.md.
package canary
