// Package scriptedpeer executes scripts of a peer's actions on a connection, for stand-ins and for the conformance suite.
package scriptedpeer

import (
	"bytes"
	"io"
	"net"
	"time"
)

// Script is a peer's actions on one connection, in order.
type Script []Step

// Step is one action: that of the first field that is set, in the order Wait, Pause, Half, Reset, Flood, Split, Send, Until, Read.
type Step struct {
	Send  string        // sends these bytes
	Split bool          // sends each byte of Send in a separate write
	Read  int           // reads this number of bytes
	Until string        // reads until the bytes read so far end in this string
	Wait  chan struct{} // waits until this is closed
	Half  bool          // shuts down its sending side
	Reset bool          // makes the close of the connection send a reset; ends the script
	Flood int           // sends this number of zero bytes, rounded up to whole KiB
	Pause time.Duration // waits for this time
}

// Play executes a script on a connection, and blocks until its end or the first error. It returns all bytes that were read.
func (s Script) Play(c net.Conn) (read []byte, err error) {
	buf := make([]byte, 1)
	readByte := func() error {
		_, err := io.ReadFull(c, buf)
		if err == nil {
			read = append(read, buf[0])
		}
		return err
	}
	for _, step := range s {
		switch {
		case step.Wait != nil:
			<-step.Wait
		case step.Pause > 0:
			time.Sleep(step.Pause)
		case step.Half:
			err = c.(interface{ CloseWrite() error }).CloseWrite()
		case step.Reset:
			err = c.(*net.TCPConn).SetLinger(0)
			return read, err
		case step.Flood > 0:
			for n := 0; n < step.Flood && err == nil; n += 1 << 10 {
				_, err = c.Write(make([]byte, 1<<10))
			}
		case step.Split:
			for i := 0; i < len(step.Send) && err == nil; i++ {
				_, err = io.WriteString(c, step.Send[i:i+1])
			}
		case step.Send != "":
			_, err = io.WriteString(c, step.Send)
		case step.Until != "":
			for err == nil && !bytes.HasSuffix(read, []byte(step.Until)) {
				err = readByte()
			}
		default:
			for range step.Read {
				if err = readByte(); err != nil {
					break
				}
			}
		}
		if err != nil {
			return read, err
		}
	}
	return read, nil
}
