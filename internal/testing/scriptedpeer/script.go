// Package scriptedpeer plays what a peer does on one connection, step by step: for stand-ins, and for the conformance suite.
package scriptedpeer

import (
	"bytes"
	"io"
	"net"
	"time"
)

// Script is what a scripted peer does on one connection, in order.
type Script []Step

// Step is one thing that a peer does.
type Step struct {
	Send  string        // these bytes
	Split bool          // each in a segment of its own
	Read  int           // so many bytes
	Until string        // reads up to these bytes
	Wait  chan struct{} // until this is closed
	Half  bool          // shuts its sending side
	Reset bool          // ends the connection by a reset
	Flood int           // sends so many bytes of nothing
	Pause time.Duration // does nothing for so long
}

// Play plays a script and returns all that was read, up to where an operation failed.
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
