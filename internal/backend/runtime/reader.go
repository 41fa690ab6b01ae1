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

// readNotices takes notices until the link breaks or the other end is silent: from an end that is up, something must come
// within Limits.LinkSilence after it was asked. One that is on its way up may take its time, but is dialled anew after
// Limits.LinkReady, as the link may be to one that is gone.
func (l *Link) readNotices(conn net.Conn) error {
	in := bufio.NewReaderSize(conn, 8<<10)
	var line []byte
	asked, long := false, false
	for {
		l.mu.Lock()
		up := l.synced || l.switching
		l.mu.Unlock()
		patience := l.opts.Limits.RuntimeReadyTimeout
		if up {
			patience = l.opts.Limits.RuntimeSilence
		}
		if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
			return err
		}
		part, err := in.ReadSlice('\n')
		if line = append(line, part...); len(line) > l.opts.Limits.NoticeBytes {
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
			l.sendCommand(command{Action: "gauges", Echo: echoKeepalive})
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return errRuntimeSilent
		case err != nil:
			return err
		}
		if long {
			err = errNoticeTooLong
		} else {
			err = l.handleNotice(line)
		}
		if err != nil && (errors.Is(err, errAddressChanged) || !l.skipUnreadable(err)) {
			return err
		}
		line, long = line[:0], false
	}
}

// skipUnreadable says whether a notice that can't be read is left out. The first time it is not: it is asked for again on
// another link, since it may have been spoilt on the way. If it comes so again, no link would ever get past it.
func (l *Link) skipUnreadable(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unreadableNotice {
		l.unreadableNotice = true
		return false
	}
	l.log.Warn("a notice that can't be read, twice, is left out", err)
	return true
}

// handleNotice handles one notice. An error costs the link, which is then resumed.
func (l *Link) handleNotice(line []byte) error {
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
		l.handleReady(m)
	case "end":
		l.handleEnd(m)
	case "wants":
		l.recordCall(m.UID, m.Pos)
		l.events.CallRequested(m.UID, m.Pos, body)
	case "load":
		switch m.Echo {
		case echoResumed:
			l.reportResume(l.decideRedelivery())
			return nil
		case echoHandover:
			return errAddressChanged
		case echoKeepalive:
			return nil
		}
		l.recordGaugesReceived(m.Echo)
		l.opts.OnGauges(l.decodeGauges(m.Meters))
	case "nack":
		l.log.Warn("the runtime did not carry out a command", fmt.Errorf("%s %s", m.Code, m.UID))
		if m.Code == "start" {
			l.removeRun(m.UID)
			l.events.RunEnded(m.UID, logic.OutcomeNotStarted, 0, nil)
		}
	}
	return nil
}

// advance notes that a notice was read; a notice that came twice is not.
func (l *Link) advance(pos uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pos <= l.lastNotice {
		return false
	}
	if l.lastNotice > 0 && pos > l.lastNotice+1 && !l.noticesLost {
		l.noticesLost = true
		l.log.Warn("the runtime no longer had all notices", fmt.Errorf("%d after %d", pos, l.lastNotice))
	}
	l.lastNotice, l.unreadableNotice = pos, false
	return true
}

// handleReady opens the link for commands. On a resumed link the barrier comes first: once it is echoed, all that
// happened meanwhile has been read.
func (l *Link) handleReady(m notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Log.Info("runtime ready", "state", m.Code, "up_ms", m.WallMS, "link", l.generation, "read_to", l.lastNotice)
	l.synced, l.redeliveryDecided = true, false
	if len(l.runs) > 0 && !l.cleanSwitch {
		l.queue = append([]queuedCommand{{line: encodeCommand(command{Action: "gauges", Echo: echoResumed})}}, l.queue...)
	}
	l.cond.Broadcast()
}

// reportResume tells what follows from a break of the link.
func (l *Link) reportResume(r resumeOutcome) {
	for _, id := range r.abandoned {
		l.events.RunEnded(id, logic.OutcomeFailed, 0, nil)
	}
	for _, u := range r.unconfirmed {
		l.events.DeliveryUnconfirmed(u.id, u.callNotice)
	}
}

// recordGaugesReceived notes that all commands before these gauges were taken.
func (l *Link) recordGaugesReceived(echo string) {
	if tag, err := strconv.ParseUint(echo, 10, 64); err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.gaugesReceived = max(l.gaugesReceived, tag)
	}
}

func (l *Link) handleEnd(m notice) {
	l.removeRun(m.UID)
	o, known := endOutcomes[m.Code]
	result, err := base64.StdEncoding.DecodeString(m.Content)
	if !known || err != nil || len(result) > l.opts.Limits.ResultBytes {
		l.log.Warn("a run ended in a way not understood", fmt.Errorf("%s %s: %w", m.Code, m.UID, err))
		o, result = logic.OutcomeFailed, nil
	}
	l.events.RunEnded(m.UID, o, time.Duration(m.WallMS*float64(time.Millisecond)), result)
}

func (l *Link) decodeGauges(values []json.Number) admission.Gauges {
	g := admission.Gauges{CPUUtilization: -1, RunQueueLength: -1, MemoryUtilization: -1, Connections: -1}
	for i, name := range l.opts.GaugeNames {
		if i >= len(values) {
			break
		}
		v, err := values[i].Float64()
		if err != nil {
			continue
		}
		switch name {
		case "core_use":
			g.CPUUtilization = v
		case "on_cores":
			g.RunQueueLength = v
		case "heap_share":
			g.MemoryUtilization = v
		case "links":
			g.Connections = v
		}
	}
	return g
}
