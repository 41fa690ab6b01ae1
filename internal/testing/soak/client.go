package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

// behavior is how a client uses its connections; the fields of Clients describe each one.
type behavior int

const (
	steady behavior = iota
	ignoringClose
	idling
	slow
	bursting
)

const (
	maxAttempts     = 4                     // of one keyed request
	cancelFraction  = 0.05                  // fraction of requests that their clients cancel before the deadline
	closeRaceWindow = 50 * time.Millisecond // a request written within this time before its connection ends is sent again, once
	maxIdle         = 1500 * time.Millisecond
	minPieceBytes   = 7
	pieceInterval   = 3 * time.Millisecond // between the pieces that a slow client writes
)

// client is a load balancer in front of the node.
type client struct {
	testRun  *testRun
	behavior behavior
	random   *rand.Rand
	number   int
	conn     *clientConn
}

// send writes a request on the client's connection, or on a new one if that cannot be used. If it cannot connect, it sends nothing.
// resentOf is the id of the request that this one is a copy of, if that one's connection ended.
func (c *client) send(key, class string, retry bool, resentOf string) {
	k := c.connection()
	if k == nil {
		return
	}
	run := c.testRun
	q := run.requests.add(key, class)
	stamp := time.Now()
	wait := run.plan.Site.deadline(class)
	fields := fmt.Sprintf("req=%s,ts=%d,via=%d,owner=acme,need=10,level=0.5,ms=%.2f", q.id, stamp.UnixMilli(), c.number, float64(run.plan.Clients.Work)/1e6)
	if run.plan.Site.SendsTimeout && c.random.IntN(2) == 0 {
		wait = min(wait, time.Duration(1+c.random.IntN(2000))*time.Millisecond) // some requests have very little time left
		fields += fmt.Sprint(",timeout=", wait.Milliseconds())
	}
	if key != "" {
		fields += ",opkey=" + key
	}
	if retry {
		fields += ",resent=1"
	}
	run.requests.update(func() {
		q.process, q.conn, q.resentOf = run.latestProcess(), k.number, resentOf
		q.due = stamp.Sub(run.record.began) + wait
	})
	tag, open := k.register(q) // from here on the connection's reader may access the request
	if !open {
		return
	}
	run.record.add("client", "write", q.id, key, fmt.Sprint(class, " on ", k.number, " due ", q.due))
	text := array("DO", tag, class, fields, q.body)
	sent, err := c.write(k, text)
	if err != nil {
		k.forget(tag)
		return
	}
	run.requests.update(func() { q.written, q.sentUpTo = run.record.now(), sent })
	if c.random.Float64() < cancelFraction {
		time.AfterFunc(time.Duration(c.random.Int64N(int64(wait))), func() { c.cancel(k, tag, q) })
	}
}

// cancel cancels a request that is in flight.
func (c *client) cancel(k *clientConn, tag string, q *request) {
	if !k.forget(tag) {
		return
	}
	c.testRun.requests.update(func() { q.canceled = true })
	c.testRun.record.add("client", "undo", q.id, q.key, "")
	k.writing.Lock()
	defer k.writing.Unlock()
	_, _ = k.send(array("UNDO", tag)) // if the connection has ended, there is nothing to cancel
}

// write writes a message, and returns how many bytes were written on the connection by then.
func (c *client) write(k *clientConn, text string) (sent int, err error) {
	k.writing.Lock()
	defer k.writing.Unlock()
	_ = k.SetWriteDeadline(time.Now().Add(5 * time.Second))
	if c.behavior != slow {
		return k.send(text)
	}
	for len(text) > 0 {
		n := min(len(text), minPieceBytes+c.random.IntN(40))
		if sent, err = k.send(text[:n]); err != nil {
			return sent, err
		}
		text = text[n:]
		time.Sleep(pieceInterval)
	}
	return sent, nil
}

// connection returns the connection to send on: the current one if the client's behavior allows it, else a new one. It returns nil if it
// cannot connect.
func (c *client) connection() *clientConn {
	if k := c.conn; k != nil && k.usable(c.behavior) {
		return k
	}
	conn, err := net.DialTimeout("tcp", c.testRun.clientAddress(), time.Second)
	if err != nil {
		return nil
	}
	k := &clientConn{Conn: conn, number: c.testRun.nextConnection(), inFlight: map[string]*request{}}
	if old := c.conn; old != nil {
		old.closeWhenDone()
	}
	c.conn = k
	go c.readAnswers(k)
	return k
}

