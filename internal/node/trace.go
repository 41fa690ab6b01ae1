package node

import (
	"context"
	"log/slog"

	"sloehitch/internal/admission"
)

// tracingEnabled says whether the log takes each step of each request.
func tracingEnabled(log *slog.Logger) bool {
	return log != nil && log.Enabled(context.Background(), slog.LevelDebug)
}

// trace logs one step of a request. Where the log does not take steps it costs a comparison.
func (n *Node) trace(step string, r *request, more ...any) {
	if !n.tracing {
		return
	}
	n.opts.Log.Debug(step, append([]any{"request", r.ID, "key", r.IdempotencyKey, "num", r.number, "stage", r.stage}, more...)...)
}

// traceUnknown logs what was told of a run that is not in hand.
func (n *Node) traceUnknown(what, id string, o admission.Outcome) {
	if n.tracing {
		n.opts.Log.Debug(what, "request", id, "outcome", o)
	}
}

// String is the stage's name in the log.
func (s stage) String() string {
	return [...]string{"held", "joined", "starting", "runs", "abroad", "ended"}[s]
}

// String is the kind's name in the log.
func (k Status) String() string { return [...]string{"served", "refused", "failed"}[k] }
