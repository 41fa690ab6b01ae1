package uwsgi

import (
	"errors"
	"io"
	"net"
)

// errorRecorder is a reader that records the error of its source, to distinguish it from an error of the connection.
type errorRecorder struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorRecorder) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// lengthReader reads a body of known length. If the input ends earlier, it returns io.ErrUnexpectedEOF.
type lengthReader struct {
	in        io.Reader
	remaining int64 // bytes
}

// Read implements io.Reader.
func (l *lengthReader) Read(b []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	n, err := l.in.Read(b[:min(int64(len(b)), l.remaining)])
	if l.remaining -= int64(n); errors.Is(err, io.EOF) && l.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// connBody is a response body that closes its connection when it is closed.
type connBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer.
func (b *connBody) Close() error {
	b.stop()
	return b.conn.Close()
}
