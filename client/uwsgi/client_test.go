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

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// replyAfter returns a server's script that reads a request up to the given end and responds.
func replyAfter(end, response string) standin.Script {
	return standin.Script{{Until: end}, {Send: response}}
}

func TestDoRetriesAndReadsResponses(t *testing.T) {
	hello, n := uwsgi.TextBody("hello")
	post := uwsgi.Request{Method: "POST", Path: "/book", Body: hello, Length: n}
	keyedPost := post
	keyedPost.IdempotencyKey = "k1"
	chunkedPost := post
	chunkedPost.Length = -1
	shortBody := post
	shortBody.Length = 9
	failingBody := post
	failingBody.Body = func() (io.Reader, error) {
		return io.MultiReader(strings.NewReader("he"), iotest.ErrReader(errors.New("gone"))), nil
	}
	rejected := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0\r\n\r\n"
	var bodyErr *uwsgi.BodyError
	for _, c := range []struct {
		name    string
		r       uwsgi.Request
		scripts []standin.Script
		want    string // status, body, attempts
		err     func(err error) bool
	}{
		{"body with a length", post, []standin.Script{replyAfter("hello", okResponse)}, "200 ok 1", nil},
		{"chunked bodies", chunkedPost, []standin.Script{replyAfter("0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")}, "200 ok 1", nil},
		{"body until the connection is closed", post, []standin.Script{replyAfter("hello", "Status: 201 Made\n\nok")}, "201 ok 1", nil},
		{"interim response", post, []standin.Script{replyAfter("hello", "HTTP/1.1 100 Continue\r\n\r\n"+okResponse)}, "200 ok 1", nil},
		{"HEAD request", uwsgi.Request{Method: "HEAD"},
			[]standin.Script{replyAfter("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")}, "200  1", nil},
		{"response before the request is read", post, []standin.Script{{{Send: okResponse}}}, "200 ok 1", nil},
		{"rejected, then served", keyedPost,
			[]standin.Script{replyAfter("hello", rejected), replyAfter("hello", rejected), replyAfter("hello", okResponse)}, "200 ok 3", nil},
		{"rejected without a key", post, []standin.Script{replyAfter("hello", rejected)}, "503  1", nil},
		{"rejected with Retry-After above the maximum", keyedPost,
			[]standin.Script{replyAfter("hello", strings.Replace(rejected, "After: 0", "After: 3600", 1))}, "503  1", nil},
		{"rejected at each attempt", keyedPost, []standin.Script{replyAfter("hello", rejected)}, "503  4", nil},
		{"connection closed, with a key", keyedPost, []standin.Script{replyAfter("hello", ""), replyAfter("hello", okResponse)}, "200 ok 2", nil},
		{"connection closed, without a key", post, []standin.Script{replyAfter("hello", ""), replyAfter("hello", okResponse)}, "", func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"truncated body", post, []standin.Script{replyAfter("hello", okResponse[:len(okResponse)-1])}, "",
			func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"truncated chunked body", post,
			[]standin.Script{replyAfter("hello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok")}, "",
			func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"malformed response", post, []standin.Script{replyAfter("hello", "garbage\r\n\r\n")}, "", func(err error) bool { return err != nil }},
		{"request body shorter than Length", shortBody, []standin.Script{replyAfter("never", "")}, "",
			func(err error) bool { return errors.As(err, &bodyErr) }},
		{"request body fails", failingBody, []standin.Script{replyAfter("never", "")}, "",
			func(err error) bool { return errors.As(err, &bodyErr) }},
		{"line end in a variable", uwsgi.Request{Vars: map[string]string{"HTTP_A": "b\r\nC: d"}},
			[]standin.Script{replyAfter("never", "")}, "", func(err error) bool { return strings.Contains(err.Error(), "HTTP_A") }},
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
					t.Errorf("got %q, unexpected error %v", got, err)
				}
			} else if got != c.want || err != nil {
				t.Errorf("got %q, %v; want %q", got, err, c.want)
			}
		})
	}
}

// TestContextEndsRequestAndRetries checks that the context ends a request to a hanging server, that the remaining time is sent,
// and that no retry waits past the deadline.
func TestContextEndsRequestAndRetries(t *testing.T) {
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
		t.Errorf("canceled context: %v, want context.Canceled", err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, &uwsgi.Request{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("expired context: %v, want context.DeadlineExceeded", err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	client = uwsgi.Client{Address: ln.Addr().String(), Backoff: time.Hour}
	ctx, cancel = context.WithTimeout(context.Background(), standin.WaitTimeout)
	defer cancel()
	var d *uwsgi.DialError
	if _, err := client.Do(ctx, &uwsgi.Request{}); !errors.As(err, &d) {
		t.Errorf("server down and no time for a retry: %v, want a DialError", err)
	}
}

// example starts a server for the examples, which rejects the first attempt of a booking.
func example() (address string, stop func()) {
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
	address, stop := example()
	defer stop()
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

	// A booking has an idempotency key, so it is retried when the server is overloaded.
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
