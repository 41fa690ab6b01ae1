package resp

import "errors"

// Errors after which a connection takes nothing more.
var (
	errFrame = errors.New("not an array of bulk strings within the limits")
	errSlow  = errors.New("a message did not come in time")
)

// frames checks the framing of a byte stream as it comes. It stands before redcon's reader, which panics on a
// bulk length near the largest integer, spins on a huge count, takes inline commands, grows its buffer with
// whatever a length announces, and on an error drops whole commands that came before it in the same read.
type frames struct {
	mostParts, mostBulk, mostFrame int

	state frameState
	n     int // the number read so far, or the bytes left of a bulk
	digit bool
	parts int // bulks left in this array
	size  int // bytes of this array
	whole int // arrays so far
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
func (f *frames) check(b []byte) (int, error) {
	for i := 0; i < len(b); {
		if f.state == bulkBytes {
			step := min(f.n, len(b)-i)
			f.n -= step
			i += step
			if f.n == 0 {
				f.state = bulkCR
			}
			continue
		}
		if !f.take(b[i]) {
			return i, errFrame
		}
		i++
	}
	return len(b), nil
}

// take moves on by one byte outside a bulk's own bytes.
func (f *frames) take(c byte) bool {
	f.size++
	switch f.state {
	case wantArray:
		f.size, f.state, f.n, f.digit = 1, arrayCount, 0, false
		return c == '*'
	case arrayCount:
		if c == '\r' {
			f.state, f.parts = arrayLF, f.n
			return f.n > 0
		}
		return f.number(c, f.mostParts)
	case arrayLF, bulkEnd:
		f.state = wantBulk
		if f.parts == 0 {
			f.state = wantArray
			f.whole++
		}
		return c == '\n'
	case wantBulk:
		f.state, f.n, f.digit = bulkLength, 0, false
		f.parts--
		return c == '$'
	case bulkLength:
		if c == '\r' {
			f.state = bulkLF
			f.size += f.n
			return f.digit && f.size <= f.mostFrame
		}
		return f.number(c, f.mostBulk)
	case bulkLF:
		f.state = bulkBytes
		if f.n == 0 {
			f.state = bulkCR
		}
		return c == '\n'
	default: // bulkCR
		f.state = bulkEnd
		return c == '\r'
	}
}

func (f *frames) number(c byte, most int) bool {
	if c < '0' || c > '9' {
		return false
	}
	f.digit = true
	f.n = f.n*10 + int(c-'0')
	return f.n <= most
}
