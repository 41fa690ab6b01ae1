package runtime

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// readNotices handles notices until the connection ends, counts as broken by the keepalive rule, or delivers a
// notice that can't be decoded.
func (l *Link) readNotices(conn net.Conn) error {
	r := noticeReader{link: l, conn: conn, in: bufio.NewReaderSize(conn, 8<<10),
		keepalive: keepalive{readyTimeout: l.opts.Limits.RuntimeReadyTimeout, silenceTimeout: l.opts.Limits.RuntimeSilence}}
	for {
		line, err := r.readLine()
		if err == nil {
			err = l.handleNotice(line)
		} else if !errors.Is(err, errNoticeTooLong) {
			return err
		}
		if err != nil && (errors.Is(err, errAddressChanged) || !l.skipUnreadable(err)) {
			return err
		}
	}
}

// noticeReader reads lines from one connection.
type noticeReader struct {
	link      *Link
	conn      net.Conn
	in        *bufio.Reader
	line      []byte // buffer that is reused for each line
	keepalive keepalive
}

// readLine returns the next line, which is valid until the next call. It returns errNoticeTooLong for a line
// longer than limits.NoticeBytes, after which reading can continue.
func (r *noticeReader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	tooLong := false
	for {
		ready := r.link.isReady()
		if err := r.conn.SetReadDeadline(time.Now().Add(r.keepalive.readTimeout(ready))); err != nil {
			return nil, err
		}
		part, err := r.in.ReadSlice('\n')
		if r.line = append(r.line, part...); len(r.line) > r.link.opts.Limits.NoticeBytes {
			r.line, tooLong = r.line[:0], true
		}
		if len(part) > 0 {
			r.keepalive.received()
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !r.keepalive.timedOut(ready, len(part) > 0) {
				return nil, errRuntimeSilent
			}
			r.link.sendCommand(encodeGaugesRequest(echoKeepalive))
		case err != nil:
			return nil, err
		case tooLong:
			return nil, errNoticeTooLong
		default:
			return r.line, nil
		}
	}
}

// isReady reports whether the runtime is ready on this connection.
func (l *Link) isReady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writable || l.switching
}

// skipUnreadable reports whether a notice that can't be decoded is skipped. The first time it is not: the
// connection ends and the notice is requested again on the next one, since it may have been damaged in transit.
// The second time it is, as otherwise no connection would ever get past it.
func (l *Link) skipUnreadable(err error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.unreadableNotice {
		l.unreadableNotice = true
		return false
	}
	l.log.Warn("notice from the runtime could not be decoded in two attempts; skipping it", err)
	return true
}
