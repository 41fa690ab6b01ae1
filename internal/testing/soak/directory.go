package soak

import (
	"net"
	"strings"
	"sync"
	"time"
)

// directory is a stand-in for the service directory: it records when the node's load reports arrive.
type directory struct {
	record  *Record
	mu      sync.Mutex
	conn    *net.UDPConn
	addr    *net.UDPAddr // does not change once the first socket is open
	reports []time.Duration
	outages []pause
}

func newDirectory(record *Record) (*directory, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	d := &directory{record: record, addr: conn.LocalAddr().(*net.UDPAddr)}
	d.receive(conn)
	return d, nil
}

// reopen opens the directory's socket again at its address.
func (d *directory) reopen() error {
	conn, err := net.ListenUDP("udp4", d.addr)
	if err != nil {
		return err
	}
	d.receive(conn)
	return nil
}

// receive starts recording the load reports that arrive on a socket, until it is closed.
func (d *directory) receive(conn *net.UDPConn) {
	d.mu.Lock()
	d.conn = conn
	d.mu.Unlock()
	go func() {
		text := make([]byte, 512)
		for {
			n, err := conn.Read(text)
			if err != nil {
				return
			}
			if strings.HasPrefix(string(text[:n]), "PULSE n1 ") {
				d.mu.Lock()
				d.reports = append(d.reports, d.record.now())
				d.mu.Unlock()
			}
		}
	}()
}

func (d *directory) address() string { return d.addr.String() }

func (d *directory) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.conn.Close()
}

// takeDown closes the directory's socket for a time, and blocks until it is open again.
func (d *directory) takeDown(span time.Duration) {
	from := d.record.now()
	d.close()
	time.Sleep(span)
	for d.reopen() != nil {
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outages = append(d.outages, pause{from, d.record.now()})
}
