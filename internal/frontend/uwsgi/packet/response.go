package packet

import "bytes"

// Head is what a response's head says, as far as it matters for passing the response on.
type Head struct {
	Status int
	CGI    bool // it begins with "Status:" (RFC 3875 section 6.3.3) or another field, not with a line of HTTP's
	Body   Body
	Size   int // bytes of the head with its empty line
}

// ReadHead reads the head at the start of b. It returns ErrShort while the head is not whole, and an error that wraps
// ErrMalformed or ErrOversize where it can't be one. headOnly says that the request was a HEAD.
func ReadHead(b []byte, headOnly bool, most int) (Head, error) {
	size := headEnd(b)
	if size < 0 {
		if len(b) > most {
			return Head{}, oversize("a response's head of more than %d bytes", most)
		}
		return Head{}, ErrShort
	}
	if size > most {
		return Head{}, oversize("a response's head of %d bytes", size)
	}
	h := Head{Size: size, Body: Body{Length: -1}}
	rest := b[:size]
	line, after := cutLine(rest)
	if bytes.HasPrefix(line, []byte("HTTP/")) {
		var err error
		if h.Status, err = statusLine(line); err != nil {
			return Head{}, err
		}
		rest = after
	} else {
		h.CGI, h.Status = true, 200
	}
	if err := h.fields(rest); err != nil {
		return Head{}, err
	}
	if headOnly || h.Status < 200 || h.Status == 204 || h.Status == 304 { // RFC 9112 section 6.3
		h.Body = Body{}
	}
	return h, nil
}

// ErrShort says that more bytes are needed.
var ErrShort = malformed("the response ended within its head")

// headEnd is where the head ends, its empty line included; -1 if it does not. Lines may end in LF alone, as CGI allows it.
func headEnd(b []byte) int {
	for i := 0; ; {
		j := bytes.IndexByte(b[i:], '\n')
		if j < 0 {
			return -1
		}
		line := b[i : i+j]
		if i += j + 1; len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return i
		}
	}
}

// cutLine takes a line off, without its end.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// statusLine reads "HTTP/1.x NNN reason".
func statusLine(line []byte) (int, error) {
	if len(line) < len("HTTP/1.1 200") || string(line[:7]) != "HTTP/1." || line[7] < '0' || line[7] > '9' || line[8] != ' ' {
		return 0, malformed("the status line %.60q", line)
	}
	return status(line[9:])
}

// status reads three digits at the start of b, alone or before a blank.
func status(b []byte) (int, error) {
	if len(b) < 3 || len(b) > 3 && b[3] != ' ' {
		return 0, malformed("the status %.40q", b)
	}
	n, err := contentLength(b[:3])
	if err != nil || n < 100 || n > 599 {
		return 0, malformed("the status %.40q", b)
	}
	return int(n), nil
}

// fields reads the lines of a head and what they say of the body.
func (h *Head) fields(rest []byte) error {
	var lengths, codings int
	names := 0
	for {
		var line []byte
		if line, rest = cutLine(rest); len(line) == 0 {
			break
		}
		names++
		i := bytes.IndexByte(line, ':')
		if i <= 0 || !token(line[:i]) {
			return malformed("the line %.60q of a head", line)
		}
		name, value := line[:i], bytes.Trim(line[i+1:], " \t")
		if bytes.IndexByte(value, 0) >= 0 || bytes.IndexByte(value, '\r') >= 0 {
			return malformed("the value of %.40q", name)
		}
		switch {
		case h.CGI && foldEqual(name, "status"):
			n, err := status(value)
			if err != nil {
				return err
			}
			h.Status = n
		case foldEqual(name, "content-length"):
			n, err := contentLength(value)
			if err != nil || len(value) == 0 || lengths > 0 && n != h.Body.Length {
				return malformed("a Content-Length of %.20q", value)
			}
			lengths++
			h.Body.Length = n
		case foldEqual(name, "transfer-encoding"):
			if !foldEqual(value, "chunked") || codings > 0 {
				return malformed("a Transfer-Encoding of %.40q", value)
			}
			codings++
			h.Body.Chunked = true
		}
	}
	switch {
	case names == 0 && h.CGI:
		return malformed("a response without a head")
	case lengths > 0 && codings > 0:
		return malformed("both Content-Length and chunks")
	}
	return nil
}

// token says whether a field's name is one (RFC 9110 section 5.6.2).
func token(b []byte) bool {
	for _, c := range b {
		switch {
		case 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return true
}

// Rest follows a response's body, in bytes that come in any pieces, to its end.
type Rest struct {
	left   int64 // of a length; -1: until the connection closes
	chunks *Chunks
}

// Rest follows the body that belongs to the head.
func (h Head) Rest() *Rest {
	if h.Body.Chunked {
		return &Rest{left: -1, chunks: &Chunks{}}
	}
	return &Rest{left: h.Body.Length}
}

// Scan takes the next bytes, returns how many of them are the body's, and whether the body is whole. One that only the
// close of the connection ends is never whole by its bytes.
func (r *Rest) Scan(b []byte) (n int, done bool, err error) {
	switch {
	case r.chunks != nil:
		return r.chunks.Scan(b)
	case r.left < 0:
		return len(b), false, nil
	}
	n = int(min(r.left, int64(len(b))))
	r.left -= int64(n)
	return n, r.left == 0, nil
}

// ByClose says that the close of the connection ends the body.
func (r *Rest) ByClose() bool { return r.chunks == nil && r.left < 0 }
