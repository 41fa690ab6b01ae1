// Package tlskeys holds certificates that change in service: new files are taken up together and at one go, or not at
// all. Connections that are open finish on the keys that they began with.
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

// Files name the PEM files of one end. All are read together.
type Files struct {
	Cert string // this end's certificate and what leads to its authority; empty: none
	Key  string
	CA   string // authorities that the other end's certificate must lead to; empty: those of the system for a client, none for a server
}

// ExpiryWarning is how long before its end a certificate is warned of, once a day.
const ExpiryWarning = 14 * 24 * time.Hour

// Keys are the certificates in force. They are safe for use from many goroutines.
type Keys struct {
	files Files
	log   *slog.Logger
	now   func() time.Time

	current atomic.Pointer[keySet]

	mu            sync.Mutex // guards what follows, and loading
	lastFileState string     // how the files looked when they were last read, whether or not they were any good
	warnedAt      time.Time
}

// keySet is one set of keys.
type keySet struct {
	cert     *tls.Certificate // nil: none
	peers    *x509.CertPool   // nil: none named
	notAfter time.Time
}

// Load reads the files. They must be in order.
func Load(files Files, log *slog.Logger) (*Keys, error) {
	k := &Keys{files: files, log: log, now: time.Now}
	if (files.Cert == "") != (files.Key == "") {
		return nil, errors.New("tls: cert and key belong together")
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

// read reads all files. It is the only place that decides what is good.
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
			return nil, fmt.Errorf("tls: %s: no certificate in PEM form", k.files.CA)
		}
	}
	return p, nil
}

// Reload reads the files again. On an error the keys stay as they were.
func (k *Keys) Reload() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reload(k.fileState())
}

func (k *Keys) reload(look string) error {
	k.lastFileState = look
	p, err := k.read()
	if err != nil {
		k.log.Error("the TLS keys stay as they were", "error", err)
		return err
	}
	k.current.Store(p)
	k.warnedAt = time.Time{}
	k.log.Info("TLS keys taken up", "cert", k.files.Cert, "ca", k.files.CA, "expires", p.notAfter)
	k.warnBeforeExpiry(p)
	return nil
}

// fileState is how the files look: it changes when one of them does.
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

// Check reloads the files if they have changed since they were last read, and warns of an end that is near. It is to be called now
// and then; it reads the disk.
func (k *Keys) Check() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if look := k.fileState(); look != k.lastFileState {
		_ = k.reload(look) // said in the log
	}
	k.warnBeforeExpiry(k.current.Load())
}

// warnBeforeExpiry says once a day that the certificate in force is near its end.
func (k *Keys) warnBeforeExpiry(p *keySet) {
	now := k.now()
	if p.notAfter.IsZero() || p.notAfter.Sub(now) > ExpiryWarning || now.Sub(k.warnedAt) < 24*time.Hour {
		return
	}
	k.warnedAt = now
	k.log.Warn("a TLS certificate is near its end", "cert", k.files.Cert, "expires", p.notAfter, "left", p.notAfter.Sub(now).Round(time.Hour))
}

// Expires is when the certificate in force ends; zero without one.
func (k *Keys) Expires() time.Time { return k.current.Load().notAfter }

// ServerConfig is a configuration for listening that always offers the keys in force. Where authorities are named, clients must show a
// certificate that leads to one of them.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		p := k.current.Load()
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*p.cert},
			SessionTicketsDisabled: true} // a ticket would outlive the keys that it was given under
		if p.peers != nil {
			c.ClientCAs, c.ClientAuth = p.peers, tls.RequireAndVerifyClientCert
		}
		return c, nil
	}}
}

// ClientConfig is a configuration for one connection to a server of that name, with the keys in force.
func (k *Keys) ClientConfig(name string) *tls.Config {
	p := k.current.Load()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: p.peers, ServerName: name}
	if p.cert != nil {
		c.Certificates = []tls.Certificate{*p.cert}
	}
	return c
}

// HasCert says whether there is a certificate, which a server needs.
func (k *Keys) HasCert() bool { return k.current.Load().cert != nil }
