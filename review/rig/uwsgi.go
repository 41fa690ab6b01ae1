package rig

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// UwsgiRequest is a request as a uwsgi server reads it.
type UwsgiRequest struct {
	Vars map[string]string
	Body string
}

// NewUwsgiServer starts a uwsgi server, which calls answer for each complete request and sends what it returns; an
// empty response means that the server disconnects before its response. Pings are closed without an answer.
func NewUwsgiServer(answer func(r UwsgiRequest) (response string)) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Check(err)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if r, err := readUwsgi(conn); err == nil {
					_, _ = io.WriteString(conn, answer(r)) // the daemon sees an incomplete response otherwise
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// readUwsgi reads a packet of an application, with its body.
func readUwsgi(in io.Reader) (r UwsgiRequest, err error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(in, head); err != nil {
		return r, err
	}
	block := make([]byte, binary.LittleEndian.Uint16(head[1:]))
	if head[0] != 0 || len(block) == 0 {
		return r, io.ErrUnexpectedEOF
	}
	if _, err := io.ReadFull(in, block); err != nil {
		return r, err
	}
	r.Vars = map[string]string{}
	next := func() string {
		n := binary.LittleEndian.Uint16(block)
		text := string(block[2 : 2+n])
		block = block[2+n:]
		return text
	}
	for len(block) > 0 {
		name := next()
		r.Vars[name] = next()
	}
	length, _ := strconv.Atoi(r.Vars["CONTENT_LENGTH"]) // 0 if it is absent
	body := make([]byte, length)
	_, err = io.ReadFull(in, body)
	r.Body = string(body)
	return r, err
}

// Response returns a complete response with status 200 and the body.
func Response(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// AskUwsgi sends a request on a connection of its own, and returns the first line and the body of the response.
func AskUwsgi(address, method, path, body string, more map[string]string) (status, answer string, err error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return "", "", err
	}
	defer conn.Close()
	vars := map[string]string{"REQUEST_METHOD": method, "PATH_INFO": path, "REQUEST_URI": path, "QUERY_STRING": "",
		"SERVER_PROTOCOL": "HTTP/1.1", "CONTENT_LENGTH": strconv.Itoa(len(body))}
	for name, value := range more {
		vars[name] = value
	}
	var block []byte
	for name, value := range vars {
		for _, text := range []string{name, value} {
			block = binary.LittleEndian.AppendUint16(block, uint16(len(text)))
			block = append(block, text...)
		}
	}
	packet := append([]byte{0, byte(len(block)), byte(len(block) >> 8), 0}, block...)
	if _, err := conn.Write(append(packet, body...)); err != nil {
		return "", "", err
	}
	if err := conn.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		return "", "", err
	}
	text, err := io.ReadAll(conn)
	head, answer, _ := strings.Cut(string(text), "\r\n\r\n")
	status, _, _ = strings.Cut(head, "\r\n")
	return status, answer, err
}
