package resp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

const fine = "req=9b1f03aa5c7e2d41,ts=1764576000123,via=4,owner=acme,timeout=480.5,resent=1,ms=12.50,need=24.5,level=0.6250,opkey=5c0f"

func TestParse(t *testing.T) {
	long := strings.Repeat("x", 2049)
	for _, c := range []struct {
		name string
		args []string
		ok   bool
		tag  string
	}{
		{"request", []string{"DO", "7", "book", fine, "BODY"}, true, "7"},
		{"no body", []string{"DO", "7", "book", fine}, true, "7"},
		{"undo", []string{"UNDO", "7"}, true, "7"},
		{"ping", []string{"PING", "8", ""}, true, "8"},
		{"unknown field", []string{"DO", "7", "book", fine + ",new=1", ""}, true, "7"},
		{"no tag", []string{"DO"}, false, ""},
		{"tag 0", []string{"DO", "0", "book", fine, ""}, false, ""},
		{"tag not a number", []string{"DO", "x7", "book", fine, ""}, false, ""},
		{"tag past 63 bits", []string{"DO", "9223372036854775808", "book", fine, ""}, false, ""},
		{"unknown verb", []string{"GET", "7"}, false, "7"},
		{"too many parts", []string{"DO", "7", "book", fine, "", ""}, false, "7"},
		{"no class", []string{"DO", "7", "", fine, ""}, false, "7"},
		{"body too long", []string{"DO", "7", "book", fine, long}, false, "7"},
		{"fields too long", []string{"DO", "7", "book", fine + ",x=" + long, ""}, false, "7"},
		{"no req", []string{"DO", "7", "book", "ts=1764576000123", ""}, false, "7"},
		{"no ts", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d41", ""}, false, "7"},
		{"req not hex", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d4x,ts=1", ""}, false, "7"},
		{"negative ts", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d41,ts=-1", ""}, false, "7"},
		{"need not a number", []string{"DO", "7", "book", fine + ",need=NaN", ""}, false, "7"},
		{"need beyond any memory", []string{"DO", "7", "book", fine + ",need=1e9", ""}, false, "7"},
		{"need of nothing", []string{"DO", "7", "book", strings.Replace(fine, "24.5", "0.0", 1), ""}, false, "7"},
		{"no need", []string{"DO", "7", "book", strings.Replace(fine, "need", "nee", 1), ""}, false, "7"},
		{"level 1", []string{"DO", "7", "book", strings.Replace(fine, "0.6250", "1", 1), ""}, false, "7"},
		{"a wait of no time", []string{"DO", "7", "book", strings.Replace(fine, "480.5", "0", 1), ""}, true, "7"},
		{"a wait below 0", []string{"DO", "7", "book", strings.Replace(fine, "480.5", "-1", 1), ""}, false, "7"},
		{"a wait beyond all time", []string{"DO", "7", "book", strings.Replace(fine, "480.5", "1e12", 1), ""}, false, "7"},
		{"only what is needed", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d41,ts=1764576000123,need=24.5", ""}, true, "7"},
		{"resent 2", []string{"DO", "7", "book", strings.Replace(fine, "resent=1", "resent=2", 1), ""}, false, "7"},
		{"UNDO of parts", []string{"UNDO", "7", "", ""}, false, "7"},
		{"a field without a value", []string{"DO", "7", "book", fine + ",level", ""}, false, "7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var args [][]byte
			for _, a := range c.args {
				args = append(args, []byte(a))
			}
			m, err := decodeMessage(args, 2048, 1024)
			tag := ""
			if m != nil {
				tag = m.messageTag()
			}
			if (err == nil) != c.ok || tag != c.tag {
				t.Errorf("tag %q, %v; want tag %q, ok %v", tag, err, c.tag, c.ok)
			}
		})
	}
}

func TestParseFields(t *testing.T) {
	decoded, err := decodeMessage([][]byte{[]byte("DO"), []byte("7"), []byte("book"), []byte(fine + ",subject=7f3a"), []byte("a\r\nb")}, 2048, 1024)
	if err != nil {
		t.Fatal(err)
	}
	want := submitMessage{tag: "7", class: "book", requestID: "9b1f03aa5c7e2d41", tenant: "acme", idempotencyKey: "5c0f", subject: "7f3a",
		arrivedAt: time.UnixMilli(1764576000123), timeout: 480500 * time.Microsecond, balancer: 4, retry: true,
		workHint: 12500 * time.Microsecond, memoryKB: 24.5, priorityRank: 0.625}
	got := *decoded.(*submitMessage)
	if string(got.body) != "a\r\nb" {
		t.Errorf("body %q", got.body)
	}
	got.body = nil
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
}

// framing is what the frames let through; redcon's own reader would do worse on all that is refused.
var framing = []struct {
	name, in string
	pass     string // what of it is handed on
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
	{"bulk longer than told", "*1\r\n$1\r\nab\r\n", "*1\r\n$1\r\na", true},
	{"bare line feed", "*1\n", "*1", true},
	{"frame too large", "*2\r\n$8000\r\n" + strings.Repeat("a", 8000) + "\r\n$8000\r\n", "*2\r\n$8000\r\n" + strings.Repeat("a", 8000) + "\r\n$8000", true},
}

func TestFrames(t *testing.T) {
	for _, c := range framing {
		for _, size := range []int{1, 7, 1 << 20} { // in fragments and whole
			g := &framedConn{Conn: chunked{strings.NewReader(c.in), size}, validator: frameValidator{maxParts: 8, maxBulkBytes: 8 << 10, maxFrameBytes: 8 << 10}}
			got, err := io.ReadAll(g)
			if !strings.HasPrefix(c.in, string(got)) || len(got) != len(c.pass) || errors.Is(err, errFraming) != c.bad {
				t.Errorf("%s in pieces of %d: passed %.40q, %v; want %.40q, bad %v", c.name, size, got, err, c.pass, c.bad)
			}
		}
	}
}

// chunked is a connection that hands out a reader's bytes in small pieces.
type chunked struct {
	io.Reader
	size int
}

func (c chunked) Read(b []byte) (int, error) { return c.Reader.Read(b[:min(c.size, len(b))]) }
func (chunked) Write([]byte) (int, error)    { return 0, io.ErrClosedPipe }
func (chunked) Close() error                 { return nil }
func (chunked) LocalAddr() net.Addr          { return nil }
func (chunked) RemoteAddr() net.Addr         { return nil }
func (chunked) SetDeadline(time.Time) error  { return nil }

func (chunked) SetReadDeadline(time.Time) error  { return nil }
func (chunked) SetWriteDeadline(time.Time) error { return nil }

// TestRedconNeedsTheGuard shows what the frames are for; once it fails, redcon has become safer.
func TestRedconNeedsTheGuard(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("redcon no longer panics on a huge length")
		}
	}()
	// The length overflows redcon's index, which passes its test for enough bytes.
	_, err := redcon.NewReader(strings.NewReader("*1\r\n$9223372036854775807\r\nab\r\n")).ReadCommand()
	t.Error("read with", err)
}

func FuzzFrames(f *testing.F) {
	for _, c := range framing {
		f.Add([]byte(c.in))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		lim := limits.For(64, 256)
		read := func(r io.Reader) (commands int, framed bool) {
			g := &framedConn{Conn: chunked{r, 1 << 20}, validator: newFrameValidator(&lim)}
			in := redcon.NewReader(g)
			for {
				cmd, err := in.ReadCommand()
				if err != nil {
					return commands, !strings.Contains(err.Error(), "Protocol")
				}
				if commands++; len(cmd.Args) == 0 || len(cmd.Args) > lim.FrameParts {
					t.Fatalf("%d parts", len(cmd.Args))
				}
			}
		}
		whole, framed := read(bytes.NewReader(in))
		pieces, _ := read(iotest.OneByteReader(bytes.NewReader(in)))
		if whole != pieces || !framed {
			t.Errorf("%d commands at once, %d byte by byte; framed %v", whole, pieces, framed)
		}
	})
}

