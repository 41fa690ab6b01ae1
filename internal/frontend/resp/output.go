package resp

import (
	"errors"
	"os"
	"time"

	"sloehitch/internal/platform/sockerr"
)

// enqueueAnswer queues an answer. closesRequest marks it as the final answer to the open request with its tag;
// it is dropped if that request was canceled meanwhile. enqueueAnswer never blocks, so that a peer that does
// not read delays no other peer; a connection with too many unread bytes is aborted.
func (c *conn) enqueueAnswer(tag, word string, fields, body []byte, closesRequest bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	if closesRequest {
		if _, open := c.openRequests[tag]; !open {
			return
		}
		delete(c.openRequests, tag)
	}
	c.enqueue(tag, word, fields, body)
	c.slot.SetState(c.slotState())
}

// enqueue appends an answer to the output and starts a flush if none is running; the caller holds mu.
func (c *conn) enqueue(tag, word string, fields, body []byte) {
	if c.writeEnded {
		return
	}
	before := len(c.output)
	c.output = appendAnswer(c.output, tag, word, fields, body)
	c.front.unreadBytes.Add(int64(len(c.output) - before))
	if c.front.backlogExceeded(len(c.output)) {
		c.abort()
		return
	}
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
}

// sharedBacklogDivisor sets the share of limits.UnreadAnswerBytes that a connection may leave unread while all
// connections together exceed limits.TotalUnreadAnswerBytes: 1/sharedBacklogDivisor.
const sharedBacklogDivisor = 16

// backlogExceeded applies the rule for peers that do not read: a connection is aborted if its unread answers
// exceed limits.UnreadAnswerBytes bytes, or a sixteenth of that while the unread answers of all connections
// exceed limits.TotalUnreadAnswerBytes bytes.
func (f *Front) backlogExceeded(unread int) bool {
	lim := &f.opts.Limits
	if unread > lim.UnreadAnswerBytes {
		return true
	}
	return unread > lim.UnreadAnswerBytes/sharedBacklogDivisor && f.unreadBytes.Load() > int64(lim.TotalUnreadAnswerBytes)
}

// flush writes the queued answers until none is left.
func (c *conn) flush() {
	var batch []byte
	for {
		c.mu.Lock()
		c.front.unreadBytes.Add(-int64(len(batch)))
		if c.writeEnded || len(c.output) == 0 {
			c.flushing = false
			c.slot.SetState(c.slotState())
			c.closeIfDone()
			c.mu.Unlock()
			return
		}
		batch, c.output = c.output, batch[:0]
		c.mu.Unlock()
		if err := c.writeAll(batch); err != nil {
			c.mu.Lock()
			c.abort()
			c.mu.Unlock()
		}
	}
}

// writeAll writes all of b. A peer may read slowly, as long as it reads at least one byte within each
// limits.WriteTimeout.
func (c *conn) writeAll(b []byte) error {
	timeout := c.front.opts.Limits.WriteTimeout
	progressAt := time.Now()
	for len(b) > 0 {
		if err := c.socket.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		n, err := c.socket.Write(b)
		b = b[n:]
		switch {
		case err == nil, n > 0 && errors.Is(err, os.ErrDeadlineExceeded):
			progressAt = time.Now()
		case sockerr.IsTransient(err) && time.Since(progressAt) < timeout:
			time.Sleep(sockerr.RetryDelay) // the connection still works, and its answers are due
		default:
			return err
		}
	}
	return nil
}

// abort closes the socket at once; the reader then fails and cancels the open requests. The caller holds mu.
func (c *conn) abort() {
	c.front.opts.Log.Debug("aborting a connection", "peer", c.socket.RemoteAddr(), "unread", len(c.output), "open", len(c.openRequests))
	c.writeEnded, c.peerGone = true, true
	c.discardOutput()
	_ = c.socket.Close()
}

// discardOutput drops the queued answers; the caller holds mu.
func (c *conn) discardOutput() {
	c.front.unreadBytes.Add(-int64(len(c.output)))
	c.output = nil
}
