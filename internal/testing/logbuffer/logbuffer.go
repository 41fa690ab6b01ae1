// Package logbuffer has a buffer for the log of a process or a node that a test reads while it is written.
package logbuffer

import (
	"bytes"
	"sync"
)

// Buffer collects what is written to it. The zero value is ready, and it is safe for concurrent use.
type Buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the buffer; it never returns an error.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns all that was written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
