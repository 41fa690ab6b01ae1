package node

import (
	"slices"
	"time"

	"sloehitch/logic"
)

// Which attempts count as keyed, and for how long, while SIGHUP may change their class:
//
//	keyed  = its class is idempotent by key now, or was when the attempt was read, or a run with its key in that class
//	         is in flight or in its window
//	window = the longest of the class since the attempt was read; a class whose new settings have no window keeps its
//	         own
//
// So a key that has run is not run again within the window that its caller was told, whatever the class has become.

// applyKeyScope removes the key of an attempt that does not count as keyed.
func (n *Node) applyKeyScope(r *request) {
	if r.IdempotencyKey == "" {
		return
	}
	r.window = n.classWindow(r.Class)
	keyedClass := n.opts.Settings.Classes[r.Class].Idempotency == logic.IdempotentByKey
	if !keyedClass && r.Idempotency != logic.IdempotentByKey && !n.keyInUse(r) {
		r.IdempotencyKey = ""
		return
	}
	if r.Idempotency == logic.Idempotent {
		r.Idempotency = logic.IdempotentByKey
	}
}

// keyInUse reports whether the key of an attempt belongs to a request of the attempt's class that is in flight or has run
// within the window, in this process or another one of the node.
func (n *Node) keyInUse(r *request) bool {
	if e := n.keys.lookup(r); e != nil && e.owner.Class == r.Class {
		return true
	}
	return n.keyHeldByOtherProcess(r)
}

// classWindow returns the idempotency window of a class by the settings in force.
func (n *Node) classWindow(class int) time.Duration {
	return duration(n.opts.Settings.Classes[class].IdempotencyWindow)
}

// windowOf returns the idempotency window of an attempt that starts now.
func (n *Node) windowOf(r *request) time.Duration { return max(r.window, n.classWindow(r.Class)) }

// withWindows returns the classes of new settings, in which a class without a window keeps its running one.
func withWindows(running, next []logic.Class) []logic.Class {
	next = slices.Clone(next)
	for i, class := range running {
		if next[i].IdempotencyWindow == 0 {
			next[i].IdempotencyWindow = class.IdempotencyWindow
		}
	}
	return next
}

// extendWindows gives the keys that have been started the window of their class if that is longer than theirs.
func (n *Node) extendWindows() {
	for _, e := range n.keys.entries {
		if class := e.owner.Class; e.started && class >= 0 {
			e.window = max(e.window, n.classWindow(class))
		}
	}
}
