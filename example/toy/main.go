// Command toy is an example uwsgi server that books chair times in memory, and a client that sends requests to it, directly or
// through sloehitch.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"sloehitch/client/uwsgi"
	"sloehitch/internal/frontend/uwsgi/packet"
)

var cli struct {
	Serve serveCmd `cmd:"" help:"Serve until stopped."`
	Ask   askCmd   `cmd:"" help:"Send one request and print the response."`
}

type serveCmd struct {
	Listen string        `default:"127.0.0.1:3031" help:"Address to serve on."`
	Work   time.Duration `default:"200ms" help:"Duration of each request."`
}

func (c *serveCmd) Run() error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	slog.Info("serving", "listen", c.Listen)
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		go c.serve(conn)
	}
}

func (c *serveCmd) serve(conn net.Conn) {
	defer conn.Close()
	vars, body, err := read(conn)
	if errors.Is(err, errPing) {
		_, err = conn.Write(packet.Pong.Append(nil))
	}
	if err != nil {
		slog.Warn("cannot read request", "error", err)
	}
	if vars.Len() == 0 || err != nil {
		return
	}
	slog.Info("running request", "method", vars.Get("REQUEST_METHOD"), "path", vars.Get("PATH_INFO"), "key", vars.Get("HTTP_IDEMPOTENCY_KEY"), "bytes", body)
	time.Sleep(c.Work)
	text := "free: 09:00 10:30 14:00\n"
	if vars.Get("REQUEST_METHOD") == "POST" {
		text = fmt.Sprintf("booked at %s\n", time.Now().Format(time.TimeOnly+".000"))
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		slog.Warn("cannot write response", "error", err)
	}
}

// errPing is returned if the request was a ping.
var errPing = errors.New("ping")

// read reads a request, and returns its variables and the number of bytes in its body. It returns errPing for a ping.
func read(conn net.Conn) (vars packet.Vars, body int64, err error) {
	first := make([]byte, packet.HeaderSize)
	if _, err := io.ReadFull(conn, first); err != nil {
		return vars, 0, err
	}
	h := packet.ReadHeader(first)
	if h == (packet.Header{Modifier1: packet.Ping}) {
		return vars, 0, errPing
	}
	if h.Modifier1 != 0 {
		return vars, 0, fmt.Errorf("modifier1 %d is not supported", h.Modifier1)
	}
	block := make([]byte, h.Size)
	if _, err := io.ReadFull(conn, block); err != nil {
		return vars, 0, err
	}
	if vars, err = packet.ReadVars(block, 256); err != nil {
		return vars, 0, err
	}
	framing, err := packet.RequestFraming(vars)
	if err != nil || framing.Chunked {
		if err == nil {
			err = errors.New("chunked request bodies are not supported")
		}
		return vars, 0, err
	}
	body, err = io.CopyN(io.Discard, conn, framing.Length)
	return vars, body, err
}

type askCmd struct {
	Method string        `arg:""`
	Path   string        `arg:""`
	Key    string        `help:"Idempotency-Key of a booking."`
	Body   string        `help:"Body of the request."`
	To     string        `default:"127.0.0.1:3030" help:"Address to send the request to."`
	Wait   time.Duration `default:"10s" help:"Timeout, which is also sent to the daemon."`
	Tries  int           `default:"1" help:"Maximum attempts of a booking that is rejected."`
}

func (c *askCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	client := &uwsgi.Client{Address: c.To, DeadlineVariable: "HTTP_X_DEADLINE_MS", MaxAttempts: c.Tries}
	body, length := uwsgi.TextBody(c.Body)
	resp, err := client.Do(ctx, &uwsgi.Request{Method: c.Method, Path: c.Path, IdempotencyKey: c.Key, Body: body, Length: length})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Printf("%d %s (tries: %d)\n", resp.Status, http.StatusText(resp.Status), resp.Attempts)
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

func main() {
	ctx := kong.Parse(&cli, kong.Name("toy"), kong.Description("A uwsgi server that books chair times in memory, and a client."))
	ctx.FatalIfErrorf(ctx.Run())
}
