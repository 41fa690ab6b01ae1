package packet

import "bytes"

// ResponseHead holds the parts of a response head that are needed to forward the response.
type ResponseHead struct {
	Status int
	CGI    bool // the head begins with a header field, such as "Status:" (RFC 3875 section 6.3.3), instead of an HTTP status line
	Body   Framing
	Size   int // of the head in bytes, including the empty line
}

// ReadResponseHead parses the head of at most maxBytes at the start of b. It returns ErrIncomplete while the head is not complete,
// and an error that wraps ErrMalformed or ErrOversize if the head is not valid. headOnly must be set if the request method was HEAD.
func ReadResponseHead(b []byte, headOnly bool, maxBytes int) (ResponseHead, error) {
	size := headEnd(b)
	if size < 0 {
		if len(b) > maxBytes {
			return ResponseHead{}, oversize("the response head is longer than %d bytes", maxBytes)
		}
		return ResponseHead{}, ErrIncomplete
	}
	if size > maxBytes {
		return ResponseHead{}, oversize("the response head has %d bytes", size)
	}
	h := ResponseHead{Size: size, Body: Framing{Length: -1}}
	rest := b[:size]
	line, after := cutLine(rest)
	if bytes.HasPrefix(line, []byte("HTTP/")) {
		var err error
		if h.Status, err = statusLine(line); err != nil {
			return ResponseHead{}, err
		}
		rest = after
	} else {
		h.CGI, h.Status = true, 200
	}
	if err := h.readFields(rest); err != nil {
		return ResponseHead{}, err
	}
	if headOnly || h.Status < 200 || h.Status == 204 || h.Status == 304 { // RFC 9112 section 6.3
		h.Body = Framing{}
	}
	return h, nil
}

// ErrIncomplete is returned if more input is needed. It wraps ErrMalformed, because a head that is incomplete when the connection
// ends is malformed.
var ErrIncomplete = malformed("the response ended within its head")

// headEnd returns the length of the head at the start of b, including the empty line, or -1 if the head is not complete. Lines may end
// in a bare LF, as CGI allows.
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

// cutLine splits off the first line and removes its line end.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// statusLine parses "HTTP/1.x NNN reason" and returns the status.
func statusLine(line []byte) (int, error) {
	if len(line) < len("HTTP/1.1 200") || string(line[:7]) != "HTTP/1." || line[7] < '0' || line[7] > '9' || line[8] != ' ' {
		return 0, malformed("invalid status line %.60q", line)
	}
	return status(line[9:])
}

// status parses a status of three digits at the start of b. Only a space may follow it.
func status(b []byte) (int, error) {
	if len(b) < 3 || len(b) > 3 && b[3] != ' ' {
		return 0, malformed("the status %.40q does not have three digits", b)
	}
	n, err := contentLength(b[:3])
	if err != nil || n < 100 || n > 599 {
		return 0, malformed("the status %.40q is not from 100 to 599", b)
	}
	return int(n), nil
}

// fieldCounts counts header fields, to detect empty heads, repeated fields and conflicting ones.
type fieldCounts struct{ lines, contentLengths, transferCodings int }

// readFields parses the header fields, and derives the status and the body's framing from them.
func (h *ResponseHead) readFields(rest []byte) error {
	var seen fieldCounts
	for {
		var line []byte
		if line, rest = cutLine(rest); len(line) == 0 {
			break
		}
		seen.lines++
		name, value, err := splitField(line)
		if err != nil {
			return err
		}
		if err := h.readField(name, value, &seen); err != nil {
			return err
		}
	}
	switch {
	case seen.lines == 0 && h.CGI:
		return malformed("the response has no header fields")
	case seen.contentLengths > 0 && seen.transferCodings > 0:
		return malformed("both Content-Length and Transfer-Encoding")
	}
	return nil
}

// splitField splits a header line into the field's name and value.
func splitField(line []byte) (name, value []byte, err error) {
	i := bytes.IndexByte(line, ':')
	if i <= 0 || !isToken(line[:i]) {
		return nil, nil, malformed("invalid header line %.60q", line)
	}
	name, value = line[:i], bytes.Trim(line[i+1:], " \t")
	if bytes.IndexByte(value, 0) >= 0 || bytes.IndexByte(value, '\r') >= 0 {
		return nil, nil, malformed("invalid byte in the value of header field %.40q", name)
	}
	return name, value, nil
}

// readField evaluates a header field that determines the response's status or its body's framing. Other fields are ignored.
func (h *ResponseHead) readField(name, value []byte, seen *fieldCounts) error {
	switch {
	case h.CGI && equalFold(name, "status"):
		n, err := status(value)
		if err != nil {
			return err
		}
		h.Status = n
	case equalFold(name, "content-length"):
		n, err := contentLength(value)
		if err != nil || len(value) == 0 || seen.contentLengths > 0 && n != h.Body.Length {
			return malformed("invalid or conflicting Content-Length %.20q", value)
		}
		seen.contentLengths++
		h.Body.Length = n
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") || seen.transferCodings > 0 {
			return malformed("unsupported or repeated Transfer-Encoding %.40q", value)
		}
		seen.transferCodings++
		h.Body.Chunked = true
	}
	return nil
}

// isToken reports whether b is a token (RFC 9110 section 5.6.2), as field names must be.
func isToken(b []byte) bool {
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

// BodyScanner finds the end of a response body in input of any fragmentation.
type BodyScanner struct {
	remaining int64 // remaining bytes; -1 if not known
	chunks    *ChunkScanner
}

// BodyScanner returns a scanner for the body that follows the head.
func (h ResponseHead) BodyScanner() *BodyScanner {
	if h.Body.Chunked {
		return &BodyScanner{remaining: -1, chunks: &ChunkScanner{}}
	}
	return &BodyScanner{remaining: h.Body.Length}
}

// Scan consumes the next bytes. It returns how many of them belong to the body, and whether the body is complete. It never reports a
// body as complete that ends when the connection is closed.
func (s *BodyScanner) Scan(b []byte) (n int, done bool, err error) {
	switch {
	case s.chunks != nil:
		return s.chunks.Scan(b)
	case s.remaining < 0:
		return len(b), false, nil
	}
	n = int(min(s.remaining, int64(len(b))))
	s.remaining -= int64(n)
	return n, s.remaining == 0, nil
}

// EndsAtClose reports whether the body ends when the connection is closed.
func (s *BodyScanner) EndsAtClose() bool { return s.chunks == nil && s.remaining < 0 }
