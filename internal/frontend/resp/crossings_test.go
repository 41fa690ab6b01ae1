package resp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// desk is a core that holds each request until the test answers it.
type desk struct {
	mu      sync.Mutex
	replies map[string]func(node.Response)
	gone    []string
	came    chan string
}

func newDesk() *desk {
	return &desk{replies: map[string]func(node.Response){}, came: make(chan string, 4096)}
}

func (d *desk) Submit(q node.Request, reply func(node.Response)) {
	d.mu.Lock()
	d.replies[q.ID] = reply
	d.mu.Unlock()
	d.came <- q.ID
}

func (d *desk) Cancel(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gone = append(d.gone, id)
}

func (d *desk) RejectionStatus(_, key string) node.Status {
	if key == "ran" {
		return node.StatusFailed
	}
	return node.StatusRejected
}

func (d *desk) Abort(id string) { d.answer(id, node.Response{Status: node.StatusRejected}) }

func (d *desk) answer(id string, a node.Response) {
	d.mu.Lock()
	reply := d.replies[id]
	d.mu.Unlock()
	reply(a)
}

// restless is a standing that wants idle connections closed at once.
type restless struct{ mood }

func (restless) IdleTimeout() time.Duration { return 1 }

// opened is a front on a socket, in front of a desk.
func opened(t *testing.T, s NodeStatus, change func(*limits.Limits)) (*Front, *desk, *Listener) {
	t.Helper()
	lim := limits.For(64, 256)
	if change != nil {
		change(&lim)
	}
	d := newDesk()
	f := New(Options{Core: d, Status: s, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: lim, Log: standin.Quiet})
	ln := f.Listen(standin.Listen(t), false)
	go f.Serve(ln)
	t.Cleanup(f.Close)
	t.Cleanup(func() { ln.Close() })
	return f, d, ln
}

// rest reads what is left of a connection; it fails if that ends with a reset.
func rest(t *testing.T, b *standin.Balancer) string {
	t.Helper()
	if err := b.SetReadDeadline(time.Now().Add(standin.Patience)); err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(b.Conn)
	if err != nil {
		t.Errorf("after %q: %v", all, err)
	}
	return string(all)
}

func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(standin.Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it did not come to it: %s", what)
		}
	}
}

func (f *Front) only() *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k := range f.conns {
		return k
	}
	return nil
}

const (
	green   = "*2\r\n$1\r\n1\r\n$5\r\nGREEN\r\n"
	fin     = "*2\r\n$1\r\n0\r\n$3\r\nFIN\r\n"
	another = "*5\r\n$2\r\nDO\r\n$1\r\n7\r\n$4\r\nbook\r\n"
)

// TestARequestBesideTheCloseOfARestingConnection: it crosses the close, so it is left unread, and the close does not reset what was
// answered before, though that is still unread.
func TestARequestBesideTheCloseOfARestingConnection(t *testing.T) {
	f, d, ln := opened(t, restless{}, func(l *limits.Limits) { l.PeerCloseTimeout, l.CloseTimeout = 0, time.Hour })
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	until(t, "answered", func() bool { k := f.only(); return k != nil && k.isIdle() })
	f.CloseIdle() // asks
	until(t, "asked", func() bool { return f.only().isIdle() })
	f.CloseIdle() // ends it from this side
	until(t, "no longer read", func() bool { k := f.only(); k.mu.Lock(); defer k.mu.Unlock(); return k.readEnded })
	b.Do(7, "book", req, time.Now(), "body", "") // it comes in whole, and stays unread until the peer has ended too
	b.Send(another)                              // and half of one more
	if got := rest(t, b); got != green+fin {
		t.Errorf("%q, want the answer, FIN and the end", got)
	}
	b.Send(standin.Array("PING", "8")) // a reset would have come by now
	b.Close()
	until(t, "closed", func() bool { return f.OpenConnections() == 0 })
	if len(d.came) > 0 || len(d.gone) > 0 {
		t.Errorf("%d requests were taken, %v told as gone", len(d.came), d.gone)
	}
}

