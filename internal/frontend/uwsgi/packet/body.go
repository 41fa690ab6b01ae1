package packet

import "bytes"

// Framing says how a body's end is found.
type Framing struct {
	Length  int64 // bytes; -1: to the connection's close (responses only), or chunked
	Chunked bool  // in chunks; Length is -1
}

// RequestFraming returns the framing of a request's body by its variables. Contradicting variables are malformed: the server may
// believe the other one (request smuggling, RFC 9112 section 11.2).
func RequestFraming(v Vars) (Framing, error) {
	length, has := v.Find("CONTENT_LENGTH")
	n, err := contentLength(length)
	if err != nil {
		return Framing{}, err
	}
	if again, twice := v.Find("HTTP_CONTENT_LENGTH"); twice && (!has || !bytes.Equal(again, length)) {
		return Framing{}, malformed("CONTENT_LENGTH %.20q and HTTP_CONTENT_LENGTH %.20q", length, again)
	}
	coding, coded := v.Find("HTTP_TRANSFER_ENCODING")
	if !coded || len(coding) == 0 {
		return Framing{Length: n}, nil
	}
	if !equalFold(coding, "chunked") {
		return Framing{}, malformed("HTTP_TRANSFER_ENCODING %.40q is not chunked", coding)
	}
	if len(length) > 0 {
		return Framing{}, malformed("both CONTENT_LENGTH %.20q and chunks", length)
	}
	return Framing{Length: -1, Chunked: true}, nil
}

// contentLength reads a length. Only digits are valid, as servers differ in what else they accept; empty means 0.
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

// equalFold compares b with s, ignoring the case of ASCII letters; s must be in lower case.
func equalFold(b []byte, s string) bool {
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

// ChunkScanner finds the end of a chunked body in bytes that come in any pieces (RFC 9112 section 7.1). It is strict: where two
// readers disagree, requests can be smuggled. Its zero value is ready for use.
type ChunkScanner struct {
	state        chunkState
	size         int64 // of the chunk that is read, or what is left of it
	digits       int
	lineBytes    int   // of the chunk extension that is read
	trailerBytes int   // so far
	Data         int64 // bytes of content so far
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

// Bounds of what is not content, in bytes.
const (
	maxChunkExtensionBytes = 256
	maxChunkSizeDigits     = 15 // hexadecimal; a size fits in an int64
	maxTrailerBytes        = 8 << 10
)

// Scan takes the next bytes. It returns how many of them belong to the body, and whether the body is complete.
func (c *ChunkScanner) Scan(b []byte) (n int, done bool, err error) {
	for n < len(b) {
		if c.state == chunkData { // the common case, without a step for each byte
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

// step takes one byte that is not content, up to the last chunk's size line.
func (c *ChunkScanner) step(ch byte) error {
	switch c.state {
	case chunkSize:
		return c.stepSize(ch)
	case chunkExt:
		switch ch {
		case '\r':
			c.state = chunkSizeLF
		case '\n', 0:
			return malformed("%q in a chunk's extension", ch)
		default:
			if c.lineBytes++; c.lineBytes > maxChunkExtensionBytes {
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

// stepSize takes one byte of a chunk's size.
func (c *ChunkScanner) stepSize(ch byte) error {
	d := hexDigit(ch)
	switch {
	case d >= 0:
		if c.digits++; c.digits > maxChunkSizeDigits {
			return malformed("a chunk's size of more than %d digits", maxChunkSizeDigits)
		}
		c.size = c.size<<4 | int64(d)
		return nil
	case c.digits == 0:
		return malformed("a chunk's size begins with %q", ch)
	case ch == '\r':
		c.state = chunkSizeLF
		return nil
	case ch == ';':
		c.state, c.lineBytes = chunkExt, 0
		return nil
	}
	return malformed("%q in a chunk's size", ch)
}

// trailer takes one byte after the last chunk.
func (c *ChunkScanner) trailer(ch byte) error {
	if c.trailerBytes++; c.trailerBytes > maxTrailerBytes {
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

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(c byte) int {
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
