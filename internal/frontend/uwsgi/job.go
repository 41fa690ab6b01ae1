package uwsgi

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/limits"
)

// job is a request between the front that read it and the pool that takes it to a server. The front fills it, hands it over and waits
// for the core's answer; the pool reads the body out of it and may write the response into it.
type job struct {
	head     []byte // the packet's header and variables, as they came
	headOnly bool   // HEAD: the response has no body
	safe     bool   // running it twice does no harm
	stream   bool   // its response need not be kept whole
	due      time.Time
	body     *inflow
	conn     net.Conn    // the client's
	core     func() bool // asks the core whether the response may be passed on

	mu    sync.Mutex
	begun bool
	run   RunTimes // once it is over
}

// ran notes how the job's run went.
func (j *job) ran(r RunTimes) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.run = r
}

// begin says whether the response may be passed on from now on.
func (j *job) begin() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begun = j.begun || j.core()
	return j.begun
}

// passed says whether some of the response may be with the client. Once the core has settled the request, that can't change.
func (j *job) passed() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begun
}

// errEarlyEnd says that the client ended within the body that it announced.
var errEarlyEnd = errors.New("the client ended within its request's body")

// inflow is a request's body on its way from the client: one goroutine reads it off the connection into a bounded window, another takes
// it out of there. While the window is full the rest stays with the client.
type inflow struct {
	conn  net.Conn
	known packet.Body
	most  int64 // bytes of content; beyond it the body is refused
	idle  time.Duration

	mu     sync.Mutex
	change *sync.Cond
	window []byte // what has come and was not taken
	kept   []byte // what was taken, while all of it fits: a try on another server needs it again
	size   int    // of the window
	read   int64  // bytes of the body so far, framing included
	lost   bool   // kept no longer has all that was taken
	whole  bool
	err    error
	gone   chan struct{} // closed when the client can't be answered any more
	extra  chan struct{} // closed when bytes came behind the body
	chunks packet.Chunks
	once   sync.Once
	end    bool // a half-close counts as leaving
	runs   bool // of the goroutine that called start
	held   bool // the body is handed over whole, apart from this
	ended  chan struct{}
}

func newInflow(conn net.Conn, known packet.Body, l limits.Limits, most int64, endIsGone bool) *inflow {
	f := &inflow{conn: conn, known: known, most: most, idle: l.BodyIdleTimeout, size: l.BodyWindowBytes, gone: make(chan struct{}), extra: make(chan struct{}), ended: make(chan struct{}), end: endIsGone}
	f.change = sync.NewCond(&f.mu)
	f.whole = !known.Chunked && known.Length == 0
	return f
}

// add takes bytes that came. It returns how many of them are the body's.
func (f *inflow) add(b []byte) (n int, err error) {
	n = len(b)
	if f.known.Chunked {
		var done bool
		if n, done, err = f.chunks.Scan(b); err != nil {
			return 0, err
		}
		f.whole = done
		if f.chunks.Data > f.most {
			return 0, packet.ErrOversize
		}
	} else if left := f.known.Length - f.read; int64(n) >= left {
		n, f.whole = int(left), true
	}
	f.read += int64(n)
	f.window = append(f.window, b[:n]...)
	return n, nil
}

// start begins to read the body.
func (f *inflow) start() {
	f.runs = true
	go f.run()
}