// isIdle says whether nothing is open or waits to be written.
func (k *conn) isIdle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.messagesRead > 0 && len(k.openRequests) == 0 && len(k.output) == 0 && !k.flushing
}

const req = "9b1f03aa5c7e2d41"

// TestAMessageReadAsTheConnectionIsCut: it was in hand as the socket was closed. No answer can follow, so it must not run.
func TestAMessageReadAsTheConnectionIsCut(t *testing.T) {
	f, d, ln := opened(t, mood{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	b.Read()
	until(t, "idle", func() bool { return f.only().isIdle() })
	k := f.only()
	k.mu.Lock()
	k.abort()
	k.mu.Unlock()
	if err := k.handleMessage([][]byte{[]byte("DO"), []byte("7"), []byte("book"), []byte(fine), nil}); !errors.Is(err, errAborted) || len(d.came) > 0 {
		t.Errorf("%v, %d requests taken", err, len(d.came))
	}
}

// TestWhatWasReadIsAnswered: requests arrive in the very moment in which their connection is closed from this side, a new one or one that
// rests. Each that was read is answered before the end; the others' callers see the end alone.
func TestWhatWasReadIsAnswered(t *testing.T) {
	for play := range 200 {
		f, d, ln := opened(t, mood{}, nil)
		fresh, resting := standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String())
		resting.Send(standin.Array("PING", "1"))
		resting.Read()
		until(t, "both are there", func() bool { return f.OpenConnections() == 2 })
		go func() {
			for id := range d.came {
				d.answer(id, node.Response{Status: node.StatusServed, Result: []byte(id)})
			}
		}()
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			time.Sleep(time.Duration(play) * time.Microsecond)
			f.Shutdown(standin.Patience)
		}()
		fresh.Do(7, "book", "9b1f03aa5c7e2d41", time.Now(), "body", "")
		resting.Do(7, "book", "9b1f03aa5c7e2d42", time.Now(), "body", "")
		answers := 0
		for _, b := range []*standin.Balancer{fresh, resting} {
			for got := b.Read(); got != nil; got = b.Read() {
				answers++
			}
			b.Close()
		}
		<-finished
		d.mu.Lock()
		read := len(d.replies)
		d.mu.Unlock()
		if answers != read {
			t.Fatalf("play %d: %d requests were read, %d answered", play, read, answers)
		}
		close(d.came)
	}
}

// TestWhatHasArrivedIsRead: what stands with the system as a connection is closed is read, what comes after is not.
func TestWhatHasArrivedIsRead(t *testing.T) {
	ln := standin.Listen(t)
	b := standin.Dial(t, ln.Addr().String())
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	lim := limits.For(64, 256)
	g := &framedConn{Conn: c, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now(), finalBytes: lim.FrameBytes}
	b.Do(7, "book", req, time.Now(), "body", "")
	control, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	until(t, "it has arrived", func() (there bool) {
		err := control.Control(func(fd uintptr) {
			state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			n, err := unix.Poll(state, 0)
			there = err == nil && n == 1
		})
		return err == nil && there
	})
	buf := make([]byte, 4096)
	g.timeoutFrom = time.Now().Add(-2 * g.messageTimeout) // it stood still since before the request came
	if n, err := g.Read(buf[:10]); err != nil || !strings.HasPrefix(string(buf[:n]), "*5") {
		t.Errorf("%q, %v past the deadline, want what has arrived", buf[:n], err)
	}
	g.stopReading()
	g.stopReading()
	if n, err := g.Read(buf); err != nil || !strings.Contains(string(buf[:n]), "body") {
		t.Errorf("%q, %v, want the rest of the request", buf[:n], err)
	}
	if n, err := g.Read(buf); n != 0 || !errors.Is(err, errReadingStopped) {
		t.Errorf("%d bytes, %v, want the end of reading", n, err)
	}
	late := &framedConn{Conn: c, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now().Add(-2 * time.Hour), finalBytes: lim.FrameBytes}
	if n, err := late.Read(buf); n != 0 || !errors.Is(err, errMessageTimeout) {
		t.Errorf("%d bytes, %v where nothing has come by the deadline", n, err)
	}
	b.Close()
	g.finalBytes = 1
	until(t, "the peer's end is seen", func() bool { _, err := g.Read(buf); return errors.Is(err, io.EOF) })
}

