package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// habit is how a client uses its connections.
type habit int

const (
	steady habit = iota
	stubborn
	resting
	slow
	crowding
)

const (
	triesMost   = 4                     // of one keyed request
	undoPart    = 0.05                  // of requests are given up by their clients midway
	crossing    = 50 * time.Millisecond // a request that crosses the close of its connection within this is sent anew, once
	restMost    = 1500 * time.Millisecond
	smallPiece  = 7
	idleBetween = 3 * time.Millisecond // between the pieces that a slow client writes
)

// client is one balancer.
type client struct {
	play   *play
	habit  habit
	random *rand.Rand
	number int
	conn   *clientConn
}

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	number  int
	writing sync.Mutex // held while a message is written: a slow client's comes in pieces

	mu     sync.Mutex
	tag    int
	open   map[string]*request
	asked  bool // it is not to be used any more: the node said FIN
	closed bool // by this side
	over   bool
}

// send writes a request on the client's connection, or a new one. Without either it sends nothing.
func (c *client) send(key, class string, retry bool, instead string) {
	k := c.connection()
	if k == nil {
		return
	}
	p := c.play
	q := p.requests.create(key, class)
	stamp := time.Now()
	wait := p.plan.Site.deadline(class)
	fields := fmt.Sprintf("req=%s,ts=%d,via=%d,owner=acme,need=10,level=0.5,ms=%.2f", q.id, stamp.UnixMilli(), c.number, float64(p.plan.Clients.Work)/1e6)
	if p.plan.Site.TellsWait && c.random.IntN(2) == 0 {
		wait = min(wait, time.Duration(1+c.random.IntN(2000))*time.Millisecond) // some have very little time left
		fields += fmt.Sprint(",timeout=", wait.Milliseconds())
	}
	if key != "" {
		fields += ",opkey=" + key
	}
	if retry {
		fields += ",resent=1"
	}
	p.requests.change(func() {
		q.life, q.conn, q.resentOf = p.life(), k.number, instead
		q.due = stamp.Sub(p.record.began) + wait
	})
	tag := k.register(q) // from here on the connection's reader may have it
	p.record.add("client", "write", q.id, key, fmt.Sprint(class, " on ", k.number, " due ", q.due))
	text := array("DO", tag, class, fields, q.body)
	if err := c.write(k, text); err != nil {
		k.forget(tag)
		return
	}
	p.requests.change(func() { q.written = p.record.now() })
	if c.random.Float64() < undoPart {
		time.AfterFunc(time.Duration(c.random.Int64N(int64(wait))), func() { c.undo(k, tag, q) })
	}
}

// undo tells the node that nobody waits for a request.
func (c *client) undo(k *clientConn, tag string, q *request) {
	if !k.forget(tag) {
		return
	}
	c.play.requests.change(func() { q.undone = true })
	c.play.record.add("client", "undo", q.id, q.key, "")
	k.writing.Lock()
	defer k.writing.Unlock()
	_, _ = io.WriteString(k, array("UNDO", tag)) // where the connection is over nobody waits either
}

func (c *client) write(k *clientConn, text string) error {
	k.writing.Lock()
	defer k.writing.Unlock()
	_ = k.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if c.habit != slow {
		_, err := io.WriteString(k, text)
		return err
	}
	for len(text) > 0 {
		n := min(len(text), smallPiece+c.random.IntN(40))
		if _, err := io.WriteString(k, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		time.Sleep(idleBetween)
	}
	return nil
}

// connection is the one to send on: the present one as long as the client's habit lets it be used.
func (c *client) connection() *clientConn {
	if k := c.conn; k != nil && k.usable(c.habit) {
		return k
	}
	conn, err := net.DialTimeout("tcp", c.play.clientAddress(), time.Second)
	if err != nil {
		return nil
	}
	k := &clientConn{Conn: conn, number: c.play.nextConn(), open: map[string]*request{}}
	if old := c.conn; old != nil {
		old.closeWhenDone()
	}
	c.conn = k
	go c.read(k)
	return k
}

// usable says whether another request may be written.
func (k *clientConn) usable(h habit) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.over && !k.closed && len(k.open) < 32 && (!k.asked || h == stubborn || h == resting)
}

func (k *clientConn) register(q *request) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tag++
	tag := strconv.Itoa(k.tag)
	k.open[tag] = q
	return tag
}

// forget takes a request off the connection. It returns false where it is not open.
func (k *clientConn) forget(tag string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, there := k.open[tag]
	delete(k.open, tag)
	return there
}

// closeWhenDone closes a connection that is not used any more, once all on it is answered.
func (k *clientConn) closeWhenDone() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = true
	if len(k.open) == 0 {
		k.closed = true
		k.Close()
	}
}

// read takes answers until the connection ends.
func (c *client) read(k *clientConn) {
	in := bufio.NewReader(k)
	var err error
	for err == nil {
		var parts []string
		if parts, err = readArray(in); err == nil {
			c.take(k, parts)
		}
		if c.habit == slow {
			time.Sleep(idleBetween)
		}
	}
	c.ended(k, err)
}

