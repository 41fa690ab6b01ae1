package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// catalogue is a stand-in for the downstream service: it answers calls with random delays, out of order, and rejects some.
type catalogue struct {
	listener net.Listener
	record   *Record

	mu     sync.Mutex
	random *rand.Rand
	calls  map[string]int // calls by body
}

func newCatalogue(record *Record, seed uint64) (*catalogue, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &catalogue{listener: listener, record: record, random: rand.New(rand.NewPCG(seed, 11)), calls: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, nil
}

func (c *catalogue) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var writing sync.Mutex
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var id string
		var ms, length int
		if _, err := fmt.Sscanf(line, "FETCH %s %d %d\r\n", &id, &ms, &length); err != nil {
			if strings.HasPrefix(line, "QUIT ") {
				continue
			}
			c.record.add("catalogue", "malformed call", "", "", fmt.Sprintf("%.60q", line))
			return
		}
		body := make([]byte, length+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return
		}
		go c.answer(conn, &writing, id, string(body[:length]))
	}
}

func (c *catalogue) answer(conn net.Conn, writing *sync.Mutex, id, body string) {
	c.mu.Lock()
	word := []string{"DATA", "DATA", "DATA", "DATA", "DATA", "DATA", "LATER", "FAULT", "TOOSLOW", "NOUSE"}[c.random.IntN(10)]
	wait := time.Duration(c.random.ExpFloat64() * float64(20*time.Millisecond))
	if word != "LATER" && word != "NOUSE" {
		c.calls[body]++
	}
	c.mu.Unlock()
	c.record.add("catalogue", "call", id, "", body+" "+word)
	time.Sleep(wait)
	text := fmt.Sprintf("%s %s\r\n", id, word)
	if word == "DATA" {
		reply := callReply(body)
		text = fmt.Sprintf("%s DATA %d\r\n%s\r\n", id, len(reply), reply)
	}
	writing.Lock()
	defer writing.Unlock()
	_, _ = io.WriteString(conn, text) // a broken connection is not an error of the node
}