// TestWhatCannotBeReadDoesNotResetWhatWasAnswered: what came whole before it is answered, and all answers come, however much follows.
func TestWhatCannotBeReadDoesNotResetWhatWasAnswered(t *testing.T) {
	f, d, ln := opened(t, mood{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	b.Do(7, "book", req, time.Now(), "body", "")
	<-d.came
	b.Send("nonsense")
	until(t, "given up", func() bool { k := f.only(); k.mu.Lock(); defer k.mu.Unlock(); return k.readEnded })
	b.Send(strings.Repeat("more of it\r\n", 4000))
	if got := rest(t, b); got != green+"*2\r\n$1\r\n7\r\n$3\r\nNAK\r\n" {
		t.Errorf("%q", got)
	}
	b.Close()
	until(t, "closed", func() bool { return f.OpenConnections() == 0 })
}

// TestMakingRoomTakesNoAnswerAlong: a connection that makes room ends from this side; its answer comes, and what it sends then is
// not taken. Only a few such may wait for their peers: the longest is cut.
func TestMakingRoomTakesNoAnswerAlong(t *testing.T) {
	f, d, ln := opened(t, mood{}, func(l *limits.Limits) {
		l.MaxConnections, l.IdleConnectionGrace, l.NewConnectionGrace, l.EvictedConnections, l.CloseTimeout = 1, 0, 0, 2, time.Hour
	})
	var peers []*standin.Balancer
	for range 4 {
		b := standin.Dial(t, ln.Addr().String())
		b.Send(standin.Array("PING", "1"))
		until(t, "seated and answered", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			for k := range f.conns {
				if k.socket.RemoteAddr().String() == b.LocalAddr().String() {
					return k.isIdle()
				}
			}
			return false
		})
		peers = append(peers, b)
	}
	until(t, "three made room", func() bool { return f.evictions.len() == 2 })
	b := peers[1]
	b.Do(7, "book", req, time.Now(), "body", "")
	if got := rest(t, b); got != green {
		t.Errorf("%q, want the answer and the end", got)
	}
	b.Send(standin.Array("PING", "8")) // a reset would have come by now
	if len(d.came) > 0 {
		t.Error("a request was taken from one that had made room")
	}
	until(t, "the first was cut", func() bool { _, err := peers[0].Write([]byte("x")); return err != nil })
}

// TestManyMakeRoomAtOnce: more connections make room in one moment than may wait for their peers, and on each a request has just come. Each that
// was read is refused on its connection, none is cut before.
func TestManyMakeRoomAtOnce(t *testing.T) {
	const conns = 6
	for play := range 30 {
		f, _, ln := opened(t, mood{}, func(l *limits.Limits) { l.EvictedConnections, l.UnadmittedConnections = 1, conns })
		var peers []*standin.Balancer
		for range conns {
			b := standin.Dial(t, ln.Addr().String())
			b.Send(standin.Array("PING", "1"))
			b.Read()
			peers = append(peers, b)
		}
		until(t, "all idle", func() bool { return !slices.ContainsFunc(f.connections(), func(k *conn) bool { return !k.isIdle() }) })
		all := f.connections()
		for _, k := range all {
			k.slot.Release() // it was given away
		}
		for _, b := range peers {
			b.Do(7, "book", req, time.Now(), "body", "")
		}
		for _, k := range all {
			f.evict(k.socket)
		}
		for i, b := range peers {
			if got := b.Read(); len(got) < 2 || got[1] != "NAK" {
				t.Fatalf("play %d: %q on connection %d, want a refusal", play, got, i)
			}
			b.Close()
		}
		until(t, "no more wait than may", func() bool { return f.evictions.len() <= 1 })
	}
}

// TestNoPlaceForANewConnection: all places are busy, and more connections come with a request than may wait beside them. Each is answered: refused,
// or failed where its key has run. One that says nothing is closed, and those in their places are served.
func TestNoPlaceForANewConnection(t *testing.T) {
	f, d, ln := opened(t, mood{}, func(l *limits.Limits) { l.MaxConnections, l.UnadmittedConnections = 2, 2 })
	var busy []*standin.Balancer
	for i := range 2 {
		b := standin.Dial(t, ln.Addr().String())
		b.Do(7, "book", fmt.Sprintf("%016x", i), time.Now(), "body", ",opkey=k")
		busy = append(busy, b)
		<-d.came
	}
	silent := standin.Dial(t, ln.Addr().String())
	var answers sync.WaitGroup
	for i := range 20 {
		b := standin.Dial(t, ln.Addr().String())
		key, want := "new", "NAK"
		if i%2 == 0 {
			key, want = "ran", "FAIL"
		}
		b.Do(7, "book", fmt.Sprintf("%016x", 100+i), time.Now(), "body", ",opkey="+key)
		answers.Add(1)
		go func() {
			defer answers.Done()
			if got := b.Read(); len(got) < 2 || got[0] != "7" || got[1] != want {
				t.Errorf("newcomer %d: %q, want %s", i, got, want)
			}
			if got := b.Read(); got != nil {
				t.Errorf("newcomer %d: %q behind its answer, want the end", i, got)
			}
			b.Close()
		}()
	}
	if got := silent.Read(); got != nil {
		t.Errorf("%q to one that said nothing", got)
	}
	answers.Wait()
	if len(d.came) > 0 {
		t.Errorf("%d requests without a place were taken", len(d.came))
	}
	for i, b := range busy {
		d.answer(fmt.Sprintf("%016x", i), node.Response{Status: node.StatusServed})
		if got := b.Read(); len(got) < 2 || got[1] != "ACK" {
			t.Errorf("in its place: %q", got)
		}
	}
	until(t, "all who had no place are gone", func() bool { return len(f.unadmitted) == 0 })
}

// TestANewcomerWaitsNoLongerThanItsCallerCan: all places are with connections that spoke just now and keep them for long. Newcomers are read at
// once, and refused in good time for callers that have little; one whose caller says nothing of it gets the first place that is free.
func TestANewcomerWaitsNoLongerThanItsCallerCan(t *testing.T) {
	f, d, ln := opened(t, mood{}, func(l *limits.Limits) {
		l.MaxConnections, l.UnadmittedConnections, l.IdleConnectionGrace = 2, 2, time.Hour
	})
	var idle []*standin.Balancer
	for range 2 {
		b := standin.Dial(t, ln.Addr().String())
		b.Send(standin.Array("PING", "1") + standin.Array("PING", "2"))
		b.Read()
		b.Read()
		idle = append(idle, b)
	}
	patient := standin.Dial(t, ln.Addr().String())
	patient.Do(7, "book", req, time.Now(), "body", "")
	for range 3 {
		b := standin.Dial(t, ln.Addr().String())
		b.Do(7, "book", req, time.Now(), "body", ",timeout=160")
		if got := b.Read(); len(got) < 2 || got[1] != "NAK" {
			t.Errorf("%q, want a refusal", got)
		}
		b.Close()
	}
	if len(d.came) > 0 {
		t.Fatal("taken without a place")
	}
	until(t, "only the patient one waits", func() bool { return len(f.unadmitted) == 1 })
	idle[0].Close()
	select {
	case <-d.came:
	case <-time.After(standin.Patience):
		t.Fatal("not taken though a place is free")
	}
	d.answer(req, node.Response{Status: node.StatusServed})
	if got := patient.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("%q, want the answer", got)
	}
	until(t, "nobody is without a place", func() bool { return len(f.unadmitted) == 0 })
}