// take notes an answer.
func (c *client) take(k *clientConn, parts []string) {
	p := c.play
	at := p.record.now()
	if len(parts) >= 2 && parts[0] == "0" && parts[1] == "FIN" {
		p.record.add("client", "told to close", "", "", fmt.Sprint(k.number))
		if c.habit != stubborn && c.habit != resting {
			k.closeWhenDone()
		}
		return
	}
	parts = append(parts, "", "", "", "")
	k.mu.Lock()
	q := k.open[parts[0]]
	delete(k.open, parts[0])
	done := k.asked && len(k.open) == 0
	k.mu.Unlock()
	if q == nil {
		p.record.add("client", "stray answer", "", "", fmt.Sprintf("%.80q on %d", parts, k.number))
		p.stray(k.number, parts[0])
		return
	}
	p.requests.change(func() { q.answers = append(q.answers, answer{at, parts[1], parts[3]}) })
	p.record.add("client", "answer", q.id, q.key, parts[1])
	if done {
		k.closeWhenDone()
	}
	if parts[1] != "ACK" && q.key != "" {
		c.retryLater(q, "")
	}
}

// ended notes how a connection ended, and sends anew what crossed the end.
func (c *client) ended(k *clientConn, err error) {
	p := c.play
	at := p.record.now()
	k.mu.Lock()
	k.over = true
	how := byNode
	if k.closed || p.resetByFault(at) {
		how = byClient
	}
	open := make([]*request, 0, len(k.open))
	for _, q := range k.open {
		open = append(open, q)
	}
	clear(k.open)
	k.mu.Unlock()
	k.Close()
	p.record.add("client", "end", "", "", fmt.Sprint(k.number, " ", err, " open ", len(open)))
	for _, q := range open {
		crossed := false
		p.requests.change(func() {
			q.ended, q.endedAt = how, at
			crossed = q.written == 0 || at-q.written <= crossing+p.plan.Links["client"].delay()
		})
		p.record.add("client", "unanswered", q.id, q.key, fmt.Sprint("its connection has ended, crossed ", crossed))
		if crossed || q.key != "" {
			c.retryLater(q, q.id)
		}
	}
}

// retryLater sends a keyed request again, or one that crossed a close.
func (c *client) retryLater(q *request, instead string) {
	p := c.play
	if q.key != "" && !p.mayRetry(q.key) || q.key == "" && q.resentOf != "" {
		return
	}
	time.AfterFunc(time.Duration(10+rand.IntN(300))*time.Millisecond, func() {
		if p.sending() {
			retry := &client{play: p, habit: steady, random: rand.New(rand.NewPCG(p.plan.Seed, uint64(p.nextConn()))), number: c.number}
			retry.send(q.key, q.class, true, instead)
			retry.conn.finish()
		}
	})
}

// finish closes a client's connection once all on it is answered.
func (k *clientConn) finish() {
	if k != nil {
		k.closeWhenDone()
	}
}

// run sends requests until the play's traffic is over.
func (c *client) run(interval time.Duration) {
	p := c.play
	for n := 0; p.sending(); n++ {
		class, key := "read", ""
		switch c.random.IntN(5) {
		case 0, 1:
			class, key = "book", fmt.Sprintf("k%d.%d", c.number, n)
		case 2:
			class = "move"
		}
		c.send(key, class, false, "")
		rest := time.Duration(c.random.ExpFloat64() * float64(interval))
		if c.habit == resting {
			rest = time.Duration(c.random.Int64N(int64(restMost)))
		}
		time.Sleep(min(rest, restMost))
	}
}

// misbehave sends what no balancer sends, until the play's traffic is over.
func (p *play) misbehave(random *rand.Rand) {
	for p.sending() {
		conn, err := net.DialTimeout("tcp", p.clientAddress(), time.Second)
		if err == nil {
			whole := array("DO", "1", "read", "req=00000000000000ff,ts=1,via=1,owner=acme,need=10", "x")
			text := []string{"", "*", "nonsense\r\n", whole[:len(whole)/2], array("DO", "0"), "*1000000000\r\n", array("NONE", "1", "2")}[random.IntN(7)]
			_, _ = io.WriteString(conn, text)
			time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			conn.Close()
		}
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
}

// array is a RESP array of bulk strings.
func array(parts ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(parts))
	for _, part := range parts {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(part), part)
	}
	return b.String()
}

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	count, err := readCount(in, '*')
	if err != nil {
		return nil, err
	}
	parts := make([]string, 0, count)
	for range count {
		length, err := readCount(in, '$')
		if err != nil {
			return nil, err
		}
		bytes := make([]byte, length+2)
		if _, err := io.ReadFull(in, bytes); err != nil {
			return nil, err
		}
		parts = append(parts, string(bytes[:length]))
	}
	return parts, nil
}

func readCount(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if len(line) < 2 || line[0] != kind {
		return 0, fmt.Errorf("%.40q where %q and a count are wanted", line, kind)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("%.40q is no count", line)
	}
	return n, nil
}
