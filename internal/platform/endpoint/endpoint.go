// Package endpoint reads the addresses of the uwsgi side, and listens on and dials them: TCP or Unix sockets, plain or TLS.
package endpoint

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"sloehitch/internal/platform/tlskeys"
)

// Endpoint is an address: "host:port" or "uwsgi://host:port" plain, "suwsgi://host:port" with TLS (as uWSGI names its
// secure sockets), "unix:/path" for a Unix socket.
type Endpoint struct {
	Network string // tcp or unix
	Address string
	TLS     bool
}

// Parse reads an address.
func Parse(text string) (Endpoint, error) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if path == "" || len(path) > 100 {
			return Endpoint{}, fmt.Errorf("address %q: a Unix socket's path has 1 to 100 bytes", text)
		}
		return Endpoint{Network: "unix", Address: path}, nil
	}
	e := Endpoint{Network: "tcp", Address: text}
	if rest, ok := strings.CutPrefix(text, "suwsgi://"); ok {
		e.Address, e.TLS = rest, true
	} else if rest, ok := strings.CutPrefix(text, "uwsgi://"); ok {
		e.Address = rest
	} else if scheme, _, ok := strings.Cut(text, "://"); ok {
		return Endpoint{}, fmt.Errorf("address %q: scheme %q is none of uwsgi, suwsgi", text, scheme)
	}
	if _, port, err := net.SplitHostPort(e.Address); err != nil || port == "" {
		return Endpoint{}, fmt.Errorf("address %q: write host:port, suwsgi://host:port or unix:/path", text)
	}
	return e, nil
}

func (e Endpoint) String() string {
	switch {
	case e.Network == "unix":
		return "unix:" + e.Address
	case e.TLS:
		return "suwsgi://" + e.Address
	}
	return e.Address
}

// Local says what is wrong with an address that is not on this machine's loopback.
func (e Endpoint) Local() error {
	if e.Network == "unix" {
		return nil
	}
	host, _, err := net.SplitHostPort(e.Address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("address %s: not a loopback address", e)
	}
	return nil
}

// Listen listens. mode is a Unix socket's; keys are needed with TLS. The socket of a process that has ended is replaced, that of one that
// still serves is not.
func (e Endpoint) Listen(mode fs.FileMode, keys *tlskeys.Keys) (net.Listener, error) {
	if e.Network == "unix" {
		return listenUnix(e.Address, mode)
	}
	ln, err := net.Listen("tcp", e.Address)
	if err != nil || !e.TLS {
		return ln, err
	}
	if keys == nil || !keys.HasCert() {
		ln.Close()
		return nil, fmt.Errorf("address %s: TLS needs a certificate and its key", e)
	}
	return tls.NewListener(ln, keys.ServerConfig()), nil
}

// unixListener takes its name away when it is closed, if the name is still its own.
type unixListener struct {
	*net.UnixListener
	path string
	info fs.FileInfo
}

func (l *unixListener) Close() error {
	err := l.UnixListener.Close()
	if info, statErr := os.Lstat(l.path); statErr == nil && os.SameFile(info, l.info) {
		err = errors.Join(err, os.Remove(l.path))
	}
	return err
}

// listenUnix makes the socket under another name and moves it into place once it has its mode: nobody connects to one that
// is open to all.
func listenUnix(path string, mode fs.FileMode) (net.Listener, error) {
	switch info, err := os.Lstat(path); {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	case info.Mode()&fs.ModeSocket == 0:
		return nil, fmt.Errorf("%s: there is a file that is no socket", path)
	default:
		conn, err := net.DialTimeout("unix", path, time.Second)
		if err == nil {
			conn.Close()
			return nil, fmt.Errorf("%s: another process serves there", path)
		}
		if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, fs.ErrNotExist) {
			return nil, fmt.Errorf("%s: it can't be told whether another process serves there: %w", path, err)
		}
	}
	made := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(made); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: made, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err = os.Chmod(made, mode); err == nil {
		err = os.Rename(made, path)
	}
	var info fs.FileInfo
	if err == nil {
		info, err = os.Lstat(path)
	}
	if err != nil {
		return nil, errors.Join(err, ln.Close(), os.Remove(made))
	}
	return &unixListener{ln, path, info}, nil
}

// Dial connects, with TLS where the address says so: the server must then show a certificate for name, or if that is empty for
// the address's host. The context bounds all of it.
func (e Endpoint) Dial(ctx context.Context, keys *tlskeys.Keys, name string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, e.Network, e.Address)
	if err != nil || !e.TLS {
		return conn, err
	}
	if name == "" {
		name, _, _ = net.SplitHostPort(e.Address) // read by Parse
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: name}
	if keys != nil {
		config = keys.ClientConfig(name)
	}
	t := tls.Client(conn, config)
	if err := t.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, &HandshakeError{err}
	}
	return t, nil
}

// HandshakeError is a failed handshake: nothing of a request was sent.
type HandshakeError struct{ error }

func (e *HandshakeError) Unwrap() error { return e.error }
