package directory

import (
	"math"
	"net"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// newTestReporter returns a reporter that reports every millisecond.
func newTestReporter(address string) *Reporter {
	lim := limits.For(64, 256)
	lim.ReportInterval = time.Millisecond
	return New("n3", address, lim, standin.DiscardLogger)
}

// TestReportIntervalToleratesLoss checks that fewer than one in ten million gaps between reports last for 3 s, after
// which a node is removed from the list of endpoints, if a quarter of the reports are lost.
func TestReportIntervalToleratesLoss(t *testing.T) {
	if lost := math.Pow(0.25, math.Floor(3/limits.For(64, 256).ReportInterval.Seconds())); lost > 1e-7 {
		t.Errorf("a share of %.2g of the gaps between reports lasts 3 s, want at most 1e-7", lost)
	}
}

// TestReportsFollowStateAndAddress checks that reports are sent periodically, with the current state and to the
// current address.
func TestReportsFollowStateAndAddress(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	reporter := newTestReporter(conn.LocalAddr().String())
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { reporter.Run(stop); close(stopped) }()
	read := func() string {
		b := make([]byte, 100)
		n, _, err := conn.ReadFrom(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n])
	}
	for range 3 { // periodic reports, without a change
		if got := read(); got != "PULSE n3 open" {
			t.Errorf("report %q, want it open", got)
		}
	}
	reporter.SetClosed(true)
	for got := read(); got != "PULSE n3 closed"; got = read() {
		if got != "PULSE n3 open" {
			t.Fatalf("report %q, want it open or closed", got)
		}
	}
	next, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Close() }()
	reporter.SetAddress(next.LocalAddr().String())
	if err := next.SetDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := next.ReadFrom(make([]byte, 100)); err != nil {
		t.Error("no report was received at the new address:", err)
	}
	close(stop)
	<-stopped
}

// TestReportsResumeAfterDirectoryWasDown checks that reports arrive again after the directory was down.
func TestReportsResumeAfterDirectoryWasDown(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := conn.LocalAddr().String()
	_ = conn.Close()
	reporter := newTestReporter(address)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { reporter.Run(stop); close(stopped) }()
	time.Sleep(20 * time.Millisecond)
	again, err := net.ListenPacket("udp", address)
	if err != nil {
		t.Skip("the port was taken by another process")
	}
	defer func() { _ = again.Close() }()
	if err := again.SetDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := again.ReadFrom(make([]byte, 100)); err != nil {
		t.Error("no report was received after the directory was up again:", err)
	}
	close(stop)
	<-stopped
}
