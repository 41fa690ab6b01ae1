package directory

import (
	"net"
	"testing"
	"time"

	"sloehitch/internal/standin"
)

func TestPulse(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(standin.Patience)); err != nil {
		t.Fatal(err)
	}
	p := New("n3")
	stop, stopped := make(chan struct{}), make(chan error, 1)
	go func() { stopped <- p.Serve(conn.LocalAddr().String(), time.Millisecond, stop) }()
	read := func() string {
		b := make([]byte, 100)
		n, _, err := conn.ReadFrom(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n])
	}
	for range 3 { // it goes on by itself
		if got := read(); got != "PULSE n3 open" {
			t.Errorf("report %q", got)
		}
	}
	p.Close(true)
	for got := read(); got != "PULSE n3 closed"; got = read() {
		if got != "PULSE n3 open" {
			t.Fatalf("report %q", got)
		}
	}
	close(stop)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestDirectoryDown: nobody listens, and reports go on until somebody does.
func TestDirectoryDown(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := conn.LocalAddr().String()
	conn.Close()
	p := New("n3")
	stop, stopped := make(chan struct{}), make(chan error, 1)
	go func() { stopped <- p.Serve(address, time.Millisecond, stop) }()
	time.Sleep(20 * time.Millisecond)
	again, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Skip("the port was taken meanwhile")
	}
	defer again.Close()
	if err := again.SetDeadline(time.Now().Add(standin.Patience)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := again.ReadFrom(make([]byte, 100)); err != nil {
		t.Error("no report once the directory is back:", err)
	}
	close(stop)
	<-stopped
}
