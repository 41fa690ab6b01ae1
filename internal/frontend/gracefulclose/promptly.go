package gracefulclose

import "time"

const (
	// maxCheckTime is the longest time for which the result of a check counts as current. It is far below the
	// 50 ms for which callers resend a request that crosses a close.
	maxCheckTime = time.Millisecond
	// maxChecks bounds the repetitions on a machine that is too busy for a prompt check.
	maxChecks = 100
)

// promptly calls check, which reports whether a socket has nothing to read, until it finds something or has
// taken no longer than maxCheckTime. A check that takes longer proves nothing: the process may have been
// stopped just as its system call returned, and data may have arrived since.
func promptly(check func() (empty bool)) {
	for range maxChecks {
		start := time.Now()
		if !check() || time.Since(start) <= maxCheckTime {
			return
		}
	}
}