// gatedListener accepts nothing while the gate is shut.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (g *gatedListener) Accept() (net.Conn, error) {
	<-g.gate
	return g.TCPListener.Accept()
}

// TestAcceptBesideTheCloseOfTheListener: who is in the queue as the listener is told to close is served, whole requests and halves;
// it closes then. The front does not count as free before that.
func TestAcceptBesideTheCloseOfTheListener(t *testing.T) {
	d := newDesk()
	f := New(Options{Core: d, Status: mood{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: limits.For(64, 256), Log: standin.Quiet})
	gate := make(chan struct{})
	under := standin.Listen(t).(*net.TCPListener)
	ln := f.Listen(&gatedListener{under, gate}, false)
	go f.Serve(ln)
	t.Cleanup(f.Close)
	const peers = 20
	var waiting []*standin.Balancer
	for range peers {
		b := standin.Dial(t, ln.Addr().String())
		b.Send(standin.Array("PING", "1"))
		waiting = append(waiting, b)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if f.OpenConnections() == 0 {
		t.Error("free, with a queue that nobody looked at")
	}
	close(gate)
	for _, b := range waiting {
		if got := b.Read(); len(got) < 2 || got[1] != "GREEN" {
			t.Fatalf("answer %q", got)
		}
		b.Close()
	}
	until(t, "free", func() bool { return f.OpenConnections() == 0 })
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("the listener is open")
	}
}

// TestASharedListenerIsLeftAtOnce: what waits in its queue is the other process's.
func TestASharedListenerIsLeftAtOnce(t *testing.T) {
	f := New(Options{Core: newDesk(), Status: mood{}, Limits: limits.For(64, 256), Log: standin.Quiet})
	gate := make(chan struct{})
	under := standin.Listen(t).(*net.TCPListener)
	own, err := under.File()
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.FileListener(own) // as the next process has it
	own.Close()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	ln := f.Listen(&gatedListener{under, gate}, true)
	go f.Serve(ln)
	t.Cleanup(f.Close)
	b := standin.Dial(t, ln.Addr().String())
	b.Send("x")
	ln.Close()
	close(gate)
	until(t, "left", func() bool { return f.OpenConnections() == 0 })
	c, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if n, err := io.ReadFull(c, make([]byte, 1)); n != 1 {
		t.Error(err)
	}
}

// TestTheEndOfTheProcess: all that was answered comes, and the end after it without a reset, to one that rests, one that stands in
// half a line, one whose answer comes late and one that has never spoken. Finish ends with them, or as its time is over.
func TestTheEndOfTheProcess(t *testing.T) {
	f, d, ln := opened(t, mood{}, nil)
	resting, half, late, silent := standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String()), standin.Dial(t, ln.Addr().String())
	resting.Send(standin.Array("PING", "1"))
	half.Send(standin.Array("PING", "1") + another)
	late.Do(7, "book", req, time.Now(), "body", "")
	<-d.came
	until(t, "all are there", func() bool { return f.OpenConnections() == 4 })
	until(t, "answered", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for k := range f.conns {
			if k.isIdle() {
				n++
			}
		}
		return n == 2
	})
	d.answer(req, node.Response{Status: node.StatusServed, Result: bytes.Repeat([]byte("r"), 4096)})
	f.Shutdown(0) // nobody has ended yet
	if f.OpenConnections() == 0 {
		t.Error("all have ended already")
	}
	until(t, "nothing more is read", func() bool {
		return !slices.ContainsFunc(f.connections(), func(k *conn) bool { k.mu.Lock(); defer k.mu.Unlock(); return !k.readEnded })
	})
	ended := make(chan struct{})
	go func() {
		f.Shutdown(standin.Patience)
		close(ended)
	}()
	resting.Do(8, "book", "9b1f03aa5c7e2d42", time.Now(), "body", "") // too late to be taken
	half.Send("$9\r\nreq=")                                           // nor is this
	for b, want := range map[*standin.Balancer]string{resting: green, half: green, silent: "", late: "*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$0\r\n\r\n$4096\r\n" + strings.Repeat("r", 4096) + "\r\n"} {
		if got := rest(t, b); got != want {
			t.Errorf("%.60q, want %.60q", got, want)
		}
		b.Close()
	}
	<-ended
	if f.OpenConnections() != 0 || len(d.came) > 0 {
		t.Errorf("%d connections are open, %d requests were taken", f.OpenConnections(), len(d.came))
	}
}

