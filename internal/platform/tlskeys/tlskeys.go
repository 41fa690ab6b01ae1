// Package tlskeys loads TLS certificates and reloads them without a restart. The files of one end are replaced together and
// atomically, or not at all; open connections keep the keys that they were established with.
package tlskeys

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Files names the PEM files of one end of a connection. They are always read together.
type Files struct {
	Cert string // this end's certificate chain; empty: none
	Key  string
	CA   string // authorities for the other end's certificate; empty: the system's for a client, none for a server
}

// ExpiryWarning is how long before the expiry of a certificate warnings are logged, one every warningInterval.
const (
	ExpiryWarning   = 14 * 24 * time.Hour
	warningInterval = 24 * time.Hour
)

// Keys holds the current certificates of one end. It is safe for concurrent use.
type Keys struct {
	files Files
	log   *slog.Logger
	now   func() time.Time

	current atomic.Pointer[keySet]

	mu            sync.Mutex // guards the fields below, and is held during a reload
	lastFileState string     // fileState when the files were last read, valid or not
	warnedAt      time.Time
}

// keySet is the parsed content of the files.
type keySet struct {
	cert     *tls.Certificate // nil: none
	peers    *x509.CertPool   // authorities for the other end's certificate; nil if Files.CA is empty
	notAfter time.Time
}

// Load reads the files. It returns an error if one is missing or invalid.
func Load(files Files, log *slog.Logger) (*Keys, error) {
	k := &Keys{files: files, log: log, now: time.Now}
	if (files.Cert == "") != (files.Key == "") {
		return nil, errors.New("tls: cert and key must be given together")
	}
	k.lastFileState = k.fileState()
	p, err := k.read()
	if err != nil {
		return nil, err
	}
	k.current.Store(p)
	k.warnBeforeExpiry(p)
	return k, nil
}

// read reads and checks all files.
func (k *Keys) read() (*keySet, error) {
	p := &keySet{}
	if k.files.Cert != "" {
		cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
		if err != nil {
			return nil, fmt.Errorf("tls: %s with %s: %w", k.files.Cert, k.files.Key, err)
		}
		if p.notAfter = cert.Leaf.NotAfter; k.now().After(p.notAfter) {
			return nil, fmt.Errorf("tls: %s expired at %s", k.files.Cert, p.notAfter.UTC().Format(time.RFC3339))
		}
		p.cert = &cert
	}
	if k.files.CA != "" {
		text, err := os.ReadFile(k.files.CA)
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		p.peers = x509.NewCertPool()
		if !p.peers.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("tls: %s contains no PEM certificate", k.files.CA)
		}
	}
	return p, nil
}

// Reload reads the files again. On an error the current keys stay in use.
func (k *Keys) Reload() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reload(k.fileState())
}

// reload implements Reload. The caller must hold mu.
func (k *Keys) reload(state string) error {
	k.lastFileState = state
	p, err := k.read()
	if err != nil {
		k.log.Error("could not reload the TLS keys; the current ones stay in use", "error", err)
		return err
	}
	k.current.Store(p)
	k.warnedAt = time.Time{}
	k.log.Info("reloaded the TLS keys", "cert", k.files.Cert, "ca", k.files.CA, "expires", p.notAfter)
	k.warnBeforeExpiry(p)
	return nil
}

// fileState returns a string that changes when the size or modification time of one of the files does.
func (k *Keys) fileState() (s string) {
	for _, name := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if name == "" {
			continue
		}
		if info, err := os.Stat(name); err != nil {
			s += "?"
		} else {
			s += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), ";")
		}
	}
	return s
}

// Check reloads the files if they have changed since they were last read, and logs a warning if the certificate expires soon. It must be
// called periodically. It blocks on disk reads.
func (k *Keys) Check() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if state := k.fileState(); state != k.lastFileState {
		_ = k.reload(state) // reload logs its error
	}
	k.warnBeforeExpiry(k.current.Load())
}

// warnBeforeExpiry logs once a day that the certificate expires soon.
func (k *Keys) warnBeforeExpiry(p *keySet) {
	now := k.now()
	if p.notAfter.IsZero() || p.notAfter.Sub(now) > ExpiryWarning || now.Sub(k.warnedAt) < warningInterval {
		return
	}
	k.warnedAt = now
	k.log.Warn("a TLS certificate expires soon", "cert", k.files.Cert, "expires", p.notAfter, "left", p.notAfter.Sub(now).Round(time.Hour))
}

// Expires returns when the current certificate expires; the zero time if there is none.
func (k *Keys) Expires() time.Time { return k.current.Load().notAfter }

// ServerConfig returns a configuration for listening that always uses the current keys. If Files.CA is set, clients must present a
// certificate issued by one of its authorities.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		p := k.current.Load()
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*p.cert},
			SessionTicketsDisabled: true} // a ticket would outlive the keys under which it was issued
		if p.peers != nil {
			c.ClientCAs, c.ClientAuth = p.peers, tls.RequireAndVerifyClientCert
		}
		return c, nil
	}}
}

// ClientConfig returns a configuration for one connection to the server called name, with the current keys.
func (k *Keys) ClientConfig(name string) *tls.Config {
	p := k.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: p.peers, ServerName: name}
	if p.cert != nil {
		c.Certificates = []tls.Certificate{*p.cert}
	}
	return c
}

// HasCert reports whether there is a certificate, which ServerConfig requires.
func (k *Keys) HasCert() bool { return k.current.Load().cert != nil }
