package node

import "sloehitch/logic"

// Repeats by the back end. A run, or part of one, may be made again only if the request is idempotent both by the
// semantics under which it was read and by those in force:
//
//	may run again = read as idempotent and its class, and the class that it would have now, are idempotent now
//
// SIGHUP may change the class, or move an operation to another class, while the request is in flight. A request that was
// read as idempotent is not run again once its class is not, since the operators say that a second run does harm; one that
// was not stays so, since its caller was told nothing else. Back ends ask each time, so that none keeps a copy of the
// classes.

// MayRunAgain reports whether a request in flight may be run again although it may have run.
func (n *Node) MayRunAgain(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	return r != nil && n.mayRunAgain(r)
}

// MayRunAgainAs is MayRunAgain for a request that would be of the given class if it were read now.
func (n *Node) MayRunAgainAs(id string, classNow int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := n.byID[id]
	return r != nil && n.mayRunAgain(r) && n.classIsIdempotent(classNow)
}

// mayRunAgain implements MayRunAgain; the caller holds mu.
func (n *Node) mayRunAgain(r *request) bool {
	return r.Idempotency == logic.Idempotent && n.classIsIdempotent(r.Class)
}

// classIsIdempotent reports whether requests of the class may run more than once by the settings in force.
func (n *Node) classIsIdempotent(class int) bool {
	return n.opts.Settings.Classes[class].Idempotency == logic.Idempotent
}
