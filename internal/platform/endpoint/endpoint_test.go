package endpoint

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/platform/tlskeys"
	"sloehitch/internal/testing/standin"
)

func TestParse(t *testing.T) {
	for _, c := range []struct{ in, want, wrong string }{
		{"127.0.0.1:3030", "127.0.0.1:3030", ""},
		{"uwsgi://[::1]:3030", "[::1]:3030", ""},
		{"suwsgi://localhost:3030", "suwsgi://localhost:3030", ""},
		{"unix:/run/a.sock", "unix:/run/a.sock", ""},
		{"unix:", "", "path"},
		{"unix:/" + strings.Repeat("x", 100), "", "100 bytes"},
		{"http://127.0.0.1:1", "", "scheme"},
		{"127.0.0.1", "", "host:port"},
		{"127.0.0.1:", "", "host:port"},
		{"suwsgi://", "", "host:port"},
		{"", "", "host:port"},
	} {
		e, err := Parse(c.in)
		if (err == nil) != (c.wrong == "") || err != nil && !strings.Contains(err.Error(), c.wrong) || err == nil && e.String() != c.want {
			t.Errorf("%q: %v, %v; want %q %q", c.in, e, err, c.want, c.wrong)
		}
	}
}

// TestListenUnixReplacesOnlyStaleSockets checks that a Unix socket has its mode, that a stale socket is replaced, and that a socket
// in use and a file that is not a socket are not replaced.
func TestListenUnixReplacesOnlyStaleSockets(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	e, err := Parse("unix:" + path)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := e.Listen(0o640, nil)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o640 {
		t.Errorf("mode of the socket: %v, error %v; want 0640", info.Mode(), err)
	}
	if _, err := e.Listen(0o600, nil); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("listening on a socket in use: error %v, want one on another process", err)
	}
	ln.(*unixListener).UnixListener.Close() // leaves the file, as a killed process does
	if _, err := os.Stat(path); err != nil {
		t.Fatal(err)
	}
	if ln, err = e.Listen(0o600, nil); err != nil {
		t.Fatal(err)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); err == nil {
		t.Error("Close did not remove the socket file")
	}
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := e.Listen(0o600, nil); err == nil || !strings.Contains(err.Error(), "not a socket") {
		t.Errorf("listening on a path with a regular file: %v", err)
	}
}

// TestTLSKeyReload checks that new keys are reloaded while serving, that an invalid or incomplete pair is not, that open connections
// stay open, and that each end rejects a certificate of another authority.
func TestTLSKeyReload(t *testing.T) {
	dir := t.TempDir()
	first, second := standin.NewAuthority(t), standin.NewAuthority(t)
	farExpiry := time.Now().Add(500 * time.Hour)
	cert, key, ca := first.Issue(t, dir, "server", "node.test", farExpiry)
	var log bytes.Buffer
	keys, err := tlskeys.Load(tlskeys.Files{Cert: cert, Key: key, CA: ca}, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	e, err := Parse("suwsgi://127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Listen(0, nil); err == nil {
		t.Error("listening with TLS succeeded without keys")
	}
	ln, err := e.Listen(0, keys)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	e.Address = ln.Addr().String()
	client := func(a *standin.Authority, prefix string) *tlskeys.Keys {
		cert, key, ca := a.Issue(t, dir, prefix, "client.test", farExpiry)
		k, err := tlskeys.Load(tlskeys.Files{Cert: cert, Key: key, CA: ca}, standin.DiscardLogger)
		if err != nil {
			t.Fatal(err)
		}
		return k
	}
	exchange := func(conn net.Conn, err error) error {
		if err != nil {
			return err
		}
		if err := conn.SetDeadline(time.Now().Add(standin.WaitTimeout)); err != nil {
			return err
		}
		if _, err := conn.Write([]byte("x")); err != nil {
			return err
		}
		_, err = io.ReadFull(conn, make([]byte, 1))
		return err
	}
	dial := func(k *tlskeys.Keys, name string) (net.Conn, error) { return e.Dial(context.Background(), k, name) }
	client1, client2 := client(first, "c1"), client(second, "c2")
	openConn, err := dial(client1, "")
	if err := exchange(openConn, err); err != nil {
		t.Fatal(err)
	}
	defer openConn.Close()
	for _, c := range []struct {
		name string
		err  error
	}{{"another authority's client", exchange(dial(client2, ""))}, {"a server with another name", exchange(dial(client1, "other.test"))}} {
		if c.err == nil {
			t.Errorf("%s was accepted", c.name)
		}
	}
	plain, err := tls.Dial("tcp", e.Address, &tls.Config{InsecureSkipVerify: true})
	if exchange(plain, err) == nil {
		t.Error("a client without a certificate was accepted")
	}
	oldVersion, err := tls.Dial("tcp", e.Address, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS11})
	if exchange(oldVersion, err) == nil {
		t.Error("TLS 1.1 was accepted")
	}

	// With an invalid key file the current pair stays in use, and the error is logged once.
	validKey, err := os.ReadFile(key)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(key, []byte("no key"), 0o600); err != nil {
		t.Fatal(err)
	}
	keys.Check()
	keys.Check()
	if err := exchange(dial(client1, "")); err != nil || strings.Count(log.String(), "the current ones stay in use") != 1 {
		t.Errorf("with an invalid key file: %v; log %s", err, log.String())
	}
	if err := os.WriteFile(key, append(validKey, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
	second.Issue(t, dir, "server", "node.test", time.Now().Add(24*time.Hour))
	if err := keys.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := exchange(dial(client2, "node.test")); err != nil {
		t.Errorf("with the new keys: %v", err)
	}
	if exchange(dial(client1, "")) == nil {
		t.Error("a client of the old authority was accepted after the reload")
	}
	if err := exchange(openConn, nil); err != nil {
		t.Errorf("connection opened before the reload: %v", err)
	}
	if !strings.Contains(log.String(), "expires soon") || keys.Expires().After(farExpiry.Add(-time.Hour)) {
		t.Errorf("no warning before expiry at %v: %s", keys.Expires(), log.String())
	}
	_, _, _ = first.Issue(t, dir, "dead", "x", time.Now().Add(-time.Minute))
	for _, f := range []tlskeys.Files{{Cert: cert}, {Cert: cert, Key: filepath.Join(dir, "c1.key")}, {CA: key}, {CA: filepath.Join(dir, "none")},
		{Cert: filepath.Join(dir, "dead.pem"), Key: filepath.Join(dir, "dead.key")}} {
		if _, err := tlskeys.Load(f, standin.DiscardLogger); err == nil || !strings.Contains(err.Error(), "tls") {
			t.Errorf("key files %s: error %v, want one with \"tls\"", fmt.Sprint(f), err)
		}
	}
}
