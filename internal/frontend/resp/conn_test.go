package resp

import (
	"errors"
	"net"
	"testing"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// TestRequestOnAbortedConnectionIsNotSubmitted checks that a request read just before its connection was aborted is not
// submitted, since it can't be answered.
func TestRequestOnAbortedConnectionIsNotSubmitted(t *testing.T) {
	f, core, ln := startFront(t, fakeStatus{}, nil)
	b := standin.Dial(t, ln.Addr().String())
	b.Send(standin.Array("PING", "1"))
	b.Read()
	waitFor(t, "the connection is idle", func() bool { return f.onlyConn().isIdle() })
	k := f.onlyConn()
	k.mu.Lock()
	k.abort()
	k.mu.Unlock()
	if err := k.handleMessage([][]byte{[]byte("DO"), []byte("7"), []byte("book"), []byte(validFields), nil}); !errors.Is(err, errAborted) || len(core.submitted) > 0 {
		t.Errorf("error %v, %d requests submitted; want errAborted and none", err, len(core.submitted))
	}
}

// recordingCore is a Core that records which requests are canceled or aborted.
type recordingCore struct{ canceled []string }

func (*recordingCore) RejectionStatus(string, string) node.Status { return node.StatusRejected }

func (*recordingCore) Submit(node.Request, func(node.Response)) {}

func (c *recordingCore) Cancel(id string) { c.canceled = append(c.canceled, id) }

func (c *recordingCore) Abort(id string) { c.canceled = append(c.canceled, id) }

// TestRequestAfterEvictionIsRejected checks that a request that is read after its connection was evicted is rejected and
// not submitted, and that the end of the connection cancels no request: another caller may use the same id.
func TestRequestAfterEvictionIsRejected(t *testing.T) {
	c := &recordingCore{}
	f := New(Options{Core: c, Status: fakeStatus{}, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	k := &conn{front: f, socket: &framedConn{Conn: ours}, slot: f.slots.Acquire(func() {}), openRequests: map[string]string{}}
	k.slot.Release()
	answer := make(chan string, 1)
	go func() {
		b := make([]byte, 64)
		n, _ := theirs.Read(b)
		answer <- string(b[:n])
	}()
	err := k.handleMessage([][]byte{[]byte("DO"), []byte("7"), []byte("book"), []byte(validFields), nil})
	if got := <-answer; got != "*2\r\n$1\r\n7\r\n$3\r\nNAK\r\n" {
		t.Errorf("%q, want a rejection", got)
	}
	if k.endReading(err); !errors.Is(err, errSlotLost) || len(c.canceled) > 0 {
		t.Errorf("error %v, canceled requests %v; want errSlotLost and none", err, c.canceled)
	}
}
