package config

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pelletier/go-toml/v2"

	"sloehitch/internal/platform/endpoint"
	"sloehitch/internal/platform/tlskeys"
	"sloehitch/internal/store"
)

// Uwsgi says where the uwsgi front listens and what stands below it.
type Uwsgi struct {
	Listen               string   `toml:"listen"`      // host:port, suwsgi://host:port or unix:/path; empty: off
	Mode                 string   `toml:"mode"`        // of a Unix socket, octal; by default 0660
	Servers              []string `toml:"servers"`     // addresses of uwsgi servers, of the same forms
	OpenAPI              string   `toml:"openapi"`     // the description of what is served, beside this file
	Modifiers            []int    `toml:"modifiers"`   // modifier1 of applications that are served; by default [0]
	HalfClose            string   `toml:"half_close"`  // "stays" (by default) or "leaves": what a client does that shuts its sending side
	Deadline             string   `toml:"deadline"`    // the variable by which clients tell how many milliseconds they wait
	ConnectionsPerSource int      `toml:"per_source"`  // connections from one host; 0: no bound of its own
	BodyMB               int      `toml:"body_mb"`     // the largest body of a request without a key; by default 64
	MaxPerServer         int      `toml:"server_most"` // requests on one server at once; 0: as its latency allows
	TLS                  TLS      `toml:"tls"`         // of the front
	ServersTLS           TLS      `toml:"servers_tls"` // towards the servers
}

// TLS names the files of one end's keys.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`   // that the other end's certificate must lead to
	Name string `toml:"name"` // servers only: that their certificates must have
}

// Files are the names of the keys' files.
func (t TLS) Files() tlskeys.Files { return tlskeys.Files{Cert: t.Cert, Key: t.Key, CA: t.CA} }

// FileMode is a Unix socket's mode.
func (u Uwsgi) FileMode() (fs.FileMode, error) {
	if u.Mode == "" {
		return 0o660, nil
	}
	n, err := strconv.ParseUint(u.Mode, 8, 9)
	if err != nil {
		return 0, fmt.Errorf("uwsgi: mode is %q; write it in octal, such as \"0660\"", u.Mode)
	}
	return fs.FileMode(n), nil
}

// ModifierBytes are the modifiers of applications.
func (u Uwsgi) ModifierBytes() []byte {
	b := []byte{}
	for _, m := range u.Modifiers {
		b = append(b, byte(m))
	}
	if len(b) == 0 {
		return []byte{0}
	}
	return b
}

// MaxBodyBytes is the largest body in bytes.
func (u Uwsgi) MaxBodyBytes() int64 {
	if u.BodyMB == 0 {
		return 64 << 20
	}
	return int64(u.BodyMB) << 20
}

// firstReservedModifier and above are modifiers that ask for more than an application: pings, spooling, reloads, caches, RPC, signals and the like.
const firstReservedModifier = 17

func (u Uwsgi) check() error {
	if u.Listen == "" {
		return nil
	}
	if u.OpenAPI == "" || len(u.Servers) == 0 {
		return errors.New("uwsgi: openapi and servers are needed where listen is set")
	}
	if _, err := u.FileMode(); err != nil {
		return err
	}
	listenTLS, err := u.checkAddresses()
	if err != nil {
		return err
	}
	for _, m := range u.Modifiers {
		if m < 0 || m >= firstReservedModifier {
			return fmt.Errorf("uwsgi: modifier %d is no application's; write 0 to %d", m, firstReservedModifier-1)
		}
	}
	if u.HalfClose != "" && u.HalfClose != halfCloseStays && u.HalfClose != halfCloseLeaves {
		return fmt.Errorf("uwsgi: half_close is %q; write \"stays\" or \"leaves\"", u.HalfClose)
	}
	if u.ConnectionsPerSource < 0 || u.BodyMB < 0 || u.MaxPerServer < 0 {
		return errors.New("uwsgi: per_source, body_mb and server_most are 0 or more")
	}
	if listenTLS && (u.TLS.Cert == "" || u.TLS.Key == "") {
		return errors.New("uwsgi: listening on suwsgi:// needs tls.cert and tls.key")
	}
	if !u.TLS.paired() || !u.ServersTLS.paired() {
		return errors.New("uwsgi: cert and key belong together")
	}
	return nil
}

// What a client does that shuts its sending side.
const (
	halfCloseStays  = "stays"
	halfCloseLeaves = "leaves"
)

