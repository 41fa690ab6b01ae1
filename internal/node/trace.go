package node

import (
	"context"
	"log/slog"

	"sloehitch/internal/admission"
)

// tracingEnabled reports whether the log takes each step of each request: it does at level debug.
func tracingEnabled(log *slog.Logger) bool {
	return log != nil && log.Enabled(context.Background(), slog.LevelDebug)
}

// trace logs one step of a request. Where tracing is off it costs a comparison.
func (n *Node) trace(step string, r *request, more ...any) {
	if !n.tracing {
		return
	}
	attributes := []any{"request", r.ID, "key", r.IdempotencyKey, "number", r.number, "stage", r.stage}
	n.opts.Log.Debug(step, append(attributes, more...)...)
}

// traceUnknown logs the report of a run that is not in flight.
func (n *Node) traceUnknown(what, id string, outcome admission.Outcome) {
	if n.tracing {
		n.opts.Log.Debug(what, "request", id, "outcome", outcome)
	}
}

// String returns the stage's name in the log.
func (s stage) String() string {
	return [...]string{"queued", "coalesced", "recording", "running", "elsewhere", "ended"}[s]
}

// String returns the status's name in the log.
func (s Status) String() string { return [...]string{"served", "rejected", "failed"}[s] }
