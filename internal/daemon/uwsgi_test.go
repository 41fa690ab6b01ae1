package daemon

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/store"
	"sloehitch/internal/testing/standin"
)

// TestUwsgiRejectionsAndErrors checks that the uwsgi front answers each request once, with the status codes of rejections and errors, and
// that no key runs twice.
func TestUwsgiRejectionsAndErrors(t *testing.T) {
	rt := standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "r" })
	hold := make(chan struct{})
	server := standin.NewServer(t, func(body string) string {
		if body == "hang" {
			<-hold
		}
		return map[string]string{"fine": "HTTP/1.1 200 OK\r\n\r\nok", "cut": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"}[body]
	})
	defer close(hold)
	s := serveNode(t, longDeadline, rt, server.Address)
	for _, c := range []struct{ key, body, want string }{
		{"1", "fine", "HTTP/1.1 200 OK"}, {"1", "fine", "HTTP/1.1 200 OK"}, {"2", "cut", "HTTP/1.1 502 Bad Gateway"},
		{"2", "cut", "HTTP/1.1 502 Bad Gateway"}, {"", "fine", "HTTP/1.1 400 Bad Request"},
	} {
		if got := sendUwsgi(t, s.uwsgi, c.body, postVars(c.key)...); !strings.HasPrefix(got, c.want+"\r\n") {
			t.Errorf("key %q, %s: %q, want %s", c.key, c.body, got, c.want)
		}
	}
	short := serveNode(t, 300*time.Millisecond, rt, server.Address)
	if got := sendUwsgi(t, short.uwsgi, "hang", postVars("3")...); !strings.HasPrefix(got, "HTTP/1.1 504 Gateway Timeout\r\n") {
		t.Errorf("response past the deadline: %q, want 504", got)
	}
	for _, body := range []string{"fine", "cut", "hang"} {
		if n := server.Runs(body); n != 1 {
			t.Errorf("body %s ran %d times, want once", body, n)
		}
	}
	s.node.Drain(time.Now(), time.Minute, false) // requests after the grace are rejected with Retry-After
	time.Sleep(1100 * time.Millisecond)
	if got := sendUwsgi(t, s.uwsgi, "fine", postVars("4")...); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nRetry-After: 1\r\n") {
		t.Errorf("response while draining: %q, want 503 with Retry-After", got)
	}
}

// TestStreamedResponseOnRemovalAndShutdown checks that a streamed response is completed when its server is removed from the list,
// and that one that is still streaming at the end of a shutdown is reset, so that the client can tell that it is truncated.
func TestStreamedResponseOnRemovalAndShutdown(t *testing.T) {
	for _, c := range []struct {
		name string
		act  func(s *testNode, hold chan struct{})
		want string
	}{
		{"server removed", func(s *testNode, hold chan struct{}) {
			s.applyStoredValue(store.KeyUwsgiServers, "127.0.0.1:1") // called as by a reload
			close(hold)
		}, "whole"},
		{"SIGTERM", func(s *testNode, hold chan struct{}) {
			s.stop <- syscall.SIGTERM
			if err := <-s.stopped; err != nil {
				t.Error(err)
			}
			close(hold)
		}, "reset"},
	} {
		t.Run(c.name, func(t *testing.T) {
			hold := make(chan struct{})
			server := standin.NewScripted(t, standin.Script{{Until: "/slots"}, {Send: "HTTP/1.1 200 OK\r\n\r\nfirst"}, {Wait: hold}, {Send: ", last"}})
			s := serveNode(t, longDeadline, standin.NewRuntime(t, func(*standin.Job) (string, string) { return "OK", "" }), server.Address)
			conn, err := net.Dial("tcp", s.uwsgi)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
				t.Fatal(err)
			}
			got, err := standin.Script{{Send: standin.Packet(t, "", getVars("/slots")...)}, {Until: "first"}}.Play(conn)
			if err != nil {
				t.Fatalf("start of the streamed response: %q, %v", got, err)
			}
			c.act(s, hold)
			rest, err := io.ReadAll(conn)
			end := map[bool]string{true: "reset", false: string(rest)}[errors.Is(err, syscall.ECONNRESET)]
			if end == ", last" {
				end = "whole"
			}
			if end != c.want {
				t.Errorf("rest of the response %q, %v; want it %s", rest, err, c.want)
			}
		})
	}
}

// sendUwsgi sends one uwsgi request in two fragments and returns the complete response.
func sendUwsgi(t testing.TB, address string, body string, vars ...[2]string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer conn.Close()
	vars = append(vars, [2]string{"CONTENT_LENGTH", fmt.Sprint(len(body))})
	head, err := packet.AppendRequest(nil, 0, 0, vars)
	if err != nil {
		t.Error(err)
	}
	whole := append(head, body...)
	half := len(whole) / 2
	for _, part := range [][]byte{whole[:half], whole[half:]} { // in two fragments
		if _, err := conn.Write(part); err != nil {
			t.Error(err)
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Error(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Error(err)
	}
	return string(response)
}

func getVars(path string) [][2]string {
	return [][2]string{{"REQUEST_METHOD", "GET"}, {"PATH_INFO", path}}
}

func postVars(key string) [][2]string {
	return [][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", "/book"}, {"HTTP_IDEMPOTENCY_KEY", key}}
}
