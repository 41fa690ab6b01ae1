// Package redelivery decides what becomes of a command to the runtime that was written to a link which has
// broken since, if no notice of its run has come. It has no I/O and no clock.
//
// The link has no acknowledgements: that no notice of a run has been read proves nothing. The command may be
// lost, its run may be on, or the notice of its end may be on its way, however the link was resumed. A
// command is therefore delivered again only if a second delivery does no harm; what else may have arrived is
// left as it is, and its request is answered by its deadline.
//
//	notices lost since                        abandon
//	omission                                  redeliver
//	start of an idempotent request            redeliver
//	start of any other request, reply         await
package redelivery

// Kind is what a command asks for.
type Kind int

// The kinds of commands that a run waits for.
const (
	// Start asks for a run. The runtime ignores it while the run is on, and runs it again once that is over:
	// it remembers nothing.
	Start Kind = iota
	// Reply answers a call. It does not name the call: delivered again, it may meet the run's next one.
	Reply
	// Omission has a run go on without a call, which it names.
	Omission
)

// Command is what is known of a command that was written to a link which has broken.
type Command struct {
	Kind Kind
	// Idempotent says that its request may run more than once.
	Idempotent bool
	// NoticesLost says that the runtime no longer had all notices since then: the end of the run may be among
	// them.
	NoticesLost bool
}

// Action is what is to be done with a command.
type Action int

// The actions.
const (
	Redeliver Action = iota // send it again: a second delivery does no harm
	Await                   // it may have arrived: wait for a notice of its run
	Abandon                 // no notice may ever come: its run has failed, and must not start again
)

// Decide returns what becomes of a command once all notices that the runtime had when the link was resumed
// have been read.
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

// String returns the kind's name in the log.
func (k Kind) String() string { return [...]string{"start", "reply", "omission"}[k] }

// String returns the action's name in the log.
func (a Action) String() string { return [...]string{"redeliver", "await", "abandon"}[a] }