// run reads until the client has gone, or stop is called. It is the only reader of the connection.
func (f *inflow) run() {
	defer close(f.ended)
	buf := make([]byte, 4<<10)
	for {
		f.mu.Lock()
		for !f.whole && f.err == nil && len(f.window) >= f.size {
			f.change.Wait()
		}
		if f.err != nil {
			f.mu.Unlock()
			return
		}
		room := len(buf)
		if !f.whole {
			room = min(room, max(1, f.size-len(f.window)))
		}
		whole := f.whole
		deadline := time.Time{} // after the body a client may be quiet until it is answered
		if !whole {
			deadline = time.Now().Add(f.idle)
		}
		err := f.conn.SetReadDeadline(deadline) // before the lock is let go: stop's own deadline must not be undone
		f.mu.Unlock()
		if err != nil {
			f.fail(err)
			return
		}
		n, err := f.conn.Read(buf[:room])
		if n > 0 && whole {
			f.once.Do(func() { close(f.extra) }) // bytes behind the body: the request may end elsewhere for others
			continue
		}
		if n > 0 {
			f.mu.Lock()
			took, bad := f.add(buf[:n])
			f.change.Broadcast()
			f.mu.Unlock()
			if bad != nil {
				f.fail(bad)
				return
			}
			if took < n {
				f.once.Do(func() { close(f.extra) })
			}
		}
		if err != nil {
			f.over(err, whole)
			return
		}
	}
}

// over notes that nothing more will come from the client.
func (f *inflow) over(err error, whole bool) {
	f.mu.Lock()
	whole = whole || f.whole
	f.mu.Unlock()
	switch {
	case !whole && errors.Is(err, io.EOF):
		f.fail(errEarlyEnd)
	case whole && errors.Is(err, io.EOF) && !f.end:
		// It has shut its side, and may still read the answer.
	default:
		f.fail(err)
	}
}

// fail ends the body.
func (f *inflow) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return
	}
	f.err = err
	f.change.Broadcast()
	close(f.gone)
}

// why is what ended the body; nil while nothing has.
func (f *inflow) why() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// left says whether the client has gone or sent what is bad; that the front has stopped reading is neither.
func (f *inflow) left() bool {
	err := f.why()
	return err != nil && !errors.Is(err, net.ErrClosed)
}

// all waits for the whole body and returns it; for requests whose digest is needed before they may run.
func (f *inflow) all(within time.Duration) ([]byte, error) {
	wake := time.AfterFunc(within, func() { f.fail(os.ErrDeadlineExceeded) })
	defer wake.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	for !f.whole && f.err == nil {
		f.change.Wait()
	}
	if !f.whole {
		return nil, f.err
	}
	return f.window, nil
}

// rewind puts what was taken back into the window. It returns false where some of it is no longer here.
func (f *inflow) rewind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return false
	}
	f.window = append(append([]byte(nil), f.kept...), f.window...)
	f.kept = nil
	return true
}

// complete says whether a further try could send all of the request.
func (f *inflow) complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost
}

// copyTo sends the body on as it comes, until it is whole or stop is closed. A server that takes nothing holds the client up, not memory.
func (f *inflow) copyTo(w net.Conn, write time.Duration, stop <-chan struct{}) error {
	wake := make(chan struct{})
	defer close(wake)
	go func() {
		select {
		case <-stop:
			f.mu.Lock()
			f.change.Broadcast()
			f.mu.Unlock()
		case <-wake:
		}
	}()
	for {
		f.mu.Lock()
		for len(f.window) == 0 && !f.whole && f.err == nil && !closed(stop) {
			f.change.Wait()
		}
		b, whole, err := f.window, f.whole, f.err
		f.window = nil
		if len(f.kept)+len(b) > f.size {
			f.kept, f.lost = nil, true
		}
		if !f.lost {
			f.kept = append(f.kept, b...)
		}
		f.change.Broadcast()
		f.mu.Unlock()
		switch {
		case closed(stop):
			return nil
		case len(b) == 0 && whole:
			return nil
		case len(b) == 0:
			return err
		}
		if err := w.SetWriteDeadline(time.Now().Add(write)); err != nil {
			return err
		}
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
}

// stop ends the reading, and says whether there may be bytes of the client's that were not read.
func (f *inflow) stop() (unread bool) {
	if !f.runs {
		return !f.whole
	}
	f.mu.Lock()
	unread = !f.whole
	f.mu.Unlock()
	f.fail(net.ErrClosed)
	_ = f.conn.SetReadDeadline(time.Now()) // where that fails the connection is closed already
	<-f.ended
	return unread || closed(f.extra)
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
