// Package endpoint parses, listens on and dials the addresses of the uwsgi front and servers: TCP or Unix sockets, plain or TLS.
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

// maxUnixPathBytes is the maximum length of a Unix socket's path.
const maxUnixPathBytes = 100

// Parse parses an address in one of the forms of Endpoint.
func Parse(text string) (Endpoint, error) {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if path == "" || len(path) > maxUnixPathBytes {
			return Endpoint{}, fmt.Errorf("address %q: a Unix socket's path must have 1 to %d bytes", text, maxUnixPathBytes)
		}
		return Endpoint{Network: "unix", Address: path}, nil
	}
	e := Endpoint{Network: "tcp", Address: text}
	if rest, ok := strings.CutPrefix(text, "suwsgi://"); ok {
		e.Address, e.TLS = rest, true
	} else if rest, ok := strings.CutPrefix(text, "uwsgi://"); ok {
		e.Address = rest
	} else if scheme, _, ok := strings.Cut(text, "://"); ok {
		return Endpoint{}, fmt.Errorf("address %q: unknown scheme %q: must be uwsgi or suwsgi", text, scheme)
	}
	if _, port, err := net.SplitHostPort(e.Address); err != nil || port == "" {
		return Endpoint{}, fmt.Errorf("address %q: write host:port, suwsgi://host:port or unix:/path", text)
	}
	return e, nil
}

// String returns the address in its shortest form, which Parse accepts.
func (e Endpoint) String() string {
	switch {
	case e.Network == "unix":
		return "unix:" + e.Address
	case e.TLS:
		return "suwsgi://" + e.Address
	}
	return e.Address
}

// Local returns an error if the address is neither a Unix socket nor on this machine's loopback.
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

// Listen listens on the address. mode is the mode of a Unix socket; TLS requires keys with a certificate. A Unix socket left by a process
// that has ended is replaced; it is an error if another process still serves it.
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
		return nil, fmt.Errorf("address %s: TLS requires a certificate and its key", e)
	}
	return tls.NewListener(ln, keys.ServerConfig()), nil
}

// unixListener removes its socket file when it is closed, unless another process has replaced the file.
type unixListener struct {
	*net.UnixListener
	path string
	info fs.FileInfo
}

// Close implements net.Listener.
func (l *unixListener) Close() error {
	err := l.UnixListener.Close()
	if info, statErr := os.Lstat(l.path); statErr == nil && os.SameFile(info, l.info) {
		err = errors.Join(err, os.Remove(l.path))
	}
	return err
}

// unixDialTimeout is the timeout of the check whether another process serves a Unix socket.
const unixDialTimeout = time.Second

// listenUnix creates the socket under a temporary name and renames it after setting its mode, so that nobody can connect before then.
func listenUnix(path string, mode fs.FileMode) (net.Listener, error) {
	if err := checkUnused(path); err != nil {
		return nil, err
	}
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporary, Net: "unix"})
	if err != nil {
		return nil, err
	}
	ln.SetUnlinkOnClose(false)
	if err = os.Chmod(temporary, mode); err == nil {
		err = os.Rename(temporary, path)
	}
	var info fs.FileInfo
	if err == nil {
		info, err = os.Lstat(path)
	}
	if err != nil {
		return nil, errors.Join(err, ln.Close(), os.Remove(temporary))
	}
	return &unixListener{ln, path, info}, nil
}

// checkUnused returns an error if the path exists and must not be replaced by a socket.
func checkUnused(path string) error {
	info, err := os.Lstat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil
	case err != nil:
		return err
	case info.Mode()&fs.ModeSocket == 0:
		return fmt.Errorf("%s: file exists and is not a socket", path)
	}
	conn, err := net.DialTimeout("unix", path, unixDialTimeout)
	if err == nil {
		conn.Close()
		return fmt.Errorf("%s: another process is listening on this socket", path)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: cannot determine whether another process is listening on this socket: %w", path, err)
	}
	return nil
}

// Dial connects to the address. If the address requires TLS, the server must present a certificate for name or, if name is empty, for
// the address's host. The context bounds the connection and the handshake. A failed handshake is a *HandshakeError.
func (e Endpoint) Dial(ctx context.Context, keys *tlskeys.Keys, name string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, e.Network, e.Address)
	if err != nil || !e.TLS {
		return conn, err
	}
	if name == "" {
		name, _, _ = net.SplitHostPort(e.Address) // validated by Parse
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

// HandshakeError is the error of a failed TLS handshake. No part of a request was sent.
type HandshakeError struct{ error }

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.error }
