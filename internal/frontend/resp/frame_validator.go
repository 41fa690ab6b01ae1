package resp

import (
	"errors"

	"sloehitch/internal/platform/limits"
)

// errFraming ends the reading of a connection.
var errFraming = errors.New("not an array of bulk strings within the limits")

// frameValidator checks the framing of a byte stream as it comes. It stands before redcon's reader, which
// panics on a bulk length near the largest integer, spins on a huge count, takes inline commands, grows its
// buffer with whatever a length announces, and on an error drops complete commands that came before it in the
// same read.
type frameValidator struct {
	maxParts, maxBulkBytes, maxFrameBytes int

	state     frameState
	value     int  // the number read so far, or the bytes left of a bulk
	hasDigit  bool // of that number
	partsLeft int  // bulks left in this array
	size      int  // bytes of this array
	complete  int  // arrays so far
}

// frameState is what is expected next.
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

// check takes bytes in and returns how many of them are well framed.
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

// step moves on by one byte outside a bulk's own bytes; it returns false if that byte must not come.
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
		return v.number(c, v.maxParts)
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
		return v.number(c, v.maxBulkBytes)
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

// number adds a digit to the number that is being read; it returns false beyond the maximum.
func (v *frameValidator) number(c byte, maximum int) bool {
	if c < '0' || c > '9' {
		return false
	}
	v.hasDigit = true
	v.value = v.value*10 + int(c-'0')
	return v.value <= maximum
}
