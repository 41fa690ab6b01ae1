package resp

import (
	"io"

	"github.com/tidwall/redcon"
)

// messageReader reads messages from a connection whose data is well framed (framedConn). It holds at most one message
// and what one read brings beyond it, however much is sent without a pause: before each read, messages that were returned
// are dropped from the buffer. (redcon.Reader keeps them while part of a message is left over, and doubles its buffer.)
type messageReader struct {
	source     io.Reader
	buffer     []byte
	start, end int   // of the data that is not returned yet
	err        error // of the last read; returned after the data that came before it
}

// readBufferBytes is the size of the buffer while no larger message is being received.
const readBufferBytes = 4 << 10

func newMessageReader(source io.Reader) *messageReader {
	return &messageReader{source: source, buffer: make([]byte, readBufferBytes)}
}

// next returns the parts of the next message. They remain valid after further calls.
func (r *messageReader) next() ([][]byte, error) {
	for {
		if r.start < r.end {
			unread := r.buffer[r.start:r.end]
			complete, parts, _, rest, err := redcon.ReadNextCommand(unread, nil)
			if err != nil {
				return nil, err
			}
			if complete {
				r.start += len(unread) - len(rest)
				return cloneParts(parts), nil
			}
		}
		if r.err != nil {
			return nil, r.err
		}
		r.fill()
	}
}

// fill reads once. It makes space by dropping what was returned and, if that is not enough, by doubling the buffer. The
// framing limits the length of a message, and with it that of the buffer.
func (r *messageReader) fill() {
	switch {
	case r.start == r.end:
		r.start, r.end = 0, 0
		if len(r.buffer) > readBufferBytes {
			r.buffer = make([]byte, readBufferBytes)
		}
	case r.end == len(r.buffer) && r.start > 0:
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	case r.end == len(r.buffer):
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
}

// cloneParts copies the parts of a message out of the buffer.
func cloneParts(parts [][]byte) [][]byte {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	text := make([]byte, 0, size)
	for i, part := range parts {
		text = append(text, part...)
		parts[i] = text[len(text)-len(part):]
	}
	return parts
}
