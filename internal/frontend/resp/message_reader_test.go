package resp

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// endlessMessages is a peer that sends without a pause: each read ends somewhere within a message.
type endlessMessages struct {
	text      string // a whole number of messages
	position  int
	remaining int
}

func (e *endlessMessages) Read(b []byte) (int, error) {
	if e.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(b), e.remaining, 1+rand.IntN(3000))
	for i := range n {
		b[i] = e.text[(e.position+i)%len(e.text)]
	}
	e.position, e.remaining = (e.position+n)%len(e.text), e.remaining-n
	return n, nil
}

// TestReaderOfEndlessMessagesStaysBounded guards against a buffer that grows with all that a peer has ever sent without a pause: one
// pipelining client took a node past its memory limit.
func TestReaderOfEndlessMessagesStaysBounded(t *testing.T) {
	lim := limits.For(64, 256)
	large := standin.Array("DO", "2", "book", strings.Repeat("x", lim.FrameBytes-200))
	text := strings.Repeat(standin.Array("PING", "1"), 49) + large
	const rounds = 400
	r := newMessageReader(&endlessMessages{text: text, remaining: rounds * len(text)})
	messages, largest := 0, 0
	for {
		parts, err := r.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if messages++; messages%50 == 0 && (len(parts) != 4 || len(parts[3]) != lim.FrameBytes-200) || messages%50 != 0 && string(parts[1]) != "1" {
			t.Fatalf("message %d has %d parts, the last of %d bytes", messages, len(parts), len(parts[len(parts)-1]))
		}
		largest = max(largest, cap(r.buffer))
	}
	if messages != 50*rounds || largest > 2*lim.FrameBytes+readBufferBytes {
		t.Errorf("%d messages, buffer of %d bytes; want %d, and at most two of the largest messages and one read", messages, largest, 50*rounds)
	}
}
