package standin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
)

// Echo is a uwsgi server that answers with the request's body. A mutant violates the protocol in one way, to test that the conformance
// checks detect the violation.
type Echo struct {
	Address string
	mutant  string
}

// Mutants lists the ways in which an Echo can violate the protocol.
var Mutants = []string{"length too large", "length too small", "closes early", "responds twice", "drops the body",
	"accepts duplicate names", "accepts a length and chunks", "accepts signs in lengths", "accepts bare line feeds in chunks",
	"rejects pings", "wrong response to pings", "accepts all modifiers", "accepts line ends in values", "truncates bodies at 4096 bytes",
	"hangs on malformed requests", "accepts short bodies", "body to HEAD", "echoes the framing", "reads past the body",
	"malformed response head", "accepts any coding"}

// NewEcho starts an echo server; mutant is empty or one of Mutants.
func NewEcho(t testing.TB, mutant string) *Echo {
	ln := Listen(t)
	e := &Echo{ln.Addr().String(), mutant}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *Echo) serve(c net.Conn) {
	defer c.Close()
	if c.SetDeadline(time.Now().Add(WaitTimeout)) != nil {
		return
	}
	in := bufio.NewReaderSize(c, 64<<10)
	vars, body, err := e.read(in)
	switch {
	case errors.Is(err, errPing) && e.mutant == "wrong response to pings":
		_, _ = c.Write([]byte{packet.Ping, 0, 0, 0})
	case errors.Is(err, errPing):
		_, _ = c.Write(packet.Pong.Append(nil))
	case err == nil:
		e.answer(c, vars.Get("REQUEST_METHOD"), body)
	case e.mutant == "hangs on malformed requests":
		_, _ = io.Copy(io.Discard, in)
		time.Sleep(WaitTimeout / 2)
	case !errors.Is(err, io.EOF):
		_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	}
}

// read reads a request; some mutants accept malformed ones.
func (e *Echo) read(in *bufio.Reader) (vars packet.Vars, body []byte, err error) {
	first := make([]byte, packet.HeaderSize)
	if _, err := io.ReadFull(in, first); err != nil {
		return vars, nil, io.EOF
	}
	h := packet.ReadHeader(first)
	if h.Modifier1 == packet.Ping && h.Modifier2 == 0 && h.Size == 0 && e.mutant != "rejects pings" {
		return vars, nil, errPing
	}
	if h.Modifier1 != 0 && e.mutant != "accepts all modifiers" {
		return vars, nil, packet.ErrMalformed
	}
	block := make([]byte, h.Size)
	if _, err := io.ReadFull(in, block); err != nil {
		return vars, nil, err
	}
	if e.mutant == "accepts line ends in values" {
		block = bytes.ReplaceAll(block, []byte("\r\n"), []byte("  "))
	}
	if e.mutant == "accepts duplicate names" {
		block = renameDuplicates(block)
	}
	if vars, err = packet.ReadVars(block, 2000); err != nil {
		return vars, nil, err
	}
	body, err = e.body(in, vars)
	return vars, body, err
}

// renameDuplicates changes the names of variables that occurred before.
func renameDuplicates(block []byte) []byte {
	seen, b := map[string]bool{}, bytes.Clone(block)
	for rest := b; len(rest) >= 2; {
		n := int(rest[0]) | int(rest[1])<<8
		if len(rest) < 4+n {
			break
		}
		name := rest[2 : 2+n]
		for seen[string(name)] {
			name[0]++
		}
		seen[string(name)] = true
		m := int(rest[2+n]) | int(rest[3+n])<<8
		if len(rest) < 4+n+m {
			break
		}
		rest = rest[4+n+m:]
	}
	return b
}

// body reads a request's body; some mutants accept malformed ones.
func (e *Echo) body(in *bufio.Reader, vars packet.Vars) ([]byte, error) {
	framing, err := e.framing(vars)
	if err != nil {
		return nil, err
	}
	if framing.Chunked {
		return e.chunkedBody(in)
	}
	body := make([]byte, framing.Length)
	n, err := io.ReadFull(in, body)
	if e.mutant == "accepts short bodies" {
		return body[:n], nil
	}
	if e.mutant == "reads past the body" && err == nil {
		time.Sleep(10 * time.Millisecond)
		more := make([]byte, 1)
		for in.Buffered() > 0 {
			k, _ := in.Read(more)
			body = append(body, more[:k]...)
		}
	}
	return body, err
}

// framing returns a body's framing; some mutants accept what the protocol rejects.
func (e *Echo) framing(vars packet.Vars) (packet.Framing, error) {
	framing, err := packet.RequestFraming(vars)
	if err == nil {
		return framing, nil
	}
	length := vars.Get("CONTENT_LENGTH")
	coding := vars.Get("HTTP_TRANSFER_ENCODING")
	chunked := packet.Framing{Length: -1, Chunked: true}
	switch {
	case e.mutant == "accepts a length and chunks" && length != "" && strings.EqualFold(coding, "chunked"):
		return chunked, nil
	case e.mutant == "accepts any coding" && coding != "" && length == "":
		return chunked, nil
	case e.mutant == "accepts signs in lengths":
		if n, numErr := strconv.Atoi(length); numErr == nil && n >= 0 {
			return packet.Framing{Length: int64(n)}, nil
		}
	}
	return packet.Framing{}, err
}

func (e *Echo) chunkedBody(in *bufio.Reader) ([]byte, error) {
	if e.mutant != "accepts bare line feeds in chunks" {
		return e.chunks(in)
	}
	raw, err := io.ReadAll(in)
	if err != nil {
		return nil, err
	}
	if !bytes.Contains(raw, []byte("\r")) {
		raw = bytes.ReplaceAll(raw, []byte("\n"), []byte("\r\n"))
	}
	return e.chunks(bufio.NewReader(bytes.NewReader(raw)))
}

// chunks reads and decodes a chunked body.
func (e *Echo) chunks(in *bufio.Reader) ([]byte, error) {
	var scan packet.ChunkScanner
	var raw []byte
	for {
		b, err := in.ReadByte()
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		raw = append(raw, b)
		if _, done, err := scan.Scan(raw[len(raw)-1:]); err != nil {
			return nil, err
		} else if done {
			break
		}
	}
	if e.mutant == "echoes the framing" {
		return raw, nil
	}
	return io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(raw)))
}

// errPing is returned for a ping instead of a request.
var errPing = errors.New("ping")

func (e *Echo) answer(c net.Conn, method string, body []byte) {
	n := len(body)
	head := "HTTP/1.1 200 OK"
	switch e.mutant {
	case "length too large":
		n++
	case "length too small":
		n = max(0, n-1)
	case "drops the body":
		body, n = nil, 0
	case "truncates bodies at 4096 bytes":
		body = body[:min(len(body), 4096)]
		n = len(body)
	case "malformed response head":
		head = "200 OK"
	}
	text := fmt.Appendf(nil, "%s\r\nContent-Length: %d\r\n\r\n", head, n)
	if method != "HEAD" || e.mutant == "body to HEAD" {
		if method == "HEAD" {
			body = []byte("body")
		}
		text = append(text, body...)
	}
	switch e.mutant {
	case "responds twice":
		text = append(text, text...)
	case "closes early":
		text = text[:len(text)/2]
	}
	_, _ = c.Write(text) // the client may have disconnected
}
