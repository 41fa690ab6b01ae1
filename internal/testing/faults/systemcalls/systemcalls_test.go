package systemcalls

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// asChild has the test's own binary be the traced program.
const asChild = "SYSTEMCALLS_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(asChild) == "" {
		os.Exit(m.Run())
	}
	if err := exchange(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	os.Exit(0)
}

// exchange sends bytes through a connection to itself, whatever errors come on the way.
func exchange() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	for err != nil {
		listener, err = net.Listen("tcp", "127.0.0.1:0")
	}
	sent := bytes.Repeat([]byte("0123456789"), 10000)
	go func() {
		for {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				continue
			}
			_, _ = conn.Write(sent) // what it comes to is seen at the other end
			conn.Close()
		}
	}()
	for range 20 {
		conn, err := listener.Accept()
		if err != nil {
			continue
		}
		var got []byte
		for buffer := make([]byte, 4096); ; {
			n, err := conn.Read(buffer)
			if got = append(got, buffer[:n]...); errors.Is(err, io.EOF) {
				break
			}
		}
		conn.Close()
		if !bytes.HasPrefix(sent, got) {
			return errors.New("other bytes arrived than were sent")
		}
	}
	return nil
}

// TestRun: calls of a traced program fail and come short, what it sends arrives all the same as far as it gets, and its exit status is told.
func TestRun(t *testing.T) {
	if runtime.GOOS != "linux" || runtime.GOARCH != "amd64" {
		if _, _, err := Run(os.Args[0], nil, NewChoice(1, 0), func(int) {}); err == nil {
			t.Error("no error where programs can't be traced")
		}
		return
	}
	t.Setenv(asChild, "1")
	status, counts, err := Run(os.Args[0], nil, NewChoice(1, 0.05), func(int) {})
	if err != nil || status != 0 || len(counts) < 5 || counts["short read"] == 0 {
		t.Errorf("status %d, %v, %v", status, counts, err)
	}
	signalled := func(pid int) {
		go func() {
			time.Sleep(50 * time.Millisecond)
			_ = syscall.Kill(pid, syscall.SIGTERM)
		}()
	}
	if status, _, err := Run("/bin/sleep", []string{"60"}, NewChoice(1, 0), signalled); err != nil || status != 128+int(syscall.SIGTERM) {
		t.Errorf("status %d, %v, want that of SIGTERM", status, err)
	}
	if _, _, err := Run("/nonexistent", nil, NewChoice(1, 0), func(int) {}); err == nil {
		t.Error("no error for a program that does not exist")
	}
}

// TestDraw: calls fail at their rate, with errors of their own only, and callers' connections never break.
func TestDraw(t *testing.T) {
	const draws, rate = 20000, 0.1
	c := NewChoice(1, rate)
	failed := 0
	for range draws {
		o := c.Draw(Read, Caller, 100)
		if o.Errno != 0 {
			failed++
		}
		if o.Errno == syscall.ECONNRESET || o.Errno == syscall.ETIMEDOUT || o.Bytes >= 100 {
			t.Fatalf("%+v on a caller's connection", o)
		}
	}
	if part := float64(failed) / draws; part < rate*0.8 || part > rate*1.2 {
		t.Errorf("%.3f of the calls failed, want %.1f", part, rate)
	}
	if o := NewChoice(1, 1).Draw(Read, NoSocket, 100); o != (Outcome{}) {
		t.Errorf("%+v on a file", o)
	}
	if o := NewChoice(1, 0).Draw(Accept, NoSocket, 0); o != (Outcome{}) {
		t.Errorf("%+v at a rate of 0", o)
	}
}
