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

// Uwsgi configures the uwsgi front and the uwsgi servers that it sends requests to.
type Uwsgi struct {
	Listen               string   `toml:"listen"`      // host:port, suwsgi://host:port or unix:/path; empty: off
	Mode                 string   `toml:"mode"`        // mode of a Unix socket, octal; default 0660
	Servers              []string `toml:"servers"`     // addresses of uwsgi servers, in the same forms
	OpenAPI              string   `toml:"openapi"`     // path of the OpenAPI document, relative to this file
	Modifiers            []int    `toml:"modifiers"`   // modifier1 of the applications that are served; default [0]
	HalfClose            string   `toml:"half_close"`  // whether a client that shuts down its sending side "stays" (default) or "leaves"
	Deadline             string   `toml:"deadline"`    // name of the variable with the milliseconds that a client waits
	ConnectionsPerSource int      `toml:"per_source"`  // maximum connections from one host; 0: no separate limit
	BodyMB               int      `toml:"body_mb"`     // maximum body of a request without an idempotency key; default 64
	MaxPerServer         int      `toml:"server_most"` // maximum concurrent requests on one server; 0: limited by its latency only
	TLS                  TLS      `toml:"tls"`         // keys of the front
	ServersTLS           TLS      `toml:"servers_tls"` // keys for connections to the servers
}

// TLS names the TLS files of one end of a connection.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`   // authorities that must have issued the other end's certificate
	Name string `toml:"name"` // servers_tls only: the name that a server's certificate must have
}

// Files returns the file names as tlskeys takes them.
func (t TLS) Files() tlskeys.Files { return tlskeys.Files{Cert: t.Cert, Key: t.Key, CA: t.CA} }

// FileMode returns the mode of a Unix socket.
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

// ModifierBytes returns the modifier1 values of the applications that are served.
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

// MaxBodyBytes returns the maximum body size in bytes.
func (u Uwsgi) MaxBodyBytes() int64 {
	if u.BodyMB == 0 {
		return 64 << 20
	}
	return int64(u.BodyMB) << 20
}

// firstReservedModifier is the lowest modifier1 value that is not an application's: from it on uWSGI uses them for pings, spooling,
// reloads, caches, RPC, signals and the like.
const firstReservedModifier = 17

func (u Uwsgi) check() error {
	if u.Listen == "" {
		return nil
	}
	if u.OpenAPI == "" || len(u.Servers) == 0 {
		return errors.New("uwsgi: listen is set, so openapi and servers must be set too")
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
			return fmt.Errorf("uwsgi: modifier %d is not an application's; write 0 to %d", m, firstReservedModifier-1)
		}
	}
	if u.HalfClose != "" && u.HalfClose != halfCloseStays && u.HalfClose != halfCloseLeaves {
		return fmt.Errorf("uwsgi: half_close is %q; write \"stays\" or \"leaves\"", u.HalfClose)
	}
	if u.ConnectionsPerSource < 0 || u.BodyMB < 0 || u.MaxPerServer < 0 {
		return errors.New("uwsgi: per_source, body_mb and server_most must not be negative")
	}
	if listenTLS && (u.TLS.Cert == "" || u.TLS.Key == "") {
		return errors.New("uwsgi: listening on suwsgi:// requires tls.cert and tls.key")
	}
	if !u.TLS.paired() || !u.ServersTLS.paired() {
		return errors.New("uwsgi: tls: cert and key must be given together")
	}
	return nil
}

// The values of half_close: whether a client that shuts down its sending side still waits for the response.
const (
	halfCloseStays  = "stays"
	halfCloseLeaves = "leaves"
)

// HalfCloseCancels reports whether a client that shuts down its sending side no longer waits for its response.
func (u Uwsgi) HalfCloseCancels() bool { return u.HalfClose == halfCloseLeaves }

// checkAddresses validates the addresses of the front and of the servers, and reports whether the front uses TLS.
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

// paired reports whether certificate and key are both set or both empty.
func (t TLS) paired() bool { return (t.Cert == "") == (t.Key == "") }

// Store configures the replicated store: its members, and the address at which operators reach this daemon's copy.
type Store struct {
	Admin         string         `toml:"admin"`   // address for operators; empty: none
	Dir           string         `toml:"dir"`     // folder of the durable copy, with or without members; empty: in memory only
	Members       []store.Member `toml:"members"` // none: this daemon alone
	LeaseDuration string         `toml:"lease"`   // duration of leases on duties; default 10s. Must be the same on all members
	Join          bool           `toml:"join"`    // with an empty dir: wait to be added to an existing store
}

// Lease returns the duration of leases on duties.
func (s Store) Lease() (time.Duration, error) {
	return duration("store: lease", s.LeaseDuration, store.DefaultLeaseTerms.Duration)
}

func (s Store) check() error {
	if s.Join && (len(s.Members) < 2 || s.Dir == "") {
		return errors.New("store: join requires dir, and members: this one and those of the existing store")
	}
	_, err := s.Lease()
	return err
}

// duration parses the duration of a key. It returns defaultValue if text is empty.
func duration(key, text string, defaultValue time.Duration) (time.Duration, error) {
	if text == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 100*time.Millisecond || d > 24*time.Hour {
		return 0, fmt.Errorf("%s is %q; write 100ms to 24h, such as %q", key, text, defaultValue.String())
	}
	return d, nil
}

