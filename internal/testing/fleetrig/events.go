package fleetrig

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"sloehitch/internal/control/lease"
	"sloehitch/internal/testing/faulthooks"
)

// told is an event with the node that told it.
type told struct {
	Node int
	faulthooks.Event
}

// events reads what all processes have told, in the order of the machine's clock. A last line that a killed process left unfinished
// is passed over.
func (f *processes) events() (all []told, err error) {
	for i := range f.Nodes {
		file, err := os.Open(filepath.Join(f.trial(i), "events"))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			e := told{Node: i}
			if json.Unmarshal(lines.Bytes(), &e.Event) == nil {
				all = append(all, e)
			}
		}
		if err := errors.Join(lines.Err(), file.Close()); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(all, func(a, b told) int { return int(a.At - b.At) })
	return all, nil
}

// span is a stretch of time in which a node believed or did something.
type span struct {
	Node     int
	What     string // duty a node holds, or "store" where it leads
	Token    uint64
	From, To lease.Instant
}

// spans are the stretches that events tell of; what has no end reaches to the last event.
func spans(all []told) (list []span) {
	open := map[string]int{} // by node and what: the index of the last one
	var last lease.Instant
	for _, e := range all {
		last = max(last, e.At)
		if e.What == "starts" { // whatever the process before it believed, it is over
			for i := range list {
				if s := &list[i]; s.Node == e.Node && (s.To == 0 || s.To > e.At) {
					s.To = e.At
				}
			}
			continue
		}
		key := fmt.Sprint(e.Node, " ", e.Duty)
		at, known := open[key]
		switch e.What {
		case "holds":
			if e.Until <= e.At {
				continue // the answer came after its own end: nothing is believed
			}
			if known && list[at].Token == e.N && list[at].To >= e.At {
				list[at].To = max(list[at].To, e.Until)
				continue
			}
			open[key] = len(list)
			list = append(list, span{e.Node, e.Duty, e.N, e.At, e.Until})
		case "gives":
			if known && list[at].Token == e.N {
				list[at].To = min(list[at].To, e.At)
			}
		case "leads":
			open[key] = len(list)
			list = append(list, span{e.Node, "store", e.N, e.At, 0})
		case "follows":
			if known && list[at].To == 0 {
				list[at].To = e.At
			}
		}
	}
	for i := range list {
		if list[i].To == 0 {
			list[i].To = last
		}
	}
	return list
}

// checkEvents holds what the processes told to what was promised: nobody goes on believing that it holds a duty for longer than most
// after another began to under a later token, what is wanted of a node is applied in order only, and the last of it is.
func checkEvents(all []told, wanted map[int]wish, most time.Duration) (wrong []string) {
	say := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	held := spans(all)
	for _, a := range held {
		for _, b := range held {
			if a.What == b.What && a.What != "store" && a.Node != b.Node && a.Token < b.Token && a.To > b.From.Add(most) {
				say("n%d believes that it holds %s under token %d until %v after n%d began to under token %d", a.Node, a.What, a.Token, time.Duration(a.To-b.From), b.Node, b.Token)
			}
		}
	}
	applied := map[int]faulthooks.Event{}
	for _, e := range all {
		if e.What != "applied" {
			continue
		}
		if was := applied[e.Node]; e.N <= was.N {
			say("n%d applied version %d after version %d", e.Node, e.N, was.N)
		}
		applied[e.Node] = e.Event
	}
	for node, w := range wanted {
		if e := applied[node]; e.N != w.revision || e.Out != w.out {
			say("n%d has applied version %d (out: %v), and version %d (out: %v) is wanted", node, e.N, e.Out, w.revision, w.out)
		}
	}
	return wrong
}

// timeline is what the processes told of going out and coming back, with the faults between, a line each; times are in milliseconds since the
// first event.
func timeline(all []told, calls []called) string {
	type line struct {
		at   lease.Instant
		text string
	}
	var lines []line
	for _, c := range calls {
		lines = append(lines, line{c.from, "fault " + c.Fault.String()}, line{c.to, "over  " + c.Fault.String()})
	}
	for _, e := range all {
		switch e.What {
		case "holds", "gives", "leads", "follows", "applied":
			if e.Duty != "permits" || e.What == "holds" {
				continue
			}
		}
		lines = append(lines, line{e.At, fmt.Sprintf("n%d %s %s %s", e.Node, e.What, e.Duty, e.ID)})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	var text strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&text, "%8.1f %s\n", float64(l.at-lines[0].at)/1e6, l.text)
	}
	return text.String()
}
