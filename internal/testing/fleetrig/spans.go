package fleetrig

import (
	"sloehitch/internal/control/lease"
)

// span is a period in which a node believed that it held a lease or led the store.
type span struct {
	Node     int
	What     string // the leased task, or "store" if the node led it
	Token    uint64
	From, To lease.Instant
}

// spans derives the periods from the processes' events. A period without an end lasts until the last event.
func spans(all []processEvent) []span {
	list := spanList{latest: map[spanKey]int{}}
	var last lease.Instant
	for _, e := range all {
		last = max(last, e.At)
		list.add(e)
	}
	for i := range list.spans {
		if list.spans[i].To == 0 {
			list.spans[i].To = last
		}
	}
	return list.spans
}

// spanKey identifies an activity of which a node has at most one span at a time.
type spanKey struct {
	node int
	duty string // empty: leading the store
}

// spanList builds spans from events that are added in the order of their times.
type spanList struct {
	spans  []span
	latest map[spanKey]int // index in spans
}

func (l *spanList) add(e processEvent) {
	key := spanKey{e.Node, e.Duty}
	at, known := l.latest[key]
	switch e.What {
	case "starts":
		l.endAll(e)
	case "holds":
		if e.Until > e.At { // otherwise the answer came after the lease's end, and the node does not hold it
			l.hold(key, e)
		}
	case "gives":
		if known && l.spans[at].Token == e.N {
			l.spans[at].To = min(l.spans[at].To, e.At)
		}
	case "leads":
		l.open(key, span{e.Node, "store", e.N, e.At, 0})
	case "follows":
		if known && l.spans[at].To == 0 {
			l.spans[at].To = e.At
		}
	}
}

func (l *spanList) open(key spanKey, s span) {
	l.latest[key] = len(l.spans)
	l.spans = append(l.spans, s)
}

// hold begins a span, or extends the latest one if its lease was renewed in time.
func (l *spanList) hold(key spanKey, e processEvent) {
	if at, known := l.latest[key]; known && l.spans[at].Token == e.N && l.spans[at].To >= e.At {
		l.spans[at].To = max(l.spans[at].To, e.Until)
		return
	}
	l.open(key, span{e.Node, e.Duty, e.N, e.At, e.Until})
}

// endAll ends the spans of the node's previous process when a new one starts.
func (l *spanList) endAll(start processEvent) {
	for i := range l.spans {
		if s := &l.spans[i]; s.Node == start.Node && (s.To == 0 || s.To > start.At) {
			s.To = start.At
		}
	}
}