// told is a core that notes which requests it is told are over.
type told struct{ gone []string }

func (*told) RejectionStatus(string, string) node.Status { return node.StatusRejected }
func (*told) Submit(node.Request, func(node.Response))   {}
func (c *told) Cancel(id string)                         { c.gone = append(c.gone, id) }
func (c *told) Abort(id string)                          { c.gone = append(c.gone, id) }

// TestAMessageAfterTheSeatIsGone: what is read as a connection makes room is refused and not taken, and its end says nothing of the
// request that it names, which may be another caller's.
func TestAMessageAfterTheSeatIsGone(t *testing.T) {
	c := &told{}
	f := New(Options{Core: c, Status: mood{}, Limits: limits.For(64, 256), Log: standin.Quiet})
	ours, theirs := net.Pipe()
	defer theirs.Close()
	k := &conn{front: f, socket: &framedConn{Conn: ours}, slot: f.slots.Acquire(func() {}), openRequests: map[string]string{}}
	k.slot.Release()
	answer := make(chan string, 1)
	go func() {
		b := make([]byte, 64)
		n, _ := theirs.Read(b)
		answer <- string(b[:n])
	}()
	err := k.handleMessage([][]byte{[]byte("DO"), []byte("7"), []byte("book"), []byte(fine), nil})
	if got := <-answer; got != "*2\r\n$1\r\n7\r\n$3\r\nNAK\r\n" {
		t.Errorf("%q, want a refusal", got)
	}
	if k.endReading(err); !errors.Is(err, errSlotLost) || len(c.gone) > 0 {
		t.Errorf("%v, told that %v are over", err, c.gone)
	}
}
