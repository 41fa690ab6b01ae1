package catalogue

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// ReplyFunc receives the outcome of a call, its duration and the reply's body. Only OutcomeRejected,
// OutcomeUnreachable and OutcomeNotStarted prove that the call never ran.
type ReplyFunc = func(o admission.Outcome, took time.Duration, reply []byte)

// call is one call in flight. The client's mutex guards it.
type call struct {
	id         string // the request's id
	startedAt  time.Time
	done       ReplyFunc
	timer      *time.Timer
	encoded    []byte // nil once the call is sent
	connection *conn
	sent       bool // written to the socket, or about to be
}

func (k *call) finish(o admission.Outcome, reply []byte) { k.done(o, time.Since(k.startedAt), reply) }

// The rule for a call without a reply: a call that was never written to a socket has not run. Any other call may
// have run: the catalogue may have read it before the connection broke.

// finishTimedOut ends a call that got no reply within its timeout.
func (k *call) finishTimedOut() { k.finishUnanswered(logic.OutcomeTimedOut) }

// finishDisconnected ends a call whose connection ended before the reply arrived.
func (k *call) finishDisconnected() { k.finishUnanswered(logic.OutcomeReset) }

func (k *call) finishUnanswered(ifSent admission.Outcome) {
	if k.sent {
		k.finish(ifSent, nil)
	} else {
		k.finish(logic.OutcomeUnreachable, nil)
	}
}

// failCalls ends the calls of a connection that has ended.
func failCalls(lost []*call) {
	for _, k := range lost {
		k.finishDisconnected()
	}
}
