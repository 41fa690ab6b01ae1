package runtime

import (
	"net"
	"slices"
	"time"
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
