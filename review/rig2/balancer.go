package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is a whole answer that a balancer read.
type Answer struct {
	Tag, Word, Fields, Body string
	At                      time.Time
}

// Balancer is one connection of a balancer. Its answers are collected by their tags.
type Balancer struct {
	c    *Case
	name string
	conn net.Conn

	mu      sync.Mutex
	lastTag int
	answers map[string][]Answer
}

// Connect connects a balancer.
func (c *Case) Connect(name, address string) (*Balancer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	b := &Balancer{c: c, name: name, conn: conn, answers: map[string][]Answer{}}
	go b.read()
	return b, nil
}

// array encodes a RESP array of bulk strings.
func array(parts ...string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "*%d\r\n", len(parts))
	for _, p := range parts {
		fmt.Fprintf(&s, "$%d\r\n%s\r\n", len(p), p)
	}
	return s.String()
}

// nextTag returns a new tag of the connection.
func (b *Balancer) nextTag() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastTag++
	return strconv.Itoa(b.lastTag)
}

// Do sends a request and returns its tag. fields are added to those that every request has.
func (b *Balancer) Do(class, id, body string, fields ...string) (tag string, err error) {
	tag = b.nextTag()
	all := append([]string{"req=" + id, fmt.Sprintf("ts=%d", time.Now().UnixMilli()), "via=1", "need=20", "level=0.5"}, fields...)
	b.c.Note("%s: DO %s %s %s %q", b.name, tag, class, strings.Join(all, ","), body)
	_, err = io.WriteString(b.conn, array("DO", tag, class, strings.Join(all, ","), body))
	return tag, err
}

// read collects answers until the connection ends.
func (b *Balancer) read() {
	in := bufio.NewReader(b.conn)
	for {
		parts, err := readArray(in)
		if err != nil {
			b.c.Note("%s: the connection ended: %v", b.name, err)
			return
		}
		b.c.Note("%s: answer %q", b.name, parts)
		b.mu.Lock()
		if len(parts) >= 2 { // 0 FIN has no tag of a request
			a := Answer{Tag: parts[0], Word: parts[1], At: time.Now()}
			if len(parts) == 4 {
				a.Fields, a.Body = parts[2], parts[3]
			}
			b.answers[a.Tag] = append(b.answers[a.Tag], a)
		}
		b.mu.Unlock()
	}
}

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) (parts []string, err error) {
	count, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	for range count {
		n, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, n+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		parts = append(parts, string(text[:n]))
	}
	return parts, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("not an answer: %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// Answers returns the whole answers with a tag.
func (b *Balancer) Answers(tag string) []Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Answer(nil), b.answers[tag]...)
}
