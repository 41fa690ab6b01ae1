package catalogue

import (
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// ReplyFunc gets how a call ended, how long it took and the reply's body. Only OutcomeRejected,
// OutcomeUnreachable and OutcomeNotStarted prove that it never ran.
type ReplyFunc = func(o admission.Outcome, took time.Duration, reply []byte)

// call is one call in flight. The client's mutex guards it.
type call struct {
	id         string // of the request
	startedAt  time.Time
	done       ReplyFunc
	timer      *time.Timer
	encoded    []byte // nil once it is sent
	connection *conn
	sent       bool // handed to the socket
}

func (k *call) finish(o admission.Outcome, reply []byte) { k.done(o, time.Since(k.startedAt), reply) }

// The rule for a call that gets no reply: one that was never handed to a socket is known not to have run. Of
// any other nothing is known: the catalogue may have read it, and a connection that breaks does not tell.

// finishTimedOut ends a call that got no reply in its time.
func (k *call) finishTimedOut() { k.finishUnanswered(logic.OutcomeTimedOut) }

// finishDisconnected ends a call whose connection ended before its reply.
func (k *call) finishDisconnected() { k.finishUnanswered(logic.OutcomeReset) }

func (k *call) finishUnanswered(ifSent admission.Outcome) {
	if k.sent {
		k.finish(ifSent, nil)
	} else {
		k.finish(logic.OutcomeUnreachable, nil)
	}
}

// failCalls ends calls whose connection ended.
func failCalls(lost []*call) {
	for _, k := range lost {
		k.finishDisconnected()
	}
}
