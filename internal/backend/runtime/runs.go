package runtime

import (
	"slices"

	"sloehitch/internal/backend/runtime/redelivery"
)

// runState is a run that was asked for and has not ended.
type runState struct {
	idempotent           bool            // its request may run more than once
	kind                 redelivery.Kind // of the command that it waits for: its start, or what followed a call
	line                 []byte          // that command, encoded; nil once a notice of the run has come, or the command was reported as unconfirmed
	callNotice           uint64          // the number of the notice of the last call that it waited for
	writtenOnGeneration  uint64          // generation of the connection that the command was handed to; 0: it is in the queue
	readByGauges         uint64          // number of the gauges request whose echo proves that the runtime read the command
	lastNoticeGeneration uint64          // generation of the connection on which the run was asked for or its last notice came
}

// answeredCall returns the notice of the call that the command answers; 0: the command is the start.
func (r *runState) answeredCall() uint64 {
	if r.kind == redelivery.Start {
		return 0
	}
	return r.callNotice
}

// recordCall notes that a run waits for a call.
func (l *Link) recordCall(id string, notice uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil {
		r.line, r.callNotice, r.lastNoticeGeneration = nil, notice, l.generation
	}
}

// removeRun forgets a run.
func (l *Link) removeRun(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.runs, id)
}

// maxLoggedRuns bounds how many runs a log line names.
const maxLoggedRuns = 8

// unacknowledgedRuns names runs whose last command was handed to a connection, and of which no notice has
// come since.
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
