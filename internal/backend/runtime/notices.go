package runtime

import (
	"fmt"

	"sloehitch/logic"
)

// handleNotice handles one line. After an error the connection ends, and the next one resumes before the notice.
func (l *Link) handleNotice(line []byte) error {
	n, err := decodeNotice(line)
	if err != nil {
		return err
	}
	if n.number > 0 && !l.recordNotice(n.number) {
		return nil // was read on an earlier connection
	}
	switch n.kind {
	case noticeReady:
		l.handleReady(n.ready())
	case noticeRunEnded:
		l.handleRunEnded(&n)
	case noticeCallRequested:
		m := n.callRequested()
		l.recordCall(m.id, n.number)
		l.events.CallRequested(m.id, n.number, m.body)
	case noticeGauges:
		return l.handleGauges(n.gauges())
	case noticeCommandRejected:
		l.handleRejected(n.commandRejected())
	}
	return nil
}

// recordNotice records that a notice was read; it returns false if it was read before.
func (l *Link) recordNotice(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number <= l.lastNotice {
		return false
	}
	if l.lastNotice > 0 && number > l.lastNotice+1 && !l.noticesLost {
		l.noticesLost = true
		l.log.Warn("the runtime lost notices; runs without a later notice count as failed",
			fmt.Errorf("notice %d follows notice %d", number, l.lastNotice))
	}
	l.lastNotice, l.unreadableNotice = number, false
	return true
}

// handleReady allows commands to be written. On a resumed link a gauges request is sent first: once its echo is
// received, all earlier notices have been read.
func (l *Link) handleReady(m readyNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opts.Log.Info("runtime ready", "state", m.state, "up_ms", m.upMS, "link", l.generation, "last_notice", l.lastNotice)
	l.writable, l.redeliveryDecided = true, false
	if len(l.runs) > 0 && !l.cleanSwitch {
		l.queue = append([]queuedCommand{{line: encodeGaugesRequest(echoResumed)}}, l.queue...)
	}
	l.cond.Broadcast()
}

// handleRunEnded removes a run and reports its end.
func (l *Link) handleRunEnded(n *notice) {
	m, err := n.runEnded(l.opts.Limits.ResultBytes)
	l.removeRun(m.id)
	if err != nil {
		l.log.Warn("cannot decode the end of a run; the run counts as failed", err)
	}
	l.events.RunEnded(m.id, m.outcome, m.took, m.result)
}

// handleGauges handles an echo of one of the link's own requests, or passes the gauges to Options.OnGauges.
func (l *Link) handleGauges(m gaugesNotice) error {
	switch m.echo {
	case echoResumed:
		l.reportResume(l.decideRedelivery())
	case echoAddressChanged:
		return errAddressChanged
	case echoKeepalive:
	default:
		l.recordGaugesReceived(m)
		l.opts.OnGauges(m.decode(l.opts.GaugeNames))
	}
	return nil
}

// handleRejected ends the run whose start command was not carried out.
func (l *Link) handleRejected(m commandRejectedNotice) {
	l.log.Warn("the runtime rejected a command", fmt.Errorf("command %s, run %s", m.command, m.id))
	if m.start {
		l.removeRun(m.id)
		l.events.RunEnded(m.id, logic.OutcomeNotStarted, 0, nil)
	}
}

// reportResume reports the runs that are affected by a break of the link.
func (l *Link) reportResume(r resumeOutcome) {
	for _, id := range r.abandoned {
		l.events.RunEnded(id, logic.OutcomeFailed, 0, nil)
	}
	for _, u := range r.unconfirmed {
		l.events.DeliveryUnconfirmed(u.id, u.callNotice)
	}
}

// recordGaugesReceived records that the runtime has read all commands before a gauges request.
func (l *Link) recordGaugesReceived(m gaugesNotice) {
	if number, ok := m.requestNumber(); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.gaugesReceived = max(l.gaugesReceived, number)
	}
}