// slowly is a connection whose peer takes a few bytes in each write's time.
type slowly struct {
	net.Conn
	got []byte
	nap int // writes in a row that it takes nothing
}

func (s *slowly) SetWriteDeadline(time.Time) error { return nil }
func (s *slowly) Write(b []byte) (int, error) {
	n := min(3, len(b))
	if s.nap > 0 {
		n = 0
	}
	s.got = append(s.got, b[:n]...)
	if n < len(b) {
		return n, os.ErrDeadlineExceeded
	}
	return n, nil
}

// short is a connection whose reads and writes fail now and then for want of something in the system, or come to little.
type short struct {
	net.Conn
	in, out []byte
	calls   int
}

func (s *short) SetReadDeadline(time.Time) error  { return nil }
func (s *short) SetWriteDeadline(time.Time) error { return nil }

// fails is the error of every call but each third.
func (s *short) fails() error {
	if s.calls++; s.calls%3 == 0 {
		return nil
	}
	return &net.OpError{Op: "read", Err: os.NewSyscallError("read", []syscall.Errno{syscall.ENOBUFS, syscall.EINTR, syscall.ENOMEM}[s.calls%2])}
}

func (s *short) Read(b []byte) (int, error) {
	if err := s.fails(); err != nil {
		return 0, err
	}
	if len(s.in) == 0 {
		return 0, io.EOF
	}
	n := copy(b, s.in[:1])
	s.in = s.in[n:]
	return n, nil
}

