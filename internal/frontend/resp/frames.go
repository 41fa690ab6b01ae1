package resp

import "errors"

// Errors after which a connection takes nothing more.
var (
	errFraming        = errors.New("not an array of bulk strings within the limits")
	errMessageTimeout = errors.New("a message did not come in time")
)

// frameValidator checks the framing of a byte stream as it comes. It stands before redcon's reader, which panics on a
// bulk length near the largest integer, spins on a huge count, takes inline commands, grows its buffer with
// whatever a length announces, and on an error drops whole commands that came before it in the same read.
type frameValidator struct {
	maxParts, maxBulkBytes, maxFrameBytes int

	state     frameState
	value     int // the number read so far, or the bytes left of a bulk
	hasDigit  bool
	partsLeft int // bulks left in this array
	size      int // bytes of this array
	complete  int // arrays so far
}

type frameState int

const (
	wantArray  frameState = iota // '*'
	arrayCount                   // digits, CR
	arrayLF
	wantBulk // '$'
	bulkLength
	bulkLF
	bulkBytes
	bulkCR
	bulkEnd
)

// check takes bytes in and returns how many of them are well framed.
func (f *frameValidator) check(b []byte) (int, error) {
	for i := 0; i < len(b); {
		if f.state == bulkBytes {
			step := min(f.value, len(b)-i)
			f.value -= step
			i += step
			if f.value == 0 {
				f.state = bulkCR
			}
			continue
		}
		if !f.step(b[i]) {
			return i, errFraming
		}
		i++
	}
	return len(b), nil
}

// step moves on by one byte outside a bulk's own bytes.
func (f *frameValidator) step(c byte) bool {
	f.size++
	switch f.state {
	case wantArray:
		f.size, f.state, f.value, f.hasDigit = 1, arrayCount, 0, false
		return c == '*'
	case arrayCount:
		if c == '\r' {
			f.state, f.partsLeft = arrayLF, f.value
			return f.value > 0
		}
		return f.number(c, f.maxParts)
	case arrayLF, bulkEnd:
		f.state = wantBulk
		if f.partsLeft == 0 {
			f.state = wantArray
			f.complete++
		}
		return c == '\n'
	case wantBulk:
		f.state, f.value, f.hasDigit = bulkLength, 0, false
		f.partsLeft--
		return c == '$'
	case bulkLength:
		if c == '\r' {
			f.state = bulkLF
			f.size += f.value
			return f.hasDigit && f.size <= f.maxFrameBytes
		}
		return f.number(c, f.maxBulkBytes)
	case bulkLF:
		f.state = bulkBytes
		if f.value == 0 {
			f.state = bulkCR
		}
		return c == '\n'
	default: // bulkCR
		f.state = bulkEnd
		return c == '\r'
	}
}

func (f *frameValidator) number(c byte, most int) bool {
	if c < '0' || c > '9' {
		return false
	}
	f.hasDigit = true
	f.value = f.value*10 + int(c-'0')
	return f.value <= most
}
