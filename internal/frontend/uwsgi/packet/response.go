package packet

import "bytes"

// ResponseHead is a response's head, as far as it matters for forwarding the response.
type ResponseHead struct {
	Status int
	CGI    bool // it begins with a field, such as "Status:" (RFC 3875 section 6.3.3), and not with an HTTP status line
	Body   Framing
	Size   int // bytes of the head, its empty line included
}

// ReadResponseHead reads the head at the start of b, of at most maxBytes. It returns ErrIncomplete while the head is not complete, and an error that wraps
// ErrMalformed or ErrOversize where it is not valid. headOnly says that the request was a HEAD.
func ReadResponseHead(b []byte, headOnly bool, maxBytes int) (ResponseHead, error) {
	size := headEnd(b)
	if size < 0 {
		if len(b) > maxBytes {
			return ResponseHead{}, oversize("a response's head of more than %d bytes", maxBytes)
		}
		return ResponseHead{}, ErrIncomplete
	}
	if size > maxBytes {
		return ResponseHead{}, oversize("a response's head of %d bytes", size)
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

// ErrIncomplete says that more bytes are needed. It wraps ErrMalformed: at the end of a connection a head is malformed.
var ErrIncomplete = malformed("the response ended within its head")

// headEnd returns the length of the head at the start of b, its empty line included, or -1 if the head is not complete. Lines may end
// in LF alone, as CGI allows.
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

// cutLine splits off the first line and drops its line end.
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

// status reads three digits at the start of b, alone or before a space.
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

// fieldCounts counts what may stand in a head only once, or not together.
type fieldCounts struct{ lines, contentLengths, transferCodings int }

// readFields reads the lines of a head and what they say of the body.
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
		return malformed("a response without a head")
	case seen.contentLengths > 0 && seen.transferCodings > 0:
		return malformed("both Content-Length and chunks")
	}
	return nil
}

// splitField takes a line apart into a field's name and its value.
func splitField(line []byte) (name, value []byte, err error) {
	i := bytes.IndexByte(line, ':')
	if i <= 0 || !isToken(line[:i]) {
		return nil, nil, malformed("the line %.60q of a head", line)
	}
	name, value = line[:i], bytes.Trim(line[i+1:], " \t")
	if bytes.IndexByte(value, 0) >= 0 || bytes.IndexByte(value, '\r') >= 0 {
		return nil, nil, malformed("the value of %.40q", name)
	}
	return name, value, nil
}

// readField takes in a field that matters for the response's status or body.
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
			return malformed("a Content-Length of %.20q", value)
		}
		seen.contentLengths++
		h.Body.Length = n
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") || seen.transferCodings > 0 {
			return malformed("a Transfer-Encoding of %.40q", value)
		}
		seen.transferCodings++
		h.Body.Chunked = true
	}
	return nil
}

// isToken says whether b is a token (RFC 9110 section 5.6.2), as the names of fields are.
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

// BodyScanner finds the end of a response's body in bytes that come in any pieces.
type BodyScanner struct {
	left   int64 // bytes; -1: not known
	chunks *ChunkScanner
}

// BodyScanner returns a scanner for the body that follows the head.
func (h ResponseHead) BodyScanner() *BodyScanner {
	if h.Body.Chunked {
		return &BodyScanner{left: -1, chunks: &ChunkScanner{}}
	}
	return &BodyScanner{left: h.Body.Length}
}

// Scan takes the next bytes. It returns how many of them belong to the body, and whether the body is complete. A body that ends at
// the connection's close is never complete by its bytes.
func (s *BodyScanner) Scan(b []byte) (n int, done bool, err error) {
	switch {
	case s.chunks != nil:
		return s.chunks.Scan(b)
	case s.left < 0:
		return len(b), false, nil
	}
	n = int(min(s.left, int64(len(b))))
	s.left -= int64(n)
	return n, s.left == 0, nil
}

// EndsAtClose says whether the body ends at the connection's close.
func (s *BodyScanner) EndsAtClose() bool { return s.chunks == nil && s.left < 0 }
