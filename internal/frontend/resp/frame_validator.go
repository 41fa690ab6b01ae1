package resp

import (
	"errors"

	"sloehitch/internal/platform/limits"
)

// errFraming is returned for malformed data, after which nothing more is read from the connection.
var errFraming = errors.New("data is not an array of bulk strings within the size limits")

// frameValidator checks the framing of a byte stream incrementally. It protects redcon's parser, which panics on
// a bulk length near the largest integer, spins on a huge element count, accepts inline commands, allocates as
// much as a length announces, and on an error drops complete commands that preceded it in the same read.
type frameValidator struct {
	maxParts, maxBulkBytes, maxFrameBytes int

	state     frameState
	value     int  // the number parsed so far, or the bytes left of a bulk
	hasDigit  bool // the number has a digit
	partsLeft int  // bulks left in this array
	size      int  // bytes of this array
	complete  int  // complete arrays so far
}

// frameState is the element of a frame that is expected next.
type frameState int

const (
	wantArray  frameState = iota // '*'
	arrayCount                   // digits, CR
	arrayLF
	wantBulk   // '$'
	bulkLength // digits, CR
	bulkLF
	bulkBytes
	bulkCR
	bulkEnd // LF
)

func newFrameValidator(lim *limits.Limits) frameValidator {
	return frameValidator{maxParts: lim.FrameParts, maxBulkBytes: lim.FrameBytes, maxFrameBytes: lim.FrameBytes}
}

// check consumes bytes and returns how many of them are well framed.
func (v *frameValidator) check(b []byte) (int, error) {
	for i := 0; i < len(b); {
		if v.state == bulkBytes {
			n := min(v.value, len(b)-i)
			v.value -= n
			i += n
			if v.value == 0 {
				v.state = bulkCR
			}
			continue
		}
		if !v.step(b[i]) {
			return i, errFraming
		}
		i++
	}
	return len(b), nil
}

// step consumes one byte that is not part of a bulk's content; it returns false if the byte is invalid here.
func (v *frameValidator) step(c byte) bool {
	v.size++
	switch v.state {
	case wantArray:
		v.size, v.state, v.value, v.hasDigit = 1, arrayCount, 0, false
		return c == '*'
	case arrayCount:
		if c == '\r' {
			v.state, v.partsLeft = arrayLF, v.value
			return v.value > 0
		}
		return v.appendDigit(c, v.maxParts)
	case arrayLF, bulkEnd:
		v.state = wantBulk
		if v.partsLeft == 0 {
			v.state = wantArray
			v.complete++
		}
		return c == '\n'
	case wantBulk:
		v.state, v.value, v.hasDigit = bulkLength, 0, false
		v.partsLeft--
		return c == '$'
	case bulkLength:
		if c == '\r' {
			v.state = bulkLF
			v.size += v.value
			return v.hasDigit && v.size <= v.maxFrameBytes
		}
		return v.appendDigit(c, v.maxBulkBytes)
	case bulkLF:
		v.state = bulkBytes
		if v.value == 0 {
			v.state = bulkCR
		}
		return c == '\n'
	default: // bulkCR
		v.state = bulkEnd
		return c == '\r'
	}
}

// appendDigit appends a digit to the number that is being parsed; it returns false for any other byte, and if the
// number exceeds the maximum.
func (v *frameValidator) appendDigit(c byte, maximum int) bool {
	if c < '0' || c > '9' {
		return false
	}
	v.hasDigit = true
	v.value = v.value*10 + int(c-'0')
	return v.value <= maximum
}
