package resp

import (
	"errors"
	"os"
	"time"

	"github.com/tidwall/redcon"
	"sloehitch/internal/frontend/gracefulclose"
	"sloehitch/internal/platform/sockerr"
)

// write queues an answer, which closes the tag. It never blocks: a peer that doesn't read holds up nobody
// else, and one that leaves too much unread is cut off.
func (k *conn) write(tag, word string, fields, body []byte, closes string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = time.Now()
	if closes != "" {
		if _, open := k.open[closes]; !open {
			return // undone meanwhile
		}
		delete(k.open, closes)
	}
	k.queue(tag, word, fields, body)
	k.seat.Set(k.state())
}

func (k *conn) queue(tag, word string, fields, body []byte) {
	if k.dead {
		return
	}
	parts, had := 2, len(k.out)
	if len(fields) > 0 || len(body) > 0 {
		parts = 4
	}
	k.out = redcon.AppendArray(k.out, parts)
	k.out = redcon.AppendBulkString(k.out, tag)
	k.out = redcon.AppendBulkString(k.out, word)
	if parts == 4 {
		k.out = redcon.AppendBulk(k.out, fields)
		k.out = redcon.AppendBulk(k.out, body)
	}
	k.front.unread.Add(int64(len(k.out) - had))
	lim := k.front.opts.Limits
	if n := len(k.out); n > lim.Backlog || n > lim.Backlog/backlogPart && k.front.unread.Load() > int64(lim.Backlogs) {
		k.cut()
		return
	}
	if !k.writing {
		k.writing = true
		go k.flush()
	}
}

// backlogPart is the part of a peer's own bound that it may leave unread when all of them together leave too much.
const backlogPart = 16

// passingRest is how long a read or write rests after an error that passes by itself.
const passingRest = 2 * time.Millisecond

// flush writes what is queued. A peer may read as slowly as it likes, as long as it reads something within each
// limits.Write.
func (k *conn) flush() {
	var batch []byte
	for {
		k.mu.Lock()
		k.front.unread.Add(-int64(len(batch)))
		if k.dead || len(k.out) == 0 {
			k.writing = false
			k.seat.Set(k.state())
			k.closeIfDone()
			k.mu.Unlock()
			return
		}
		batch, k.out = k.out, batch[:0]
		k.mu.Unlock()
		if err := k.writeAll(batch); err != nil {
			k.mu.Lock()
			k.cut()
			k.mu.Unlock()
		}
	}
}

func (k *conn) writeAll(b []byte) error {
	since := time.Now() // when something was written last
	for len(b) > 0 {
		if err := k.net.SetWriteDeadline(time.Now().Add(k.front.opts.Limits.Write)); err != nil {
			return err
		}
		n, err := k.net.Write(b)
		b = b[n:]
		switch {
		case err == nil, n > 0 && errors.Is(err, os.ErrDeadlineExceeded):
			since = time.Now()
		case sockerr.Passing(err) && time.Since(since) < k.front.opts.Limits.Write:
			time.Sleep(passingRest) // the connection is as good as before, and an answer is owed on it
		default:
			return err
		}
	}
	return nil
}

// cut closes the socket now; the reader sees it and tells the core. k.mu is held.
func (k *conn) cut() {
	k.front.opts.Log.Debug("a connection is cut", "peer", k.net.RemoteAddr(), "unread", len(k.out), "open", len(k.open))
	k.dead, k.lost = true, true
	k.front.unread.Add(-int64(len(k.out)))
	k.out = nil
	k.net.Close()
}

// closeIfDone closes the socket once nothing more is taken and all is written; k.mu is held.
func (k *conn) closeIfDone() {
	if k.ending || !k.ended || !k.dead && (len(k.open) > 0 || len(k.out) > 0 || k.writing) {
		return
	}
	k.dead, k.ending = true, true
	k.front.unread.Add(-int64(len(k.out)))
	k.out = nil
	if k.lost {
		k.close()
		return
	}
	go func() {
		k.net.settled.Store(true)
		k.front.evicted.trim()
		span := k.front.opts.Limits.Linger
		if k.net.unseated {
			span /= unseatedPart
		}
		gracefulclose.End(k.net.Conn, span)
		k.close()
	}()
}

// unseatedPart is the part of limits.Linger that a connection without a place has to end from the other side.
const unseatedPart = 10

// close closes the socket and gives up the connection's place.
func (k *conn) close() {
	k.net.Close()
	k.seat.Leave()
	k.front.evicted.remove(k.net)
	k.front.mu.Lock()
	delete(k.front.conns, k)
	k.front.mu.Unlock()
	if k.net.unseated {
		<-k.front.unseated
	}
}
