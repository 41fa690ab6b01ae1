package node

import (
	"context"
	"log/slog"

	"sloehitch/internal/admission"
)

// tracingEnabled reports whether each step of each request is logged, which is the case at level debug.
func tracingEnabled(log *slog.Logger) bool {
	return log != nil && log.Enabled(context.Background(), slog.LevelDebug)
}

// trace logs one step of a request if tracing is enabled; otherwise it costs one comparison.
func (n *Node) trace(step string, r *request, more ...any) {
	if !n.tracing {
		return
	}
	attributes := []any{"request", r.ID, "key", r.IdempotencyKey, "number", r.number, "stage", r.stage}
	n.opts.Log.Debug(step, append(attributes, more...)...)
}

// traceUnknownRun logs a report about a run that is not in flight.
func (n *Node) traceUnknownRun(what, id string, outcome admission.Outcome) {
	if n.tracing {
		n.opts.Log.Debug(what, "request", id, "outcome", outcome)
	}
}

// String returns the name of the stage as logged.
func (s stage) String() string {
	return [...]string{"queued", "coalesced", "recording", "running", "elsewhere", "ended"}[s]
}

// String returns the name of the status as logged.
func (s Status) String() string { return [...]string{"served", "rejected", "failed"}[s] }
