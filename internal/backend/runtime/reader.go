package runtime

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"sloehitch/internal/admission"
	"sloehitch/logic"
)

// read takes notices until the link breaks or the other end is silent: from an end that is up, something must come
// within Limits.LinkSilence after it was asked. One that is on its way up may take its time, but is dialled anew after
// Limits.LinkReady, as the link may be to one that is gone.
func (l *Link) read(conn net.Conn) error {
	in := bufio.NewReaderSize(conn, 8<<10)
	var line []byte
	asked, long := false, false
	for {
		l.mu.Lock()
		up := l.synced || l.leaving
		l.mu.Unlock()
		patience := l.opts.Limits.LinkReady
		if up {
			patience = l.opts.Limits.LinkSilence
		}
		if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
			return err
		}
		part, err := in.ReadSlice('\n')
		if line = append(line, part...); len(line) > l.opts.Limits.NoticeLine {
			line, long = line[:0], true
		}
		if len(part) > 0 {
			asked = false
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, os.ErrDeadlineExceeded) && up && !asked:
			asked = len(part) == 0
			l.simple(command{Action: "gauges", Echo: alive})
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errSilent
		case err != nil:
			return err
		}
		if long {
			err = errLong
		} else {
			err = l.take(line)
		}
		if err != nil && (errors.Is(err, errMoved) || !l.passOver(err)) {
			return err
		}
		line, long = line[:0], false
	}
}

// passOver says whether a notice that can't be read is left out. The first time it is not: it is asked for again on
// another link, since it may have been spoilt on the way. If it comes so again, no link would ever get past it.
func (l *Link) passOver(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.spoilt {
		l.spoilt = true
		return false
	}
	l.log.Warn("a notice that can't be read, twice, is left out", err)
	return true
}

// take handles one notice. An error costs the link, which is then resumed.
func (l *Link) take(line []byte) error {
	var m notice
	var odd *json.UnmarshalTypeError
	if err := json.Unmarshal(line, &m); err != nil && !(errors.As(err, &odd) && m.Action == "info") {
		return err // a remark has no meaning, so it may have any form
	}
	var body []byte
	if m.Action == "wants" {
		var err error
		if body, err = base64.StdEncoding.DecodeString(m.Content); err != nil {
			return err // not taken: it is asked for again
		}
	}
	if m.Pos > 0 && !l.advance(m.Pos) {
		return nil // read already, on an earlier link
	}
	switch m.Action {
	case "ready":
		l.ready(m)
	case "end":
		l.end(m)
	case "wants":
		l.heard(m.UID, m.Pos)
		l.events.Wants(m.UID, m.Pos, body)
	case "load":
		switch m.Echo {
		case barrier:
			l.tell(l.resume())
			return nil
		case handOver:
			return errMoved
		case alive:
			return nil
		}
		l.took(m.Echo)
		l.opts.Gauges(l.gauges(m.Meters))
	case "nack":
		l.log.Warn("the runtime did not carry out a command", fmt.Errorf("%s %s", m.Code, m.UID))
		if m.Code == "start" {
			l.over(m.UID)
			l.events.Ended(m.UID, logic.Moot, 0, nil)
		}
	}
	return nil
}

// advance notes that a notice was read; a notice that came twice is not.
func (l *Link) advance(pos uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pos <= l.pos {
		return false
	}
	if l.pos > 0 && pos > l.pos+1 && !l.gap {
		l.gap = true
		l.log.Warn("the runtime no longer had all notices", fmt.Errorf("%d after %d", pos, l.pos))
	}
	l.pos, l.spoilt = pos, false
	return true
}

// ready opens the link for commands. On a resumed link the barrier comes first: once it is echoed, all that
// happened meanwhile has been read.
func (l *Link) ready(m notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Log.Info("runtime ready", "state", m.Code, "up_ms", m.WallMS, "link", l.links, "read_to", l.pos)
	l.synced, l.resumed = true, false
	if len(l.runs) > 0 && !l.whole {
		l.queue = append([]queued{{line: encode(command{Action: "gauges", Echo: barrier})}}, l.queue...)
	}
	l.cond.Broadcast()
}

// tell tells what follows from a break of the link.
func (l *Link) tell(r resumption) {
	for _, id := range r.abandoned {
		l.events.Ended(id, logic.Failed, 0, nil)
	}
	for _, u := range r.unconfirmed {
		l.events.Unconfirmed(u.id, u.call)
	}
}

// took notes that all commands before these gauges were taken.
func (l *Link) took(echo string) {
	if tag, err := strconv.ParseUint(echo, 10, 64); err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.taken = max(l.taken, tag)
	}
}

func (l *Link) end(m notice) {
	l.over(m.UID)
	o, known := ends[m.Code]
	result, err := base64.StdEncoding.DecodeString(m.Content)
	if !known || err != nil || len(result) > l.opts.Limits.Result {
		l.log.Warn("a run ended in a way not understood", fmt.Errorf("%s %s: %w", m.Code, m.UID, err))
		o, result = logic.Failed, nil
	}
	l.events.Ended(m.UID, o, time.Duration(m.WallMS*float64(time.Millisecond)), result)
}

func (l *Link) gauges(values []json.Number) admission.Gauges {
	g := admission.Gauges{CoreUse: -1, RunQueue: -1, MemoryShare: -1, Connections: -1}
	for i, name := range l.opts.Meters {
		if i >= len(values) {
			break
		}
		v, err := values[i].Float64()
		if err != nil {
			continue
		}
		switch name {
		case "core_use":
			g.CoreUse = v
		case "on_cores":
			g.RunQueue = v
		case "heap_share":
			g.MemoryShare = v
		case "links":
			g.Connections = v
		}
	}
	return g
}