func (s *short) Write(b []byte) (int, error) {
	if err := s.fails(); err != nil {
		return 0, err
	}
	s.out = append(s.out, b[0])
	return 1, nil
}

// TestErrorsThatPass cost no connection: all is read, and all is written.
func TestErrorsThatPass(t *testing.T) {
	lim := limits.For(64, 256)
	text := standin.Array("PING", "1")
	s := &short{in: []byte(text)}
	g := &framedConn{Conn: s, validator: newFrameValidator(&lim), messageTimeout: time.Hour, timeoutFrom: time.Now()}
	if got, err := io.ReadAll(g); err != nil || string(got) != text {
		t.Errorf("read %q, %v", got, err)
	}
	k := &conn{front: New(Options{Limits: lim, Log: standin.Quiet}), socket: g}
	if err := k.writeAll([]byte("an answer")); err != nil || string(s.out) != "an answer" {
		t.Errorf("wrote %q, %v", s.out, err)
	}
}

// TestASlowReader gets its answer whole as long as it reads on; one that does not is cut.
func TestASlowReader(t *testing.T) {
	f := New(Options{Core: newDesk(), Status: mood{}, Limits: limits.For(64, 256), Log: standin.Quiet})
	peer := &slowly{}
	k := &conn{front: f, socket: &framedConn{Conn: peer}}
	if err := k.writeAll([]byte("an answer of some length")); err != nil || string(peer.got) != "an answer of some length" {
		t.Errorf("%q, %v", peer.got, err)
	}
	peer.nap = 1
	if err := k.writeAll([]byte("more")); err == nil {
		t.Error("one that takes nothing is waited for")
	}
}