// readAnswers reads answers until the connection ends.
func (c *client) readAnswers(k *clientConn) {
	in := bufio.NewReader(k)
	var err error
	for err == nil {
		var parts []string
		if parts, err = readArray(in); err == nil {
			c.handleAnswer(k, parts)
		}
		if c.behavior == slow {
			time.Sleep(pieceInterval)
		}
	}
	c.handleConnectionEnd(k, err)
}

// handleAnswer records an answer, and retries a keyed request that was rejected.
func (c *client) handleAnswer(k *clientConn, parts []string) {
	run := c.testRun
	at := run.record.now()
	if len(parts) >= 2 && parts[0] == "0" && parts[1] == "FIN" {
		run.record.add("client", "asked to close", "", "", fmt.Sprint(k.number))
		if c.behavior != ignoringClose && c.behavior != idling {
			k.closeWhenDone()
		}
		return
	}
	parts = append(parts, "", "", "", "")
	k.mu.Lock()
	q := k.inFlight[parts[0]]
	delete(k.inFlight, parts[0])
	done := k.draining && len(k.inFlight) == 0
	k.mu.Unlock()
	if q == nil {
		run.record.add("client", "unexpected answer", "", "", fmt.Sprintf("%.80q on %d", parts, k.number))
		run.addUnexpectedAnswer(k.number, parts[0])
		return
	}
	run.requests.update(func() { q.answers = append(q.answers, answer{at, parts[1], parts[3]}) })
	run.record.add("client", "answer", q.id, q.key, parts[1])
	if done {
		k.closeWhenDone()
	}
	if parts[1] != "ACK" && q.key != "" {
		c.retryLater(q, "")
	}
}

// handleConnectionEnd records how a connection ended, and retries its unanswered requests that have a key or were written just before the
// end.
func (c *client) handleConnectionEnd(k *clientConn, err error) {
	run := c.testRun
	at := run.record.now()
	k.mu.Lock()
	k.ended = true
	how := endedByNode
	if k.closed || run.resetByFault(at) {
		how = endedByClient
	}
	open := make([]*request, 0, len(k.inFlight))
	for _, q := range k.inFlight {
		open = append(open, q)
	}
	clear(k.inFlight)
	k.mu.Unlock()
	forwarded := run.clientProxy.Forwarded(k.LocalAddr())
	k.Close()
	run.record.add("client", "end", "", "", fmt.Sprint(k.number, " ", err, " open ", len(open)))
	for _, q := range open {
		crossed, reached := false, time.Duration(0)
		run.requests.update(func() {
			q.ended, q.endedAt, q.forwarded = how, at, forwarded
			reached, _ = run.reachedNodeAt(q)
			crossed = q.written == 0 || at-q.written <= closeRaceWindow+run.plan.Links["client"].delay()
		})
		run.record.add("client", "unanswered", q.id, q.key, fmt.Sprintf("connection ended; written just before the end: %v; reached the node at %v, whose end came at %v",
			crossed, reached, forwarded.Ended.Sub(run.record.began)))
		if crossed || q.key != "" {
			c.retryLater(q, q.id)
		}
	}
}

// retryLater sends a request again after a random delay: a keyed one until its key has had maxAttempts attempts, another one once.
func (c *client) retryLater(q *request, resentOf string) {
	run := c.testRun
	if q.key != "" && !run.mayRetry(q.key) || q.key == "" && q.resentOf != "" {
		return
	}
	time.AfterFunc(time.Duration(10+rand.IntN(300))*time.Millisecond, func() {
		if run.trafficOn() {
			retry := &client{testRun: run, behavior: steady, random: rand.New(rand.NewPCG(run.plan.Seed, uint64(run.nextConnection()))), number: c.number}
			retry.send(q.key, q.class, true, resentOf)
			retry.conn.closeIfOpen()
		}
	})
}

// run sends requests until the traffic ends; interval is the mean time between two.
func (c *client) run(interval time.Duration) {
	run := c.testRun
	for n := 0; run.trafficOn(); n++ {
		class, key := "read", ""
		switch c.random.IntN(5) {
		case 0, 1:
			class, key = "book", fmt.Sprintf("k%d.%d", c.number, n)
		case 2:
			class = "move"
		}
		c.send(key, class, false, "")
		idle := time.Duration(c.random.ExpFloat64() * float64(interval))
		if c.behavior == idling {
			idle = time.Duration(c.random.Int64N(int64(maxIdle)))
		}
		time.Sleep(min(idle, maxIdle))
	}
}
