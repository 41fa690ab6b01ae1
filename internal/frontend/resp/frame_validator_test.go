package resp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// framingCases are inputs, the part of each that the validator passes on, and whether it then reports an error.
var framingCases = []struct {
	name, in string
	pass     string // the part of the input that is passed on
	bad      bool
}{

	{"two commands", standin.Array("PING", "1") + standin.Array("UNDO", "2"), standin.Array("PING", "1") + standin.Array("UNDO", "2"), false},
	{"empty bulk", "*1\r\n$0\r\n\r\n", "*1\r\n$0\r\n\r\n", false},
	{"half a command", "*2\r\n$4\r\nPI", "*2\r\n$4\r\nPI", false},
	{"inline", "PING 1\r\n", "", true},
	{"inline after a command", standin.Array("PING", "1") + "QUIT\r\n", standin.Array("PING", "1"), true},
	{"huge bulk", "*1\r\n$9223372036854775807\r\n", "*1\r\n$922", true},
	{"huge count", "*9223372036854775807\r\n", "*", true},
	{"negative count", "*-1\r\n", "*", true},
	{"no count", "*\r\n", "*", true},
	{"zero count", "*0\r\n", "*0", true},
	{"no length", "*1\r\n$\r\n", "*1\r\n$", true},
	{"not a bulk", "*1\r\n:1\r\n", "*1\r\n", true},
	{"bulk longer than announced", "*1\r\n$1\r\nab\r\n", "*1\r\n$1\r\na", true},
	{"bare line feed", "*1\n", "*1", true},
	{"frame too large", "*2\r\n$8000\r\n" + strings.Repeat("a", 8000) + "\r\n$8000\r\n", "*2\r\n$8000\r\n" + strings.Repeat("a", 8000) + "\r\n$8000", true},
}

func TestFrameValidator(t *testing.T) {
	for _, c := range framingCases {
		for _, size := range []int{1, 7, 1 << 20} { // in fragments and in one read
			fc := &framedConn{Conn: chunkedConn{strings.NewReader(c.in), size}, validator: frameValidator{maxParts: 8, maxBulkBytes: 8 << 10, maxFrameBytes: 8 << 10}}
			got, err := io.ReadAll(fc)
			if !strings.HasPrefix(c.in, string(got)) || len(got) != len(c.pass) || errors.Is(err, errFraming) != c.bad {
				t.Errorf("%s in reads of %d bytes: passed %.40q, %v; want %.40q, framing error %v", c.name, size, got, err, c.pass, c.bad)
			}
		}
	}
}

// chunkedConn is a connection that returns at most size bytes of its reader per read.
type chunkedConn struct {
	io.Reader
	size int
}

func (c chunkedConn) Read(b []byte) (int, error) { return c.Reader.Read(b[:min(c.size, len(b))]) }

func (chunkedConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func (chunkedConn) Close() error { return nil }

func (chunkedConn) LocalAddr() net.Addr { return nil }

func (chunkedConn) RemoteAddr() net.Addr { return nil }

func (chunkedConn) SetDeadline(time.Time) error { return nil }

func (chunkedConn) SetReadDeadline(time.Time) error { return nil }

func (chunkedConn) SetWriteDeadline(time.Time) error { return nil }

// TestRedconNeedsFrameValidator shows why the validator exists. If it fails, redcon no longer has this fault.
func TestRedconNeedsFrameValidator(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("redcon no longer panics on a huge length")
		}
	}()
	// The length overflows redcon's index, so that its check for enough bytes passes.
	_, _, _, _, err := redcon.ReadNextCommand([]byte("*1\r\n$9223372036854775807\r\nab\r\n"), nil)
	t.Error("redcon read the command without a panic, error:", err)
}

func FuzzFrames(f *testing.F) {
	for _, c := range framingCases {
		f.Add([]byte(c.in))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		lim := limits.For(64, 256)
		read := func(r io.Reader) (commands int, framed bool) {
			fc := &framedConn{Conn: chunkedConn{r, 1 << 20}, validator: newFrameValidator(&lim)}
			in := newMessageReader(fc)
			for {
				parts, err := in.next()
				if err != nil {
					return commands, !strings.Contains(err.Error(), "Protocol")
				}
				if commands++; len(parts) == 0 || len(parts) > lim.FrameParts {
					t.Fatalf("a command of %d parts was passed on", len(parts))
				}
			}
		}
		atOnce, framed := read(bytes.NewReader(in))
		byByte, _ := read(iotest.OneByteReader(bytes.NewReader(in)))
		if atOnce != byByte || !framed {
			t.Errorf("%d commands in one read, %d byte by byte, well framed: %v; want equal counts and true", atOnce, byByte, framed)
		}
	})
}
