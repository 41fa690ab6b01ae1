package ledger

import (
	"errors"
	"io"

	"sloehitch/internal/ledger/disk"
)

// readAheadBytes is the least number of bytes that a fileWindow reads at a time, unless the file ends before.
const readAheadBytes = 256 << 10

// fileWindow reads a file forwards through a buffer. It is not safe for concurrent use.
type fileWindow struct {
	file     disk.File
	off, end int64 // offset of the next peek, and end of the readable part
	buf      []byte
	from     int64 // file offset of buf
}

// peek returns at least n bytes at off, or fewer if the readable part ends before. They are valid until the next call.
func (w *fileWindow) peek(n int) ([]byte, error) {
	have := w.from + int64(len(w.buf)) - w.off
	if want := min(int64(n), w.end-w.off); w.off < w.from || have < want {
		size := min(max(int64(n), readAheadBytes), w.end-w.off)
		if int64(cap(w.buf)) < size {
			w.buf = make([]byte, size)
		}
		w.buf = w.buf[:size]
		got, err := w.file.ReadAt(w.buf, w.off)
		if err != nil && !errors.Is(err, io.EOF) {
			w.buf = nil
			return nil, err
		}
		w.buf, w.from = w.buf[:got], w.off
	}
	return w.buf[w.off-w.from:], nil
}
