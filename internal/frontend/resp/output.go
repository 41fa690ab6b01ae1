package resp

import (
	"errors"
	"os"
	"time"

	"sloehitch/internal/platform/sockerr"
)

// enqueueAnswer queues an answer; closesRequest says that it is the final one of the open request with its
// tag, and it is dropped if that was canceled meanwhile. It never blocks: a peer that does not read holds up
// nobody else, and one that leaves too much unread is aborted.
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

// enqueue adds an answer to the output and sees to it that it is written; the caller holds mu.
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

// sharedBacklogDivisor is the part of limits.UnreadAnswerBytes that a connection may leave unread while all
// of them exceed limits.TotalUnreadAnswerBytes: one in so many.
const sharedBacklogDivisor = 16

// backlogExceeded is the rule for peers that do not read: a connection is aborted if the answers that it
// leaves unread exceed limits.UnreadAnswerBytes bytes, or a sixteenth of that while those of all connections
// together exceed limits.TotalUnreadAnswerBytes bytes.
func (f *Front) backlogExceeded(unread int) bool {
	lim := &f.opts.Limits
	if unread > lim.UnreadAnswerBytes {
		return true
	}
	return unread > lim.UnreadAnswerBytes/sharedBacklogDivisor && f.unreadBytes.Load() > int64(lim.TotalUnreadAnswerBytes)
}

// flush writes what is queued.
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

// writeAll writes all of b. A peer may read as slowly as it likes, as long as it reads something within each
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
			time.Sleep(sockerr.RetryDelay) // the connection works, and an answer is owed on it
		default:
			return err
		}
	}
	return nil
}

// abort closes the socket now; the reader notices and cancels the open requests. The caller holds mu.
func (c *conn) abort() {
	c.front.opts.Log.Debug("aborting a connection", "peer", c.socket.RemoteAddr(), "unread", len(c.output), "open", len(c.openRequests))
	c.writeEnded, c.peerGone = true, true
	c.discardOutput()
	_ = c.socket.Close()
}

// discardOutput drops what is queued; the caller holds mu.
func (c *conn) discardOutput() {
	c.front.unreadBytes.Add(-int64(len(c.output)))
	c.output = nil
}