// Fleet configures this node's part in the fleet.
type Fleet struct {
	Members        []string `toml:"members"`     // operator addresses of the store's members; none: off
	Dir            string   `toml:"dir"`         // folder for this node's desired state; empty: it is lost when the process ends
	ReportInterval string   `toml:"report"`      // time between reports; default 2s
	SilentAfter    string   `toml:"silent"`      // time without a report after which a node is marked silent; default 10s
	Backups        string   `toml:"backups"`     // folder for backups of the store; empty: this node takes none
	BackupInterval string   `toml:"backup_each"` // time between backups; default 1h
	BackupsKept    int      `toml:"backup_keep"` // number of latest backups to keep; default 24
	LeaseDuration  string   `toml:"lease"`       // duration of leases on duties, as configured for the store; default 10s

	Zone        string   `toml:"zone"` // groups of this node, for budgets
	Kind        string   `toml:"kind"`
	MinReady    string   `toml:"settle"`       // time in service and healthy before this node counts as available; default 10s. Must be the same on all nodes
	ReleaseFile string   `toml:"release_file"` // file whose first line names the release on this node; empty: the program's version is the release
	Replace     []string `toml:"replace"`      // command that installs the release named in $SLOEHITCH_RELEASE; after it the process exits
	ReplaceExit int      `toml:"replace_exit"` // exit code of the process then, for its supervisor; default 75
}

// Durations are the parsed durations of Fleet.
type Durations struct{ ReportInterval, SilentAfter, BackupInterval, Lease, MinReady time.Duration }

// Durations parses the durations and sets the defaults of those that are absent.
func (f Fleet) Durations() (s Durations, err error) {
	for _, x := range []struct {
		key, text    string
		defaultValue time.Duration
		target       *time.Duration
	}{{"report", f.ReportInterval, 2 * time.Second, &s.ReportInterval}, {"silent", f.SilentAfter, 10 * time.Second, &s.SilentAfter},
		{"backup_each", f.BackupInterval, time.Hour, &s.BackupInterval}, {"lease", f.LeaseDuration, store.DefaultLeaseTerms.Duration, &s.Lease}, {"settle", f.MinReady, 10 * time.Second, &s.MinReady}} {
		if *x.target, err = duration("fleet: "+x.key, x.text, x.defaultValue); err != nil {
			return s, err
		}
	}
	if s.SilentAfter < 2*s.ReportInterval {
		return s, fmt.Errorf("fleet: silent is %v and report is %v: one late report would mark a node silent; silent must be at least twice report", s.SilentAfter, s.ReportInterval)
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
	if len(f.Members) == 0 && (f.Dir != "" || f.Backups != "") {
		return errors.New("fleet: dir and backups require members, the operators' addresses of the store's members")
	}
	if len(f.Replace) > 0 && f.ReleaseFile == "" {
		return errors.New("fleet: replace requires release_file, from which a release learns what is deployed on this node")
	}
	for _, a := range f.Members {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("fleet: member %q must be host:port, such as 127.0.0.1:7070", a)
		}
	}
	_, err := f.Durations()
	return err
}

// Ledger configures the ledger, which keeps the records of keyed runs across restarts.
type Ledger struct {
	Dir      string `toml:"dir"`       // folder on a persistent disk; empty: off
	Flush    string `toml:"flush"`     // "each": flush before the start of a keyed run is acknowledged as recorded; or an interval such as "20ms"
	MemoryMB int    `toml:"memory_mb"` // maximum memory for the keys
}

// Defaults and bounds of the ledger's settings.
const (
	flushEach             = "each"
	maxFlushInterval      = 10 * time.Second
	defaultLedgerMemoryMB = 16
	maxLedgerMemoryGB     = 64
)

// FlushInterval returns the time between flushes; 0: each record is flushed before it is acknowledged.
func (l Ledger) FlushInterval() (time.Duration, error) {
	if l.Flush == "" || l.Flush == flushEach {
		return 0, nil
	}
	interval, err := time.ParseDuration(l.Flush)
	if err != nil || interval < time.Millisecond || interval > maxFlushInterval {
		return 0, fmt.Errorf("ledger: flush is %q; write \"each\", or an interval from \"1ms\" to %q", l.Flush, maxFlushInterval)
	}
	return interval, nil
}

// IndexBytes returns the maximum memory for the keys in bytes.
func (l Ledger) IndexBytes() int64 {
	if l.MemoryMB == 0 {
		return defaultLedgerMemoryMB << 20
	}
	return int64(l.MemoryMB) << 20
}

func (l Ledger) check() error {
	if l.Dir == "" && (l.Flush != "" || l.MemoryMB != 0) {
		return errors.New("ledger: flush and memory_mb require dir, a folder on a persistent disk")
	}
	if l.MemoryMB < 0 || l.MemoryMB > maxLedgerMemoryGB<<10 {
		return fmt.Errorf("ledger: memory_mb is %d; write 1 to %d", l.MemoryMB, maxLedgerMemoryGB<<10)
	}
	_, err := l.FlushInterval()
	return err
}

// Metrics configures the metrics for Prometheus.
type Metrics struct {
	Listen string `toml:"listen"` // host:port of a private network; empty: off
}

// Traces configures the file to which spans of uwsgi requests are written.
type Traces struct {
	File        string   `toml:"file"`  // empty: off
	SampleShare *float64 `toml:"share"` // fraction of requests that are traced, 0 to 1; default 1. Those that their client samples are always traced
}

// SampleRate returns the fraction of requests that are traced.
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

// Deploy is the content of the deployment file.
type Deploy struct {
	Uwsgi  Uwsgi  `toml:"uwsgi"`
	Store  Store  `toml:"store"`
	Fleet  Fleet  `toml:"fleet"`
	Ledger Ledger `toml:"ledger"`

	Metrics Metrics `toml:"metrics"`
	Traces  Traces  `toml:"traces"`

	OpenAPI []byte `toml:"-"` // text of the OpenAPI document
}

// LoadDeploy reads and validates the deployment file. If there is none, all that it configures is off.
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

// ParseDeploy parses and validates the text of a deployment file.
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
			return nil, errors.New("store: each member must have a name and a raft address")
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
