package soak

import (
	"net"
	"strings"
	"sync"
	"time"
)

// directory is the stand-in that hears the node's reports.
type directory struct {
	record *Record
	mu     sync.Mutex
	conn   *net.UDPConn
	addr   *net.UDPAddr // fixed once the first socket is open
	heard  []time.Duration
	down   []pause
}

func newDirectory(record *Record) (*directory, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	d := &directory{record: record, addr: conn.LocalAddr().(*net.UDPAddr)}
	d.hear(conn)
	return d, nil
}

// up opens the directory's socket again, at the address that it had.
func (d *directory) up() error {
	conn, err := net.ListenUDP("udp4", d.addr)
	if err != nil {
		return err
	}
	d.hear(conn)
	return nil
}

// hear takes reports from a socket until it is closed.
func (d *directory) hear(conn *net.UDPConn) {
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
				d.heard = append(d.heard, d.record.now())
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

// silent has the directory be away for a while.
func (d *directory) silent(span time.Duration) {
	from := d.record.now()
	d.close()
	time.Sleep(span)
	for d.up() != nil {
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = append(d.down, pause{from, d.record.now()})
}
