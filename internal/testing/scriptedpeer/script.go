// Package scriptedpeer plays scripts of a peer's actions on a connection, for stand-ins and for the conformance suite.
package scriptedpeer

import (
	"bytes"
	"io"
	"net"
	"time"
)

// Script is a peer's actions on one connection, in order.
type Script []Step

// Step is one action; the first of its fields that is set, of Wait, Pause, Half, Reset, Flood, Split, Send, Until and Read, says which.
type Step struct {
	Send  string        // sends these bytes
	Split bool          // sends each byte of Send by a write of its own
	Read  int           // reads so many bytes
	Until string        // reads up to these bytes
	Wait  chan struct{} // waits until this is closed
	Half  bool          // shuts down its sending side
	Reset bool          // has the connection closed by a reset; ends the script
	Flood int           // sends so many zero bytes
	Pause time.Duration // waits for so long
}

// Play plays a script on a connection, and blocks until its end or the first error. It returns all bytes that were read.
func (s Script) Play(c net.Conn) (read []byte, err error) {
	buf := make([]byte, 1)
	take := func() error {
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
				err = take()
			}
		default:
			for range step.Read {
				if err = take(); err != nil {
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
