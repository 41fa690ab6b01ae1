package packet

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func request(t testing.TB, vars ...[2]string) []byte {
	t.Helper()
	b, err := AppendRequest(nil, 0, 0, vars)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func v(name, value string) [2]string { return [2]string{name, value} }

func TestReadVars(t *testing.T) {
	var many [][2]string
	for i := range 9 {
		many = append(many, v(fmt.Sprint("V", i), "x"))
	}
	for _, c := range []struct {
		name, block string
		want        error
	}{
		{"no variables", "", nil},
		{"several variables", string(request(t, v("A", "1"), v("B", ""), v("AB", "2"))[HeaderSize:]), nil},
		{"name extends past the block", "\x05\x00A", ErrMalformed},
		{"value extends past the block", "\x01\x00A\x09\x00", ErrMalformed},
		{"value missing", "\x01\x00A", ErrMalformed},
		{"truncated length", "\x01\x00A\x00", ErrMalformed},
		{"empty name", "\x00\x00\x00\x00", ErrMalformed},
		{"duplicate name", string(request(t, v("A", "1"), v("B", "1"), v("A", "1"))[HeaderSize:]), ErrMalformed},
		{"line end in a value", string(request(t, v("HTTP_A", "1\r\nX: y"))[HeaderSize:]), ErrMalformed},
		{"zero byte in a value", string(request(t, v("A", "\x00"))[HeaderSize:]), ErrMalformed},
		{"too many variables", string(request(t, many...)[HeaderSize:]), ErrOversize},
	} {
		if _, err := ReadVars([]byte(c.block), 8); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if _, err := AppendRequest(nil, 0, 0, [][2]string{v("A", strings.Repeat("x", 70000))}); !errors.Is(err, ErrOversize) {
		t.Errorf("variable of 70000 bytes: %v, want ErrOversize", err)
	}
}

func TestRequestFraming(t *testing.T) {
	for _, c := range []struct {
		name string
		vars [][2]string
		want Framing
		err  error
	}{
		{"no variables", nil, Framing{}, nil},
		{"empty length", [][2]string{v("CONTENT_LENGTH", "")}, Framing{}, nil},
		{"matching lengths", [][2]string{v("CONTENT_LENGTH", "12"), v("HTTP_CONTENT_LENGTH", "12")}, Framing{Length: 12}, nil},
		{"chunked", [][2]string{v("HTTP_TRANSFER_ENCODING", "Chunked")}, Framing{Length: -1, Chunked: true}, nil},
		{"length and chunked", [][2]string{v("CONTENT_LENGTH", "0"), v("HTTP_TRANSFER_ENCODING", "chunked")}, Framing{}, ErrMalformed},
		{"two transfer codings", [][2]string{v("HTTP_TRANSFER_ENCODING", "gzip, chunked")}, Framing{}, ErrMalformed},
		{"different lengths", [][2]string{v("CONTENT_LENGTH", "1"), v("HTTP_CONTENT_LENGTH", "2")}, Framing{}, ErrMalformed},
		{"HTTP_CONTENT_LENGTH only", [][2]string{v("HTTP_CONTENT_LENGTH", "2")}, Framing{}, ErrMalformed},
		{"sign before the length", [][2]string{v("CONTENT_LENGTH", "+1")}, Framing{}, ErrMalformed},
		{"negative length", [][2]string{v("CONTENT_LENGTH", "-1")}, Framing{}, ErrMalformed},
		{"space before the length", [][2]string{v("CONTENT_LENGTH", " 1")}, Framing{}, ErrMalformed},
		{"hexadecimal length", [][2]string{v("CONTENT_LENGTH", "0x1")}, Framing{}, ErrMalformed},
		{"length overflows int64", [][2]string{v("CONTENT_LENGTH", "9999999999999999999")}, Framing{}, ErrMalformed},
	} {
		vars, err := ReadVars(request(t, c.vars...)[HeaderSize:], 8)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := RequestFraming(vars); !errors.Is(err, c.err) || got != c.want {
			t.Errorf("%s: %+v, %v; want %+v, %v", c.name, got, err, c.want, c.err)
		}
	}
}

// TestChunkScannerWithAnyFragmentation scans each body byte by byte and split in two at each offset.
func TestChunkScannerWithAnyFragmentation(t *testing.T) {
	for _, c := range []struct {
		name, in string
		rest     int // bytes after the body; -1 if the body is incomplete
		err      error
	}{
		{"empty", "0\r\n\r\n", 0, nil},
		{"two chunks", "3\r\nabc\r\n0a\r\n0123456789\r\n0\r\n\r\n", 0, nil},
		{"chunk extensions", "3;a=\"b\"\r\nabc\r\n0;x\r\n\r\n", 0, nil},
		{"trailers", "0\r\nA: b\r\nC: d\r\n\r\n", 0, nil},
		{"bytes after the body", "1\r\na\r\n0\r\n\r\nGET", 3, nil},
		{"incomplete body", "3\r\nab", -1, nil},
		{"missing size", "\r\n", 0, ErrMalformed},
		{"sign before the size", "+1\r\na\r\n0\r\n\r\n", 0, ErrMalformed},
		{"0x before the size", "0x1\r\na\r\n0\r\n\r\n", 0, ErrMalformed},
		{"space after the size", "1 \r\na\r\n0\r\n\r\n", 0, ErrMalformed},
		{"bare LF as line end", "1\na\n0\n\n", 0, ErrMalformed},
		{"size of more than 15 digits", "1000000000000000\r\n", 0, ErrMalformed},
		{"chunk longer than its size", "1\r\nab\r\n0\r\n\r\n", 0, ErrMalformed},
		{"chunk shorter than its size", "3\r\na\r\n0\r\n\r\n", 0, ErrMalformed},
		{"LF in an extension", "1;a\nb\r\na\r\n0\r\n\r\n", 0, ErrMalformed},
		{"oversize extension", "1;" + strings.Repeat("x", 300), 0, ErrOversize},
		{"oversize trailers", "0\r\n" + strings.Repeat("A: bbbbbbbb\r\n", 1000), 0, ErrOversize},
		{"trailer without a name", "0\r\n: b\r\n\r\n", 0, ErrMalformed},
	} {
		for cut := -1; cut < len(c.in); cut++ {
			pieces := strings.Split(c.in, "")
			if cut >= 0 {
				pieces = []string{c.in[:cut], c.in[cut:]}
			}
			var s ChunkScanner
			var err error
			scanned, done := 0, false
			for _, p := range pieces {
				if done || err != nil {
					break
				}
				var n int
				n, done, err = s.Scan([]byte(p))
				scanned += n
			}
			if !errors.Is(err, c.err) || err == nil && done != (c.rest >= 0) || done && len(c.in)-scanned != c.rest {
				t.Errorf("%s, split at %d: %d of %d bytes scanned, done %v, %v", c.name, cut, scanned, len(c.in), done, err)
				break
			}
		}
	}
}

func TestReadResponseHead(t *testing.T) {
	const maxBytes = 200
	for _, c := range []struct {
		name, in string
		headOnly bool
		want     ResponseHead
		err      error
	}{
		{"body until the connection is closed", "HTTP/1.1 200 OK\r\n\r\nbody", false, ResponseHead{Status: 200, Body: Framing{Length: -1}, Size: 19}, nil},
		{"no reason phrase", "HTTP/1.0 204\r\n\r\n", false, ResponseHead{Status: 204, Size: 16}, nil},
		{"Content-Length", "HTTP/1.1 500 Oops\r\ncontent-length: 2\r\n\r\nhi", false, ResponseHead{Status: 500, Body: Framing{Length: 2}, Size: 40}, nil},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, ResponseHead{Status: 200, Body: Framing{Length: -1, Chunked: true}, Size: 47}, nil},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n", true, ResponseHead{Status: 200, Size: 39}, nil},
		{"interim response", "HTTP/1.1 100 Continue\r\n\r\n", false, ResponseHead{Status: 100, Size: 25}, nil},
		{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n", false, ResponseHead{Status: 304, Size: 49}, nil},
		{"CGI", "Status: 404 Not Found\r\nContent-Length: 0\r\n\r\n", false, ResponseHead{Status: 404, CGI: true, Size: 44}, nil},
		{"CGI with bare LFs", "Content-Type: text/plain\nStatus: 201\n\nx", false, ResponseHead{Status: 201, CGI: true, Body: Framing{Length: -1}, Size: 38}, nil},
		{"CGI without a status", "Content-Type: text/plain\r\n\r\n", false, ResponseHead{Status: 200, CGI: true, Body: Framing{Length: -1}, Size: 28}, nil},
		{"equal lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n", false, ResponseHead{Status: 200, Body: Framing{Length: 2}, Size: 57}, nil},
		{"empty input", "", false, ResponseHead{}, ErrIncomplete},
		{"incomplete head", "HTTP/1.1 200 OK\r\nA: b\r\n", false, ResponseHead{}, ErrIncomplete},
		{"incomplete head over the limit", strings.Repeat("A: b\r\n", 50), false, ResponseHead{}, ErrOversize},
		{"complete head over the limit", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 200) + "\r\n\r\n", false, ResponseHead{}, ErrOversize},
		{"empty head", "\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"different lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"length and chunked", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"length that is not a number", "HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"empty length", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"unsupported transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"folded header line", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"header line without a colon", "HTTP/1.1 200 OK\r\ngarbage\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"bare CR in a value", "HTTP/1.1 200 OK\r\nA: b\rContent-Length: 2\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"HTTP/2", "HTTP/2.0 200 OK\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"status below 100", "HTTP/1.1 099 Low\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"status above 599", "HTTP/1.1 600 High\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"CGI with an invalid status", "Status: fine\r\n\r\n", false, ResponseHead{}, ErrMalformed},
		{"request instead of a response", "GET / HTTP/1.1\r\n\r\n", false, ResponseHead{}, ErrMalformed},
	} {
		got, err := ReadResponseHead([]byte(c.in), c.headOnly, maxBytes)
		if !errors.Is(err, c.err) || (c.err == ErrIncomplete) != (err == ErrIncomplete) || got != c.want { //nolint:errorlint // callers compare with ErrIncomplete itself
			t.Errorf("%s: %+v, %v; want %+v, %v", c.name, got, err, c.want, c.err)
		}
	}
}

// TestParsingDoesNotAllocate checks that parsing in the common path does not allocate.
func TestParsingDoesNotAllocate(t *testing.T) {
	b := request(t, v("REQUEST_METHOD", "POST"), v("PATH_INFO", "/book"), v("CONTENT_LENGTH", "5"), v("HTTP_HOST", "a"))
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello")
	if n := testing.AllocsPerRun(100, func() {
		h := ReadHeader(b)
		vars, err := ReadVars(b[HeaderSize:HeaderSize+h.Size], 16)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := RequestFraming(vars); err != nil || body.Length != 5 {
			t.Fatal(body, err)
		}
		if r, err := ReadResponseHead(head, false, 1024); err != nil || r.Body.Length != 5 {
			t.Fatal(r, err)
		}
	}); n != 0 {
		t.Errorf("%v allocations, want 0", n)
	}
}

func FuzzPacket(f *testing.F) {
	f.Add(request(f, v("CONTENT_LENGTH", "5"), v("HTTP_TRANSFER_ENCODING", "chunked")))
	f.Add([]byte("\x00\xff\xff\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) < HeaderSize {
			return
		}
		vars, err := ReadVars(b[HeaderSize:], 64)
		if err != nil {
			return
		}
		var list [][2]string
		for name, value := range vars.All() {
			list = append(list, v(string(name), string(value)))
			if got, ok := vars.Find(string(name)); !ok || !bytes.Equal(got, value) {
				t.Errorf("All returns %q as %q, Find as %q", name, value, got)
			}
		}
		if encoded, err := AppendRequest(nil, 0, 0, list); err == nil && !bytes.Equal(encoded[HeaderSize:], b[HeaderSize:]) {
			t.Errorf("%x is encoded again as %x", b[HeaderSize:], encoded[HeaderSize:])
		}
		if body, err := RequestFraming(vars); err == nil && (body.Length < 0) != body.Chunked {
			t.Errorf("Length and Chunked are inconsistent: %+v", body)
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), 7)
	f.Add([]byte("Status: 404 Not Found\nContent-Length: 2\n\nhi"), 3)
	f.Fuzz(func(t *testing.T, b []byte, cut int) {
		h, err := ReadResponseHead(b, false, 1<<10)
		if err != nil {
			return
		}
		if h.Size > len(b) || h.Status < 100 || h.Status > 599 {
			t.Fatalf("invalid head %+v in %d bytes", h, len(b))
		}
		body := b[h.Size:]
		unsplit, done, err := h.BodyScanner().Scan(body)
		// Split in two, the body must end at the same offset.
		at := 0
		if len(body) > 0 {
			at = int(uint(cut) % uint(len(body)+1))
		}
		r := h.BodyScanner()
		n, d, e := r.Scan(body[:at])
		if e == nil && !d {
			var m int
			m, d, e = r.Scan(body[at:])
			n += m
		}
		if n != unsplit || d != done || (e == nil) != (err == nil) {
			t.Errorf("unsplit: %d %v %v; split at %d: %d %v %v", unsplit, done, err, at, n, d, e)
		}
	})
}

func BenchmarkRequest(b *testing.B) {
	p := request(b, v("REQUEST_METHOD", "POST"), v("PATH_INFO", "/book"), v("QUERY_STRING", "a=b"), v("CONTENT_LENGTH", "5"), v("SERVER_NAME", "x"),
		v("SERVER_PROTOCOL", "HTTP/1.1"), v("REMOTE_ADDR", "127.0.0.1"), v("HTTP_HOST", "clinic.test"), v("HTTP_USER_AGENT", "test"), v("HTTP_IDEMPOTENCY_KEY", "k1"))
	b.ReportAllocs()
	for b.Loop() {
		vars, err := ReadVars(p[HeaderSize:], 256)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := RequestFraming(vars); err != nil {
			b.Fatal(err)
		}
	}
}
