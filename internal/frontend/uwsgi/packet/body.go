package packet

import "bytes"

// Framing describes how the end of a body is determined.
type Framing struct {
	Length  int64 // in bytes; -1 if the body is chunked, or (in responses only) ends when the connection is closed
	Chunked bool  // the body is in chunked encoding; Length is -1
}

// RequestFraming returns the framing of a request body, as given by the request's variables. Contradictory variables are malformed,
// because the server might use another one of them than the front does (request smuggling, RFC 9112 section 11.2).
func RequestFraming(v Vars) (Framing, error) {
	length, hasLength := v.Find("CONTENT_LENGTH")
	n, err := contentLength(length)
	if err != nil {
		return Framing{}, err
	}
	if headerLength, hasHeaderLength := v.Find("HTTP_CONTENT_LENGTH"); hasHeaderLength && (!hasLength || !bytes.Equal(headerLength, length)) {
		return Framing{}, malformed("CONTENT_LENGTH %.20q differs from HTTP_CONTENT_LENGTH %.20q", length, headerLength)
	}
	coding, hasCoding := v.Find("HTTP_TRANSFER_ENCODING")
	if !hasCoding || len(coding) == 0 {
		return Framing{Length: n}, nil
	}
	if !equalFold(coding, "chunked") {
		return Framing{}, malformed("HTTP_TRANSFER_ENCODING %.40q is not chunked", coding)
	}
	if len(length) > 0 {
		return Framing{}, malformed("both CONTENT_LENGTH %.20q and chunked encoding", length)
	}
	return Framing{Length: -1, Chunked: true}, nil
}

// contentLength parses a length. Only digits are valid, since servers differ in what else they accept. An empty length is 0.
func contentLength(b []byte) (n int64, err error) {
	if len(b) > 18 {
		return 0, malformed("the length %.20q has more than 18 digits", b)
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, malformed("the length %.20q is not a decimal number", b)
		}
		n = n*10 + int64(c-'0')
	}
	return n, nil
}

// equalFold reports whether b equals s, ignoring the case of ASCII letters. s must be in lower case.
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

// ChunkScanner finds the end of a chunked body in input of any fragmentation (RFC 9112 section 7.1). It is strict, because requests
// can be smuggled where two parsers disagree. The zero value is ready for use.
type ChunkScanner struct {
	state          chunkState
	size           int64 // remaining bytes of the current chunk; while its size line is read, the size so far
	digits         int   // of the current chunk's size
	extensionBytes int   // of the current chunk extension
	trailerBytes   int   // of the trailer section so far
	Data           int64 // bytes of content so far
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

// Limits on the parts of a chunked body that are not content.
const (
	maxChunkExtensionBytes = 256
	maxChunkSizeDigits     = 15 // hexadecimal, so that a size fits in an int64
	maxTrailerBytes        = 8 << 10
)

// Scan consumes the next bytes. It returns how many of them belong to the body, and whether the body is complete.
func (c *ChunkScanner) Scan(b []byte) (n int, done bool, err error) {
	for n < len(b) {
		if c.state == chunkData { // fast path: content is skipped in bulk
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

// step consumes one byte that is not content.
func (c *ChunkScanner) step(ch byte) error {
	switch c.state {
	case chunkSize:
		return c.stepSize(ch)
	case chunkExt:
		switch ch {
		case '\r':
			c.state = chunkSizeLF
		case '\n', 0:
			return malformed("invalid byte %q in a chunk extension", ch)
		default:
			if c.extensionBytes++; c.extensionBytes > maxChunkExtensionBytes {
				return oversize("chunk extension")
			}
		}
		return nil
	case chunkSizeLF:
		if ch != '\n' {
			return malformed("missing LF after a chunk size line")
		}
		c.digits = 0
		if c.state = chunkData; c.size == 0 {
			c.state = trailerStart
		}
		return nil
	case chunkDataCR:
		if c.state = chunkDataLF; ch != '\r' {
			return malformed("missing CR after the data of a chunk")
		}
		return nil
	case chunkDataLF:
		if c.state = chunkSize; ch != '\n' {
			return malformed("missing LF after the data of a chunk")
		}
		return nil
	}
	return c.stepTrailer(ch)
}

// stepSize consumes one byte of a chunk size line.
func (c *ChunkScanner) stepSize(ch byte) error {
	d := hexDigit(ch)
	switch {
	case d >= 0:
		if c.digits++; c.digits > maxChunkSizeDigits {
			return malformed("a chunk size has more than %d digits", maxChunkSizeDigits)
		}
		c.size = c.size<<4 | int64(d)
		return nil
	case c.digits == 0:
		return malformed("a chunk size begins with %q, want a hexadecimal digit", ch)
	case ch == '\r':
		c.state = chunkSizeLF
		return nil
	case ch == ';':
		c.state, c.extensionBytes = chunkExt, 0
		return nil
	}
	return malformed("invalid byte %q in a chunk size", ch)
}

// stepTrailer consumes one byte of the trailer section.
func (c *ChunkScanner) stepTrailer(ch byte) error {
	if c.trailerBytes++; c.trailerBytes > maxTrailerBytes {
		return oversize("trailer section")
	}
	switch c.state {
	case trailerStart:
		if c.state = trailerLine; ch == '\r' {
			c.state = endLF
		} else if ch == '\n' || ch == ' ' || ch == '\t' || ch == ':' {
			return malformed("a trailer line begins with %q", ch)
		}
	case trailerLine:
		switch ch {
		case '\r':
			c.state = trailerLF
		case '\n', 0:
			return malformed("invalid byte %q in a trailer line", ch)
		}
	case trailerLF:
		if c.state = trailerStart; ch != '\n' {
			return malformed("missing LF after a trailer line")
		}
	case endLF:
		if c.state = chunkDone; ch != '\n' {
			return malformed("missing LF at the end of a chunked body")
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