// TestWhatNobodyReadsStaysWithinItsBounds: that of each peer, and that of all.
func TestWhatNobodyReadsStaysWithinItsBounds(t *testing.T) {
	lim := limits.For(64, 256)
	lim.TotalUnreadAnswerBytes = 1 << 20
	f := New(Options{Core: newDesk(), Status: mood{}, Limits: lim, Log: standin.Quiet})
	const peers = 40
	most := int64(lim.TotalUnreadAnswerBytes + peers*lim.UnreadAnswerBytes/sharedBacklogDivisor)
	var conns []*conn
	for range peers {
		ours, theirs := net.Pipe() // holds nothing
		t.Cleanup(func() { theirs.Close() })
		conns = append(conns, &conn{front: f, socket: &framedConn{Conn: ours}, slot: f.slots.Acquire(func() {}), openRequests: map[string]string{}})
	}
	peak, body := int64(0), make([]byte, 4096)
	for range lim.UnreadAnswerBytes/len(body) + 2 {
		for _, k := range conns {
			k.enqueueAnswer("1", "ACK", nil, body, false)
			if peak = max(peak, f.unreadBytes.Load()); peak > most {
				t.Fatalf("%d bytes wait for peers, %d at most", peak, most)
			}
		}
	}
	for _, k := range conns {
		k.mu.Lock()
		k.abort()
		k.mu.Unlock()
	}
	if peak <= int64(lim.TotalUnreadAnswerBytes) {
		t.Errorf("%d bytes waited at most: the bound of %d was not reached", peak, lim.TotalUnreadAnswerBytes)
	}
	until(t, "nothing waits any more", func() bool { return f.unreadBytes.Load() == 0 })
}

// narrowListener's connections hold next to nothing of what is written to them.
type narrowListener struct{ *net.TCPListener }

func (n narrowListener) Accept() (net.Conn, error) {
	c, err := n.TCPListener.AcceptTCP()
	if err == nil {
		err = c.SetWriteBuffer(4 << 10)
	}
	return c, err
}

// TestAFloodThatNobodyReads: however many peers ask and do not read, what waits for them stays within the bound of all, and one that
// reads gets its answers.
func TestAFloodThatNobodyReads(t *testing.T) {
	lim := limits.For(64, 256)
	lim.TotalUnreadAnswerBytes, lim.WriteTimeout = 128<<10, time.Hour
	d := newDesk()
	f := New(Options{Core: d, Status: mood{}, Classes: map[string]int{"book": 0}, Tenants: map[string]int{"acme": 0}, Limits: lim, Log: standin.Quiet})
	ln := f.Listen(narrowListener{standin.Listen(t).(*net.TCPListener)}, false)
	go f.Serve(ln)
	t.Cleanup(f.Close)
	good := standin.Dial(t, ln.Addr().String())
	const peers = 12
	most := int64(lim.TotalUnreadAnswerBytes + peers*lim.UnreadAnswerBytes/sharedBacklogDivisor)
	var flooding sync.WaitGroup
	for range peers {
		b := standin.Dial(t, ln.Addr().String())
		if err := b.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		flooding.Go(func() {
			flood := []byte(strings.Repeat(standin.Array("PING", "1"), 1024))
			_ = b.SetWriteDeadline(time.Now().Add(standin.Patience))
			for range 40 { // 1 MB of answers, unless it is cut before
				if _, err := b.Write(flood); err != nil {
					return
				}
				if n := f.unreadBytes.Load(); n > most {
					t.Errorf("%d bytes wait for peers, %d at most", n, most)
				}
			}
		})
	}
	flooding.Wait()
	until(t, "the bound of all holds", func() bool { return f.unreadBytes.Load() <= most })
	good.Do(7, "book", req, time.Now(), "body", "")
	<-d.came
	d.answer(req, node.Response{Status: node.StatusServed, Result: []byte("r")})
	if got := good.Read(); len(got) < 2 || got[1] != "ACK" {
		t.Errorf("answer %q", got)
	}
	f.Shutdown(0)
	f.mu.Lock()
	for k := range f.conns {
		k.socket.Close()
	}
	f.mu.Unlock()
	until(t, "nothing waits any more", func() bool { return f.unreadBytes.Load() == 0 && f.OpenConnections() == 0 })
}
