// Package redelivery decides whether a command to the runtime is sent again if it was written to a connection that
// broke before a notice of the command's run was read. It performs no I/O and reads no clock.
//
// The protocol has no acknowledgements, so the lack of a notice proves nothing: the command may be lost, its run may
// be in progress, or the notice of its end may be in transit, even after the link was resumed. A command is
// therefore sent again only if a second delivery does no harm. Any other command may have arrived: it is not sent
// again, and its request is answered by its deadline.
//
//	notices lost since                        abandon
//	omission                                  redeliver
//	start of an idempotent request            redeliver
//	start of any other request, reply         await
package redelivery

// Kind is the kind of a command.
type Kind int

// The kinds of commands that a run waits for.
const (
	// Start starts a run. The runtime ignores it while the run is in progress, and starts the run again if it has
	// ended, since the runtime keeps no record of ended runs.
	Start Kind = iota
	// Reply answers a call. It does not identify the call, so a second delivery may answer the run's next call.
	Reply
	// Omission makes a run continue without a call, which it identifies.
	Omission
)

// Command describes a command that was written to a connection that broke.
type Command struct {
	Kind Kind
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// NoticesLost is set if the runtime no longer had all notices since the command was written. The end of the run
	// may be among the lost ones.
	NoticesLost bool
}

// Action is the decision about a command.
type Action int

// The actions.
const (
	Redeliver Action = iota // send the command again: a second delivery does no harm
	Await                   // the command may have arrived: wait for a notice of its run
	Abandon                 // no notice may ever arrive: the run counts as failed and must not start again
)

// Decide returns the action for a command. It must be called only after all notices that the runtime had when the
// link was resumed have been read.
func Decide(c Command) Action {
	switch {
	case c.NoticesLost:
		return Abandon
	case c.Kind == Omission, c.Kind == Start && c.Idempotent:
		return Redeliver
	default:
		return Await
	}
}

// String returns the name of the kind in the log.
func (k Kind) String() string { return [...]string{"start", "reply", "omission"}[k] }

// String returns the name of the action in the log.
func (a Action) String() string { return [...]string{"redeliver", "await", "abandon"}[a] }
