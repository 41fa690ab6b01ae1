package runtime

import (
	"net"
	"slices"
	"time"

	"sloehitch/internal/backend/runtime/redelivery"
)

func (l *Link) writeWithDeadline(conn net.Conn, b []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(l.opts.Limits.WriteTimeout)); err != nil {
		return 0, err
	}
	return conn.Write(b)
}

// writeCommands writes queued commands while the runtime is ready, until the connection ends.
func (l *Link) writeCommands(conn net.Conn) {
	var batch []byte
	for {
		commands := l.waitForCommands(conn)
		if commands == nil {
			return
		}
		commands = l.withoutForbiddenStarts(commands)
		batch = batch[:0]
		for _, q := range commands {
			batch = append(batch, q.line...)
		}
		if n, err := l.writeWithDeadline(conn, batch); err != nil {
			l.requeueUnwritten(commands, n)
			_ = conn.Close() // makes the reader fail
			return
		}
	}
}

// waitForCommands blocks until there are commands for the connection and removes them from the queue; it returns
// nil if the connection has ended.
func (l *Link) waitForCommands(conn net.Conn) []queuedCommand {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.conn == conn && (!l.writable || len(l.queue) == 0) {
		l.cond.Wait()
	}
	if l.conn != conn {
		return nil
	}
	commands := l.takeQueue()
	if l.switching {
		l.writable = false // these commands are the last on this connection
	}
	return commands
}

// withoutForbiddenStarts returns the commands without the second starts of runs that must no longer be started twice. They
// are asked about as late as this, since they may have been in the queue for as long as the runtime was away. The runs of
// those left out are reported as unconfirmed.
func (l *Link) withoutForbiddenStarts(commands []queuedCommand) []queuedCommand {
	return slices.DeleteFunc(commands, func(q queuedCommand) bool {
		if q.secondStart == "" || l.events.MayRunAgain(q.secondStart) {
			return false
		}
		if l.forgetStart(q.run) {
			l.opts.Log.Info("start that an earlier connection may have lost is not sent again: its run is no longer idempotent", "request", q.secondStart)
			l.events.DeliveryUnconfirmed(q.secondStart, 0)
		}
		return true
	})
}

// forgetStart gives up the start of a run, and reports whether no notice of the run has shown meanwhile that it arrived.
func (l *Link) forgetStart(r *runState) (unconfirmed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.kind != redelivery.Start || r.line == nil {
		return false
	}
	r.line = nil
	return true
}

// takeQueue removes all commands from the queue for the current connection. The caller holds mu, and must write
// them or put them back.
func (l *Link) takeQueue() []queuedCommand {
	commands := l.queue
	l.queue = nil
	for _, q := range commands {
		if q.run != nil {
			q.run.writtenOnGeneration = l.generation
		}
	}
	return commands
}

// requeueUnwritten puts the commands back that a connection which broke after n bytes can't have delivered: those
// whose JSON object was not written completely. The others may have been carried out, even one that lacks only its
// newline, since the end of a stream ends a line too.
func (l *Link) requeueUnwritten(commands []queuedCommand, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, q := range commands {
		if n -= len(q.line); n >= -len("\n") {
			continue
		}
		unwritten := commands[i:]
		for _, q := range unwritten {
			if q.run != nil {
				q.run.writtenOnGeneration = 0
			}
		}
		l.queue = append(slices.Clone(unwritten), l.queue...)
		l.opts.Log.Info("commands were not written completely; sending them on the next connection", "link", l.generation,
			"commands", len(unwritten), "first_missing_bytes", -n)
		return
	}
}