// ClientsLeave reports whether a client that shuts its sending side has left.
func (u Uwsgi) ClientsLeave() bool { return u.HalfClose == halfCloseLeaves }

// checkAddresses checks where the front listens and its servers, and reports whether the front speaks TLS.
func (u Uwsgi) checkAddresses() (listenTLS bool, err error) {
	listen, err := endpoint.Parse(u.Listen)
	if err != nil {
		return false, fmt.Errorf("uwsgi: %w", err)
	}
	for _, address := range u.Servers {
		if _, err := endpoint.Parse(address); err != nil {
			return false, fmt.Errorf("uwsgi: %w", err)
		}
	}
	return listen.TLS, nil
}

// paired reports whether certificate and key are both there, or neither.
func (t TLS) paired() bool { return (t.Cert == "") == (t.Key == "") }

// Store says who holds the replicated store, and where operators reach this daemon's copy.
type Store struct {
	Admin         string         `toml:"admin"`   // address for operators; empty: none
	Dir           string         `toml:"dir"`     // where it outlives a restart; empty: in memory
	Members       []store.Member `toml:"members"` // none: this daemon alone
	LeaseDuration string         `toml:"lease"`   // for which a duty is kept from others; by default 10s. The same on all members
	Join          bool           `toml:"join"`    // with an empty dir: wait to be added to a store that is there
}

// Lease is for how long a duty is kept from others.
func (s Store) Lease() (time.Duration, error) {
	return duration("store: lease", s.LeaseDuration, store.DefaultLeaseTerms.Duration)
}

func (s Store) check() error {
	if s.Join && (len(s.Members) < 2 || s.Dir == "") {
		return errors.New("store: join needs a dir, and members: this one and those that are there")
	}
	_, err := s.Lease()
	return err
}

// duration reads a time; absent stands for none.
func duration(key, text string, absent time.Duration) (time.Duration, error) {
	if text == "" {
		return absent, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 100*time.Millisecond || d > 24*time.Hour {
		return 0, fmt.Errorf("%s is %q; write 100ms to 24h, such as %q", key, text, absent.String())
	}
	return d, nil
}

// Fleet says how this node takes part in the fleet.
type Fleet struct {
	Members        []string `toml:"members"`     // addresses that members of the store have for operators; none: off
	Dir            string   `toml:"dir"`         // where this node keeps what the fleet wants of it; empty: it forgets with the process
	ReportInterval string   `toml:"report"`      // between reports; by default 2s
	SilentAfter    string   `toml:"silent"`      // without one, after which a node is marked; by default 10s
	Backups        string   `toml:"backups"`     // a folder for backups of the store; empty: this node takes none
	BackupInterval string   `toml:"backup_each"` // between two; by default 1h
	BackupsKept    int      `toml:"backup_keep"` // the latest so many stay; by default 24
	LeaseDuration  string   `toml:"lease"`       // of the duties, as the store has it; by default 10s

	Zone        string   `toml:"zone"` // groups that this node is in, for budgets
	Kind        string   `toml:"kind"`
	MinReady    string   `toml:"settle"`       // in service and well, before this node counts as in; by default 10s. The same on all nodes
	ReleaseFile string   `toml:"release_file"` // its first line says what is deployed on this node; empty: the program's version is
	Replace     []string `toml:"replace"`      // a command that puts another release in place, which it finds in $SLOEHITCH_RELEASE; then the process ends
	ReplaceExit int      `toml:"replace_exit"` // the code that it ends with, for what starts it again; by default 75
}

// Durations are the times of a fleet's settings.
type Durations struct{ ReportInterval, SilentAfter, BackupInterval, Lease, MinReady time.Duration }

// Durations reads the times, with what stands for those left out.
func (f Fleet) Durations() (s Durations, err error) {
	for _, x := range []struct {
		key, text string
		absent    time.Duration
		to        *time.Duration
	}{{"report", f.ReportInterval, 2 * time.Second, &s.ReportInterval}, {"silent", f.SilentAfter, 10 * time.Second, &s.SilentAfter},
		{"backup_each", f.BackupInterval, time.Hour, &s.BackupInterval}, {"lease", f.LeaseDuration, store.DefaultLeaseTerms.Duration, &s.Lease}, {"settle", f.MinReady, 10 * time.Second, &s.MinReady}} {
		if *x.to, err = duration("fleet: "+x.key, x.text, x.absent); err != nil {
			return s, err
		}
	}
	if s.SilentAfter < 2*s.ReportInterval {
		return s, fmt.Errorf("fleet: silent is %v and report %v: a node would be marked for one late report; write silent at least twice as long", s.SilentAfter, s.ReportInterval)
	}
	return s, nil
}

func (f Fleet) check() error {
	if f.BackupsKept < 0 {
		return fmt.Errorf("fleet: backup_keep is %d; write 1 or more", f.BackupsKept)
	}
	if f.ReplaceExit < 0 || f.ReplaceExit > 255 {
		return fmt.Errorf("fleet: replace_exit is %d; write 1 to 255", f.ReplaceExit)
	}
	if len(f.Replace) > 0 && f.ReleaseFile == "" {
		return errors.New("fleet: replace needs release_file: a release has to see what has become of this node")
	}
	for _, a := range f.Members {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("fleet: member %q: host and port are wanted, such as 127.0.0.1:7070", a)
		}
	}
	_, err := f.Durations()
	return err
}

