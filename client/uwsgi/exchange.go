package uwsgi

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/platform/endpoint"
)

// attempt sends a request once and returns the response.
func (c *Client) attempt(ctx context.Context, e endpoint.Endpoint, r *Request) (*Response, error) {
	head, err := c.packetHead(ctx, r)
	if err != nil {
		return nil, err
	}
	dialCtx, cancel := context.WithTimeout(ctx, orDefault(c.DialTimeout, defaultDialTimeout))
	conn, err := c.connect(dialCtx, e)
	cancel()
	if err != nil {
		return nil, &DialError{err}
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	sent := make(chan error, 1)
	go func() { sent <- c.send(conn, head, r) }()
	resp, err := c.receive(conn, r)
	if err != nil {
		conn.Close()
		stop()
		// If reading the request body failed, that error is the cause of the closed connection, and is returned.
		var bodyErr *BodyError
		if sendErr := <-sent; errors.As(sendErr, &bodyErr) {
			return nil, sendErr
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, fmt.Errorf("uwsgi: %w", err)
	}
	resp.Body = &connBody{resp.Body, conn, stop}
	return resp, nil
}

// connect dials the server, with TLS if the address requires it.
func (c *Client) connect(ctx context.Context, e endpoint.Endpoint) (net.Conn, error) {
	plain := e
	plain.TLS = false
	conn, err := plain.Dial(ctx, nil, "")
	if err != nil || !e.TLS {
		return conn, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if c.TLS != nil {
		config = c.TLS.Clone()
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(e.Address)
	}
	t := tls.Client(conn, config)
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return t, nil
}

// packetHead returns the packet's header and variables.
func (c *Client) packetHead(ctx context.Context, r *Request) ([]byte, error) {
	vars := r.variables()
	if deadline, ok := ctx.Deadline(); ok && c.DeadlineVariable != "" {
		vars[c.DeadlineVariable] = strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10)
	}
	for name, value := range r.Vars {
		vars[name] = value
	}
	list := make([][2]string, 0, len(vars))
	for name, value := range vars {
		if strings.ContainsAny(value, "\x00\r\n") {
			return nil, fmt.Errorf("uwsgi: the value of variable %s contains a line end or zero byte", name)
		}
		list = append(list, [2]string{name, value})
	}
	return packet.AppendRequest(nil, c.Modifier, 0, list)
}

// variables returns the CGI variables derived from the request's fields.
func (r *Request) variables() map[string]string {
	path := cmp.Or(r.Path, "/")
	vars := map[string]string{"REQUEST_METHOD": cmp.Or(r.Method, http.MethodGet), "PATH_INFO": path, "QUERY_STRING": r.Query,
		"SCRIPT_NAME": "", "SERVER_PROTOCOL": "HTTP/1.1", "REQUEST_URI": path}
	if r.Query != "" {
		vars["REQUEST_URI"] += "?" + r.Query
	}
	if r.Host != "" {
		vars["HTTP_HOST"] = r.Host
	}
	for name, values := range r.Header {
		vars[variableName(name)] = strings.Join(values, ", ")
	}
	if r.IdempotencyKey != "" {
		vars[variableName("Idempotency-Key")] = r.IdempotencyKey
	}
	switch {
	case r.Body == nil:
		vars["CONTENT_LENGTH"] = "0"
	case r.Length >= 0:
		vars["CONTENT_LENGTH"] = strconv.FormatInt(r.Length, 10)
	default:
		vars["HTTP_TRANSFER_ENCODING"] = "chunked"
	}
	return vars
}

// variableName returns the name of a header field's CGI variable.
func variableName(name string) string {
	name = strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	if name == "CONTENT_TYPE" || name == "CONTENT_LENGTH" {
		return name
	}
	return "HTTP_" + name
}

// send writes a request. If the body can't be read completely, it closes the connection, so that the server does not take a
// truncated body for a complete one.
func (c *Client) send(conn net.Conn, head []byte, r *Request) error {
	if _, err := conn.Write(head); err != nil || r.Body == nil {
		return err
	}
	body, err := r.Body()
	if err != nil {
		conn.Close()
		return &BodyError{err}
	}
	source := &errorRecorder{source: body}
	if r.Length >= 0 {
		n, err := io.Copy(conn, io.LimitReader(source, r.Length))
		if source.err == nil && err == nil && n < r.Length {
			source.err = fmt.Errorf("the body has %d bytes, want %d", n, r.Length)
		}
		if source.err != nil {
			conn.Close()
			return &BodyError{source.err}
		}
		return err
	}
	w := httputil.NewChunkedWriter(conn)
	_, err = io.Copy(w, source)
	if source.err != nil {
		conn.Close()
		return &BodyError{source.err}
	}
	if err == nil {
		err = w.Close()
	}
	if err == nil {
		_, err = io.WriteString(conn, "\r\n")
	}
	return err
}

// receive reads a response head and returns the response, whose body is read from the connection on demand.
func (c *Client) receive(conn net.Conn, r *Request) (*Response, error) {
	maxHead := orDefault(c.MaxHeadBytes, defaultMaxHeadBytes)
	in := bufio.NewReaderSize(conn, maxHead+1)
	for {
		b, head, err := peekHead(in, r.Method == http.MethodHead, maxHead)
		if err != nil {
			return nil, err
		}
		text := bytes.Clone(b[:head.Size])
		if _, err := in.Discard(head.Size); err != nil {
			return nil, err
		}
		if head.Status < 200 {
			continue
		}
		if !head.CGI {
			_, text, _ = bytes.Cut(text, []byte("\n"))
		}
		fields, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(text))).ReadMIMEHeader()
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		resp := &Response{Status: head.Status, Header: http.Header(fields), Length: head.Body.Length}
		switch {
		case head.Body.Chunked:
			resp.Body = io.NopCloser(httputil.NewChunkedReader(in))
		case head.Body.Length >= 0:
			resp.Body = io.NopCloser(&lengthReader{in, head.Body.Length})
		default:
			resp.Body = io.NopCloser(in)
		}
		return resp, nil
	}
}

// peekHead parses the head at the start of in without consuming it. It returns the buffered bytes and the head.
func peekHead(in *bufio.Reader, headOnly bool, maxBytes int) ([]byte, packet.ResponseHead, error) {
	for {
		b, _ := in.Peek(in.Buffered())
		head, err := packet.ReadResponseHead(b, headOnly, maxBytes)
		if !errors.Is(err, packet.ErrIncomplete) {
			return b, head, err
		}
		if _, err := in.Peek(len(b) + 1); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, head, err
		}
	}
}
