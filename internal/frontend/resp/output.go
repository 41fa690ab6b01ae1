package resp

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"
	"sloehitch/internal/frontend/gracefulclose"
	"sloehitch/internal/platform/sockerr"
)

// enqueueAnswer queues an answer, which closes the tag. It never blocks: a peer that doesn't read holds up nobody
// else, and one that leaves too much unread is cut off.
func (k *conn) enqueueAnswer(tag, word string, fields, body []byte, closes string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastUsed = time.Now()
	if closes != "" {
		if _, open := k.openRequests[closes]; !open {
			return // undone meanwhile
		}
		delete(k.openRequests, closes)
	}
	k.enqueue(tag, word, fields, body)
	k.slot.SetState(k.slotState())
}

func (k *conn) enqueue(tag, word string, fields, body []byte) {
	if k.writeEnded {
		return
	}
	parts, had := 2, len(k.output)
	if len(fields) > 0 || len(body) > 0 {
		parts = 4
	}
	k.output = redcon.AppendArray(k.output, parts)
	k.output = redcon.AppendBulkString(k.output, tag)
	k.output = redcon.AppendBulkString(k.output, word)
	if parts == 4 {
		k.output = redcon.AppendBulk(k.output, fields)
		k.output = redcon.AppendBulk(k.output, body)
	}
	k.front.unreadBytes.Add(int64(len(k.output) - had))
	lim := k.front.opts.Limits
	if n := len(k.output); n > lim.UnreadAnswerBytes || n > lim.UnreadAnswerBytes/sharedBacklogDivisor && k.front.unreadBytes.Load() > int64(lim.TotalUnreadAnswerBytes) {
		k.abort()
		return
	}
	if !k.flushing {
		k.flushing = true
		go k.flush()
	}
}

// sharedBacklogDivisor is the part of a peer's own bound that it may leave unread when all of them together leave too much.
const sharedBacklogDivisor = 16

// transientRetryDelay is how long a read or write rests after an error that passes by itself.
const transientRetryDelay = 2 * time.Millisecond

// flush writes what is queued. A peer may read as slowly as it likes, as long as it reads something within each
// limits.Write.
func (k *conn) flush() {
	var batch []byte
	for {
		k.mu.Lock()
		k.front.unreadBytes.Add(-int64(len(batch)))
		if k.writeEnded || len(k.output) == 0 {
			k.flushing = false
			k.slot.SetState(k.slotState())
			k.closeIfDone()
			k.mu.Unlock()
			return
		}
		batch, k.output = k.output, batch[:0]
		k.mu.Unlock()
		if err := k.writeAll(batch); err != nil {
			k.mu.Lock()
			k.abort()
			k.mu.Unlock()
		}
	}
}

func (k *conn) writeAll(b []byte) error {
	since := time.Now() // when something was written last
	for len(b) > 0 {
		if err := k.socket.SetWriteDeadline(time.Now().Add(k.front.opts.Limits.WriteTimeout)); err != nil {
			return err
		}
		n, err := k.socket.Write(b)
		b = b[n:]
		switch {
		case err == nil, n > 0 && errors.Is(err, os.ErrDeadlineExceeded):
			since = time.Now()
		case sockerr.IsTransient(err) && time.Since(since) < k.front.opts.Limits.WriteTimeout:
			time.Sleep(transientRetryDelay) // the connection is as good as before, and an answer is owed on it
		default:
			return err
		}
	}
	return nil
}

// abort closes the socket now; the reader sees it and tells the core. k.mu is held.
func (k *conn) abort() {
	k.front.opts.Log.Debug("a connection is cut", "peer", k.socket.RemoteAddr(), "unread", len(k.output), "open", len(k.openRequests))
	k.writeEnded, k.peerGone = true, true
	k.front.unreadBytes.Add(-int64(len(k.output)))
	k.output = nil
	k.socket.Close()
}

// closeIfDone closes the socket once nothing more is taken and all is written; k.mu is held.
func (k *conn) closeIfDone() {
	if k.closing || !k.readEnded || !k.writeEnded && (len(k.openRequests) > 0 || len(k.output) > 0 || k.flushing) {
		return
	}
	k.writeEnded, k.closing = true, true
	k.front.unreadBytes.Add(-int64(len(k.output)))
	k.output = nil
	if k.peerGone {
		k.close()
		return
	}
	go func() {
		k.socket.flushed.Store(true)
		k.front.evictions.trim()
		span := k.front.opts.Limits.CloseTimeout
		if k.socket.unadmitted {
			span /= unadmittedLingerDivisor
		}
		gracefulclose.CloseWriteAndWait(k.socket.Conn, span)
		k.close()
	}()
}

// unadmittedLingerDivisor is the part of limits.Linger that a connection without a place has to end from the other side.
const unadmittedLingerDivisor = 10

// close closes the socket and gives up the connection's place.
func (k *conn) close() {
	k.socket.Close()
	k.slot.Release()
	k.front.evictions.remove(k.socket)
	k.front.mu.Lock()
	delete(k.front.conns, k)
	k.front.mu.Unlock()
	if k.socket.unadmitted {
		<-k.front.unadmitted
	}
}
