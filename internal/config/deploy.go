package config

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloehitch/internal/store"
)

// Uwsgi says where the uwsgi front listens and what stands below it.
type Uwsgi struct {
	Listen  string   `toml:"listen"`  // empty: off
	Servers []string `toml:"servers"` // addresses of uwsgi servers
	OpenAPI string   `toml:"openapi"` // the description of what is served, beside this file
}

// Store says who holds the replicated store, and where operators reach this daemon's copy.
type Store struct {
	Admin   string         `toml:"admin"`   // address for operators; empty: none
	Dir     string         `toml:"dir"`     // where it outlives a restart; empty: in memory
	Members []store.Member `toml:"members"` // none: this daemon alone
}

// Ledger says where the record of bookings is kept across restarts.
type Ledger struct {
	Dir      string `toml:"dir"`       // on a disk that lasts; empty: off
	Flush    string `toml:"flush"`     // "each": before a booking's start is known to be recorded; or a time such as "20ms"
	MemoryMB int    `toml:"memory_mb"` // for the keys
}

// The defaults and bounds of a ledger's settings.
const (
	flushEach      = "each"
	flushMost      = 10 * time.Second
	ledgerMemoryMB = 16
	ledgerMemoryGB = 64
)

// Interval is the time between flushes; 0: each before it is acknowledged.
func (l Ledger) Interval() (time.Duration, error) {
	if l.Flush == "" || l.Flush == flushEach {
		return 0, nil
	}
	every, err := time.ParseDuration(l.Flush)
	if err != nil || every < time.Millisecond || every > flushMost {
		return 0, fmt.Errorf("ledger: flush is %q; write \"each\", or a time from \"1ms\" to %q", l.Flush, flushMost)
	}
	return every, nil
}

// IndexBytes is the memory for the keys.
func (l Ledger) IndexBytes() int64 {
	if l.MemoryMB == 0 {
		return ledgerMemoryMB << 20
	}
	return int64(l.MemoryMB) << 20
}

func (l Ledger) check() error {
	if l.Dir == "" && (l.Flush != "" || l.MemoryMB != 0) {
		return errors.New("ledger: flush and memory_mb need dir, the folder on a disk that lasts")
	}
	if l.MemoryMB < 0 || l.MemoryMB > ledgerMemoryGB<<10 {
		return fmt.Errorf("ledger: memory_mb is %d; write 1 to %d", l.MemoryMB, ledgerMemoryGB<<10)
	}
	_, err := l.Interval()
	return err
}

// Deploy is our own file of deployment settings.
type Deploy struct {
	Uwsgi  Uwsgi  `toml:"uwsgi"`
	Store  Store  `toml:"store"`
	Ledger Ledger `toml:"ledger"`

	OpenAPI []byte `toml:"-"` // the text of the description
}

// LoadDeploy reads and checks our deployment file. Without a file everything in it is off.
func LoadDeploy(path string) (*Deploy, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return &Deploy{}, nil
	}
	if err != nil {
		return nil, err
	}
	d, err := ParseDeploy(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if d.Uwsgi.Listen == "" {
		return d, nil
	}
	if d.OpenAPI, err = os.ReadFile(filepath.Join(filepath.Dir(path), d.Uwsgi.OpenAPI)); err != nil {
		return nil, err
	}
	return d, nil
}

// ParseDeploy reads and checks a deployment file's text.
func ParseDeploy(text []byte) (*Deploy, error) {
	d := &Deploy{}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(d); err != nil {
		return nil, err
	}
	if err := d.Ledger.check(); err != nil {
		return nil, err
	}
	u := d.Uwsgi
	addresses := []string{d.Store.Admin}
	for _, m := range d.Store.Members {
		if m.Name == "" || m.Raft == "" {
			return nil, errors.New("store: a member needs a name and a raft address")
		}
		addresses = append(addresses, m.Raft, m.Admin)
	}
	for _, address := range append(append(addresses, u.Listen), u.Servers...) {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, err
		}
	}
	if u.Listen == "" {
		return d, nil
	}
	if u.OpenAPI == "" || len(u.Servers) == 0 {
		return nil, errors.New("uwsgi: openapi and servers are needed where listen is set")
	}
	return d, nil
}
