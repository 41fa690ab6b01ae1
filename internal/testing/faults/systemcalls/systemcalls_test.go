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

// childVariable is the environment variable that makes the test binary run as the traced program.
const childVariable = "SYSTEMCALLS_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	if err := exchange(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	os.Exit(0)
}

// exchange sends bytes over loopback connections to itself and ignores failed calls. It returns an error if other bytes arrive than were
// sent.
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
			_, _ = conn.Write(sent) // the receiver checks what arrives; a failed write is expected
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
			return errors.New("received bytes are not a prefix of the sent bytes")
		}
	}
	return nil
}

// TestRunInjectsFaultsAndReturnsExitStatus checks that calls of a traced program fail and are short, that the bytes it transfers are not
// corrupted, and that Run returns its exit status, 128 plus the signal number if a signal ended it.
func TestRunInjectsFaultsAndReturnsExitStatus(t *testing.T) {
	if runtime.GOOS != "linux" || runtime.GOARCH != "amd64" {
		if _, _, err := Run(os.Args[0], nil, NewOutcomeSource(1, 0), func(int) {}); err == nil {
			t.Error("Run returned no error on a platform without tracing")
		}
		return
	}
	t.Setenv(childVariable, "1")
	status, counts, err := Run(os.Args[0], nil, NewOutcomeSource(1, 0.05), func(int) {})
	if err != nil || status != 0 || len(counts) < 5 || counts["short read"] == 0 {
		t.Errorf("status %d, failed calls %v, error %v; want status 0 and 5 or more kinds with short reads", status, counts, err)
	}
	signalled := func(pid int) {
		go func() {
			time.Sleep(50 * time.Millisecond)
			_ = syscall.Kill(pid, syscall.SIGTERM)
		}()
	}
	if status, _, err := Run("/bin/sleep", []string{"60"}, NewOutcomeSource(1, 0),
		signalled); err != nil || status != 128+int(syscall.SIGTERM) {
		t.Errorf("status %d, error %v, want 128 + SIGTERM", status, err)
	}
	if _, _, err := Run("/nonexistent", nil, NewOutcomeSource(1, 0), func(int) {}); err == nil {
		t.Error("Run returned no error for a program that does not exist")
	}
}

// TestDrawFailsCallsAtRate checks that calls fail at the given rate, that calls on callers' connections get transient errors only, and that
// files never fail.
func TestDrawFailsCallsAtRate(t *testing.T) {
	const draws, rate = 20000, 0.1
	c := NewOutcomeSource(1, rate)
	failed := 0
	for range draws {
		o := c.Draw(Read, Caller, 100)
		if o.Errno != 0 {
			failed++
		}
		if o.Errno == syscall.ECONNRESET || o.Errno == syscall.ETIMEDOUT || o.Bytes >= 100 {
			t.Fatalf("drew %+v for a read on a caller's connection, want a transient error or a short read", o)
		}
	}
	if part := float64(failed) / draws; part < rate*0.8 || part > rate*1.2 {
		t.Errorf("fraction of failed calls is %.3f, want %.1f within 20%%", part, rate)
	}
	if o := NewOutcomeSource(1, 1).Draw(Read, NoSocket, 100); o != (Outcome{}) {
		t.Errorf("drew %+v for a read on a file, want no fault", o)
	}
	if o := NewOutcomeSource(1, 0).Draw(Accept, NoSocket, 0); o != (Outcome{}) {
		t.Errorf("drew %+v at a rate of 0, want no fault", o)
	}
}
