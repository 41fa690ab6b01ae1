package packet

import "bytes"

// Body is how a body's end is told.
type Body struct {
	Length  int64 // bytes; -1: until the connection closes (responses only)
	Chunked bool  // by chunks; Length is -1
}

// RequestBody finds out from its variables how a request's body ends. Two ways at once are refused, as the server
// below may believe the other one (request smuggling, RFC 9112 section 11.2).
func RequestBody(v Vars) (Body, error) {
	length, has := v.Find("CONTENT_LENGTH")
	n, err := contentLength(length)
	if err != nil {
		return Body{}, err
	}
	if again, twice := v.Find("HTTP_CONTENT_LENGTH"); twice && (!has || !bytes.Equal(again, length)) {
		return Body{}, malformed("CONTENT_LENGTH %.20q and HTTP_CONTENT_LENGTH %.20q", length, again)
	}
	coding, coded := v.Find("HTTP_TRANSFER_ENCODING")
	if !coded || len(coding) == 0 {
		return Body{Length: n}, nil
	}
	if !foldEqual(coding, "chunked") {
		return Body{}, malformed("HTTP_TRANSFER_ENCODING %.40q is not chunked", coding)
	}
	if len(length) > 0 {
		return Body{}, malformed("both CONTENT_LENGTH %.20q and chunks", length)
	}
	return Body{Length: -1, Chunked: true}, nil
}

// contentLength reads a length: digits only, as servers differ in what else they take. Empty means none.
func contentLength(b []byte) (n int64, err error) {
	if len(b) > 18 {
		return 0, malformed("a length of %.20q", b)
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, malformed("a length of %.20q", b)
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}

// foldEqual compares without regard to the case of letters; s is in lower case.
func foldEqual(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != s[i] {
			return false
		}
	}
	return true
}

// Chunks finds the end of a chunked body in bytes that come in any pieces (RFC 9112 section 7.1). It is strict: what one
// reader takes and another doesn't is how requests are smuggled. Its zero value is ready.
type Chunks struct {
	state  chunkState
	size   int64 // of the chunk that is read, or what is left of it
	digits int
	line   int   // bytes of an extension or trailer line
	meta   int   // bytes of trailers
	Data   int64 // bytes of content so far
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExt
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailerStart
	trailerLine
	trailerLF
	endLF
	chunkDone
)

// Bounds of what is not content.
const (
	maxExtension = 256
	maxTrailers  = 8 << 10
)

// Scan takes the next bytes. It returns how many of them belong to the body, and whether the body is whole; what is behind
// is not its own.
func (c *Chunks) Scan(b []byte) (n int, done bool, err error) {
	for n < len(b) {
		if c.state == chunkData { // the common case goes through without a look at each byte
			k := min(int64(len(b)-n), c.size)
			n += int(k)
			c.Data += k
			if c.size -= k; c.size == 0 {
				c.state = chunkDataCR
			}
			continue
		}
		ch := b[n]
		n++
		if err := c.step(ch); err != nil {
			return n, false, err
		}
		if c.state == chunkDone {
			return n, true, nil
		}
	}
	return n, c.state == chunkDone, nil
}

// step takes one byte that is not content.
func (c *Chunks) step(ch byte) error {
	switch c.state {
	case chunkSize:
		d := hex(ch)
		switch {
		case d >= 0:
			if c.digits++; c.digits > 15 {
				return malformed("a chunk's size of more than 15 digits")
			}
			c.size = c.size<<4 | int64(d)
			return nil
		case c.digits == 0:
			return malformed("a chunk's size begins with %q", ch)
		case ch == '\r':
			c.state = chunkSizeLF
			return nil
		case ch == ';':
			c.state, c.line = chunkExt, 0
			return nil
		}
		return malformed("%q in a chunk's size", ch)
	case chunkExt:
		switch ch {
		case '\r':
			c.state = chunkSizeLF
		case '\n', 0:
			return malformed("%q in a chunk's extension", ch)
		default:
			if c.line++; c.line > maxExtension {
				return oversize("a chunk's extension")
			}
		}
		return nil
	case chunkSizeLF:
		if ch != '\n' {
			return malformed("no line end behind a chunk's size")
		}
		c.digits = 0
		if c.state = chunkData; c.size == 0 {
			c.state = trailerStart
		}
		return nil
	case chunkDataCR:
		if c.state = chunkDataLF; ch != '\r' {
			return malformed("a chunk is longer than its size")
		}
		return nil
	case chunkDataLF:
		if c.state = chunkSize; ch != '\n' {
			return malformed("a chunk is longer than its size")
		}
		return nil
	}
	return c.trailer(ch)
}

// trailer takes one byte behind the last chunk.
func (c *Chunks) trailer(ch byte) error {
	if c.meta++; c.meta > maxTrailers {
		return oversize("trailers")
	}
	switch c.state {
	case trailerStart:
		if c.state = trailerLine; ch == '\r' {
			c.state = endLF
		} else if ch == '\n' || ch == ' ' || ch == '\t' || ch == ':' {
			return malformed("a trailer begins with %q", ch)
		}
	case trailerLine:
		switch ch {
		case '\r':
			c.state = trailerLF
		case '\n', 0:
			return malformed("%q in a trailer", ch)
		}
	case trailerLF:
		if c.state = trailerStart; ch != '\n' {
			return malformed("no line end behind a trailer")
		}
	case endLF:
		if c.state = chunkDone; ch != '\n' {
			return malformed("no line end behind the last chunk")
		}
	}
	return nil
}

func hex(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