// Ledger says where the record of bookings is kept across restarts.
type Ledger struct {
	Dir      string `toml:"dir"`       // on a disk that lasts; empty: off
	Flush    string `toml:"flush"`     // "each": before a booking's start is known to be recorded; or a time such as "20ms"
	MemoryMB int    `toml:"memory_mb"` // for the keys
}

// The defaults and bounds of a ledger's settings.
const (
	flushEach             = "each"
	maxFlushInterval      = 10 * time.Second
	defaultLedgerMemoryMB = 16
	maxLedgerMemoryGB     = 64
)

// FlushInterval is the time between flushes; 0: each before it is acknowledged.
func (l Ledger) FlushInterval() (time.Duration, error) {
	if l.Flush == "" || l.Flush == flushEach {
		return 0, nil
	}
	every, err := time.ParseDuration(l.Flush)
	if err != nil || every < time.Millisecond || every > maxFlushInterval {
		return 0, fmt.Errorf("ledger: flush is %q; write \"each\", or a time from \"1ms\" to %q", l.Flush, maxFlushInterval)
	}
	return every, nil
}

// IndexBytes is the memory for the keys.
func (l Ledger) IndexBytes() int64 {
	if l.MemoryMB == 0 {
		return defaultLedgerMemoryMB << 20
	}
	return int64(l.MemoryMB) << 20
}

func (l Ledger) check() error {
	if l.Dir == "" && (l.Flush != "" || l.MemoryMB != 0) {
		return errors.New("ledger: flush and memory_mb need dir, the folder on a disk that lasts")
	}
	if l.MemoryMB < 0 || l.MemoryMB > maxLedgerMemoryGB<<10 {
		return fmt.Errorf("ledger: memory_mb is %d; write 1 to %d", l.MemoryMB, maxLedgerMemoryGB<<10)
	}
	_, err := l.FlushInterval()
	return err
}

// Metrics says where Prometheus finds the figures.
type Metrics struct {
	Listen string `toml:"listen"` // host:port of a private network; empty: off
}

// Traces says where spans of uwsgi requests are written.
type Traces struct {
	File        string   `toml:"file"`  // empty: off
	SampleShare *float64 `toml:"share"` // of requests, 0 to 1; by default 1. Those whose client traces them are written in any case
}

// SampleRate is the share of requests that are traced.
func (t Traces) SampleRate() float64 {
	if t.SampleShare == nil {
		return 1
	}
	return *t.SampleShare
}

func (t Traces) check() error {
	if p := t.SampleRate(); p < 0 || p > 1 {
		return fmt.Errorf("traces: share is %v; write 0 to 1", p)
	}
	return nil
}

// Deploy is our own file of deployment settings.
type Deploy struct {
	Uwsgi  Uwsgi  `toml:"uwsgi"`
	Store  Store  `toml:"store"`
	Fleet  Fleet  `toml:"fleet"`
	Ledger Ledger `toml:"ledger"`

	Metrics Metrics `toml:"metrics"`
	Traces  Traces  `toml:"traces"`

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
	if err := errors.Join(d.Ledger.check(), d.Traces.check(), d.Fleet.check(), d.Store.check()); err != nil {
		return nil, err
	}
	addresses := []string{d.Store.Admin, d.Metrics.Listen}
	for _, m := range d.Store.Members {
		if m.Name == "" || m.RaftAddress == "" {
			return nil, errors.New("store: a member needs a name and a raft address")
		}
		addresses = append(addresses, m.RaftAddress, m.AdminAddress)
	}
	for _, address := range addresses {
		if address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, err
		}
	}
	if err := d.Uwsgi.check(); err != nil {
		return nil, err
	}
	return d, nil
}
