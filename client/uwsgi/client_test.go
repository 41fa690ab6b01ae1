package uwsgi_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"sloehitch/client/uwsgi"
	"sloehitch/internal/testing/standin"
)

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// answer reads a request up to these bytes and answers it.
func answer(end, response string) standin.Script {
	return standin.Script{{Until: end}, {Send: response}}
}

func TestDo(t *testing.T) {
	hello, n := uwsgi.TextBody("hello")
	post := uwsgi.Request{Method: "POST", Path: "/book", Body: hello, Length: n}
	keyed := post
	keyed.IdempotencyKey = "k1"
	stream := post
	stream.Length = -1
	short := post
	short.Length = 9
	failing := post
	failing.Body = func() (io.Reader, error) {
		return io.MultiReader(strings.NewReader("he"), iotest.ErrReader(errors.New("gone"))), nil
	}
	busy := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0\r\n\r\n"
	var bad *uwsgi.BodyError
	for _, c := range []struct {
		name    string
		r       uwsgi.Request
		scripts []standin.Script
		want    string // status, body, attempts
		err     func(err error) bool
	}{
		{"a length", post, []standin.Script{answer("hello", fine)}, "200 ok 1", nil},
		{"chunks", stream, []standin.Script{answer("0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")}, "200 ok 1", nil},
		{"until the close", post, []standin.Script{answer("hello", "Status: 201 Made\n\nok")}, "201 ok 1", nil},
		{"interim heads", post, []standin.Script{answer("hello", "HTTP/1.1 100 Continue\r\n\r\n"+fine)}, "200 ok 1", nil},
		{"HEAD", uwsgi.Request{Method: "HEAD"}, []standin.Script{answer("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")}, "200  1", nil},
		{"an early answer", post, []standin.Script{{{Send: fine}}}, "200 ok 1", nil},
		{"refused, then served", keyed, []standin.Script{answer("hello", busy), answer("hello", busy), answer("hello", fine)}, "200 ok 3", nil},
		{"refused without a key", post, []standin.Script{answer("hello", busy)}, "503  1", nil},
		{"refused for too long", keyed, []standin.Script{answer("hello", strings.Replace(busy, "After: 0", "After: 3600", 1))}, "503  1", nil},
		{"rejected at each attempt", keyed, []standin.Script{answer("hello", busy)}, "503  4", nil},
		{"broken off with a key", keyed, []standin.Script{answer("hello", ""), answer("hello", fine)}, "200 ok 2", nil},
		{"broken off without one", post, []standin.Script{answer("hello", ""), answer("hello", fine)}, "", func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"a body cut short", post, []standin.Script{answer("hello", fine[:len(fine)-1])}, "", func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"chunks cut short", post, []standin.Script{answer("hello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok")}, "", func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"garbage", post, []standin.Script{answer("hello", "garbage\r\n\r\n")}, "", func(err error) bool { return err != nil }},
		{"its own body too short", short, []standin.Script{answer("never", "")}, "", func(err error) bool { return errors.As(err, &bad) }},
		{"its own body fails", failing, []standin.Script{answer("never", "")}, "", func(err error) bool { return errors.As(err, &bad) }},
		{"a line end in a header", uwsgi.Request{Vars: map[string]string{"HTTP_A": "b\r\nC: d"}}, []standin.Script{answer("never", "")}, "", func(err error) bool { return strings.Contains(err.Error(), "HTTP_A") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := standin.NewScripted(t, c.scripts...)
			client := uwsgi.Client{Address: s.Address, Backoff: time.Millisecond}
			ctx, cancel := context.WithTimeout(context.Background(), standin.WaitTimeout)
			defer cancel()
			resp, err := client.Do(ctx, &c.r)
			var got string
			if err == nil {
				var b []byte
				b, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				got = fmt.Sprint(resp.Status, " ", string(b), " ", resp.Attempts)
			}
			if c.err != nil {
				if err == nil || !c.err(err) {
					t.Errorf("%q, %v", got, err)
				}
			} else if got != c.want || err != nil {
				t.Errorf("%q, %v; want %q", got, err, c.want)
			}
		})
	}
}

// TestDeadline: a hanging server costs no more than the context allows, the time left is sent, and no retry waits past it.
func TestDeadline(t *testing.T) {
	s := standin.NewScripted(t, standin.Script{{Until: "HTTP_X_DEADLINE_MS"}, {Until: "never"}})
	client := uwsgi.Client{Address: s.Address, DeadlineVariable: "HTTP_X_DEADLINE_MS"}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.Connections() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := client.Do(ctx, &uwsgi.Request{}); !errors.Is(err, context.Canceled) {
		t.Errorf("cancelled: %v", err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, &uwsgi.Request{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("out of time: %v", err)
	}
	down, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	down.Close()
	client = uwsgi.Client{Address: down.Addr().String(), Backoff: time.Hour}
	ctx, cancel = context.WithTimeout(context.Background(), standin.WaitTimeout)
	defer cancel()
	var d *uwsgi.DialError
	if _, err := client.Do(ctx, &uwsgi.Request{}); !errors.As(err, &d) {
		t.Errorf("down, with no time for a retry: %v", err)
	}
}

// example is a server for the examples: the first attempt at a booking is rejected.
func example() (address string, end func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			response := "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n09:00 10:30\n"
			script := standin.Script{{Until: "/slots"}, {Send: response}}
			if n > 0 {
				response = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n"
				if n > 1 {
					response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbooked\n"
				}
				script = standin.Script{{Until: "chair 3"}, {Send: response}}
			}
			go func() { defer c.Close(); script.Play(c) }()
		}
	}()
	return ln.Addr().String(), func() { ln.Close() }
}

func Example() {
	address, end := example()
	defer end()
	client := &uwsgi.Client{Address: address}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	resp, err := client.Do(ctx, &uwsgi.Request{Path: "/slots"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	fmt.Print(resp.Status, " ", string(text))
	if err != nil {
		fmt.Println(err)
	}

	// A booking has a key: it may be sent again, and is when the server is too busy.
	body, length := uwsgi.TextBody("chair 3")
	resp, err = client.Do(ctx, &uwsgi.Request{Method: "POST", Path: "/book", IdempotencyKey: "5c0f6e1a", Body: body, Length: length})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	fmt.Println(resp.Status, strings.TrimSpace(string(text)), "after", resp.Attempts, "attempts", err)
	// Output:
	// 200 09:00 10:30
	// 200 booked after 2 attempts <nil>
}
