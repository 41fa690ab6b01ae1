package runtime

import (
	"strconv"

	"sloehitch/internal/backend/runtime/redelivery"
)

// queuedCommand is a command that is not yet written to a connection.
type queuedCommand struct {
	line []byte
	run  *runState // the run that the command starts, or continues after a call; nil for any other command
	// secondStart is the id of the run if the command starts it and was written before, to a connection that broke; empty
	// otherwise.
	secondStart string
}

// enqueue queues a command; the caller holds mu.
func (l *Link) enqueue(line []byte) { l.enqueueForRun(nil, line) }

// enqueueForRun queues a command that a run waits for; the caller holds mu.
func (l *Link) enqueueForRun(r *runState, line []byte) {
	if r != nil {
		r.line, r.writtenOnGeneration, r.readByGauges = line, 0, l.gaugesRequested+1
	}
	l.queue = append(l.queue, queuedCommand{line: line, run: r})
	l.cond.Broadcast()
}

// sendCommand queues a command that no run waits for.
func (l *Link) sendCommand(line []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(line)
}

// sendForCall queues the command that answers the call that a run waits for.
func (l *Link) sendForCall(id string, kind redelivery.Kind, line []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r != nil {
		r.kind = kind
	}
	l.enqueueForRun(r, line)
}

// Start starts a run. once marks a run that must not be started twice. Any other is started a second time only if
// Events.MayRunAgain allows it then.
func (l *Link) Start(id, class string, body []byte, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &runState{idempotent: !once, kind: redelivery.Start, lastNoticeGeneration: l.generation}
	l.enqueueForRun(r, encodeStart(id, class, body))
	l.runs[id] = r
}

// Stop pauses a run, or ends it if its request is over. While the runtime is not ready, the command is dropped:
// package logic repeats it, and the queue would otherwise grow for as long as the runtime is unavailable.
func (l *Link) Stop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writable {
		l.enqueue(encodeStop(id))
	}
}

// Resume resumes a paused run.
func (l *Link) Resume(id string) { l.sendCommand(encodeResume(id)) }

// DeliverReply sends the reply to the call that a run waits for.
func (l *Link) DeliverReply(id string, reply []byte) {
	l.sendForCall(id, redelivery.Reply, encodeReply(id, reply))
}

// SkipCall makes a run continue without the call that the notice of the given number requested.
func (l *Link) SkipCall(id string, notice uint64) {
	l.sendForCall(id, redelivery.Omission, encodeSkipCall(id, notice))
}

// RequestGauges requests the gauges, which are passed to Options.OnGauges. It has no effect while the runtime is
// not ready, as the request could not be answered.
func (l *Link) RequestGauges() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writable {
		l.gaugesRequested++
		l.enqueue(encodeGaugesRequest(strconv.FormatUint(l.gaugesRequested, 10)))
	}
}
