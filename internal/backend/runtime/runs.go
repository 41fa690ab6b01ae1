package runtime

import (
	"slices"

	"sloehitch/internal/backend/runtime/redelivery"
)

// runState is a run that was started by Link.Start and has not ended.
type runState struct {
	idempotent           bool            // the request may run more than once
	kind                 redelivery.Kind // kind of the run's last command: its start, or the answer to a call
	line                 []byte          // that command, encoded; nil once a notice of the run was read or it was reported as unconfirmed
	callNotice           uint64          // number of the notice that requested the run's last call
	writtenOnGeneration  uint64          // generation of the connection that the command was passed to; 0: the command is queued
	readByGauges         uint64          // number of the gauges request whose echo proves that the runtime read the command
	lastNoticeGeneration uint64          // generation of the connection on which the run was requested or its last notice was read
}

// answeredCall returns the number of the notice of the call that the command answers; 0: the command is the start.
func (r *runState) answeredCall() uint64 {
	if r.kind == redelivery.Start {
		return 0
	}
	return r.callNotice
}

// recordCall records that a run waits for a call.
func (l *Link) recordCall(id string, notice uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil {
		r.line, r.callNotice, r.lastNoticeGeneration = nil, notice, l.generation
	}
}

// removeRun removes a run that has ended.
func (l *Link) removeRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, id)
}

// maxLoggedRuns is the maximum number of runs that a log line lists.
const maxLoggedRuns = 8

// unacknowledgedRuns returns the ids of runs whose last command was passed to a connection and not followed by a
// notice of the run; at most maxLoggedRuns.
func (l *Link) unacknowledgedRuns() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, r := range l.runs {
		if r.writtenOnGeneration > 0 && r.line != nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), maxLoggedRuns)]
}
