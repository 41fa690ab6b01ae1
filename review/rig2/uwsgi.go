package rig2

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Packet encodes a uwsgi request: a packet of modifier1 0 with the variables, given as names and values in turn, and the
// body.
func Packet(body string, vars ...string) []byte {
	var block []byte
	for _, text := range append(vars, "CONTENT_LENGTH", strconv.Itoa(len(body))) {
		block = binary.LittleEndian.AppendUint16(block, uint16(len(text)))
		block = append(block, text...)
	}
	b := binary.LittleEndian.AppendUint16([]byte{0}, uint16(len(block)))
	return append(append(append(b, 0), block...), body...)
}

// Post encodes a POST request with an idempotency key.
func Post(path, key, body string) []byte {
	return Packet(body, "REQUEST_METHOD", "POST", "PATH_INFO", path, "QUERY_STRING", "", "HTTP_IDEMPOTENCY_KEY", key)
}

// UwsgiRun is a request that a uwsgi server read.
type UwsgiRun struct {
	Path, Key, Body string
}

// UwsgiServer plays a uwsgi server below the node. It answers each request with 200 and "done PATH KEY".
type UwsgiServer struct {
	Address string
	Took    time.Duration // of each run

	c    *Case
	mu   sync.Mutex
	runs []UwsgiRun
	open map[net.Conn]bool // connections with a run that has not ended
}

// StartUwsgiServer starts a server.
func (c *Case) StartUwsgiServer() (*UwsgiServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &UwsgiServer{Address: ln.Addr().String(), c: c, open: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

func (s *UwsgiServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	vars, err := readPacket(in)
	if err != nil {
		return
	}
	length, _ := strconv.Atoi(vars["CONTENT_LENGTH"]) // the node has checked it
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return
	}
	run := UwsgiRun{Path: vars["PATH_INFO"], Key: vars["HTTP_IDEMPOTENCY_KEY"], Body: string(body)}
	s.c.Note("uwsgi server: runs %s %s, key %s, body %q", vars["REQUEST_METHOD"], run.Path, run.Key, run.Body)
	s.mu.Lock()
	s.runs, s.open[conn] = append(s.runs, run), true
	s.mu.Unlock()
	time.Sleep(s.Took)
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	text := "done " + run.Path + " " + run.Key
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// readPacket reads a packet's variables.
func readPacket(in *bufio.Reader) (map[string]string, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(in, head); err != nil {
		return nil, err
	}
	block := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if _, err := io.ReadFull(in, block); err != nil {
		return nil, err
	}
	vars, texts := map[string]string{}, []string{}
	for len(block) >= 2 {
		n := int(binary.LittleEndian.Uint16(block))
		if len(block) < 2+n {
			return nil, io.ErrUnexpectedEOF
		}
		texts, block = append(texts, string(block[2:2+n])), block[2+n:]
	}
	for i := 0; i+1 < len(texts); i += 2 {
		vars[texts[i]] = texts[i+1]
	}
	return vars, nil
}

// Runs returns the requests that the server read.
func (s *UwsgiServer) Runs() []UwsgiRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]UwsgiRun(nil), s.runs...)
}

// Open returns the number of runs that have not ended.
func (s *UwsgiServer) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Stop ends the server's open connections, as the end of its process does.
func (s *UwsgiServer) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.Note("uwsgi server %s stops with %d open runs", s.Address, len(s.open))
	for conn := range s.open {
		conn.Close()
	}
}

// Response is what a uwsgi client read until the end of its connection.
type Response struct {
	Status int // 0: no whole response
	Body   string
	Err    error // how the connection ended, if not regularly
}

// ReadResponse reads a response until the connection ends, for so long at most.
func ReadResponse(conn net.Conn, within time.Duration) (r Response) {
	if r.Err = conn.SetReadDeadline(time.Now().Add(within)); r.Err != nil {
		return r
	}
	text, err := io.ReadAll(conn)
	r.Err = err
	head, body, whole := strings.Cut(string(text), "\r\n\r\n")
	words := strings.Fields(head)
	if !whole || len(words) < 2 {
		return r
	}
	r.Status, _ = strconv.Atoi(words[1]) // 0 if it is no number
	r.Body = body
	return r
}

// Exchange sends a request on a new connection and returns the response.
func (c *Case) Exchange(name, address string, request []byte) (Response, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Response{}, err
	}
	defer conn.Close()
	if _, err := conn.Write(request); err != nil {
		return Response{}, err
	}
	r := ReadResponse(conn, 10*time.Second)
	c.Note("%s: status %d, body %q", name, r.Status, r.Body)
	return r, nil
}
