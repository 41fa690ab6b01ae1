package sockerr

import "time"

// The retry policy for transient errors on a connection: a read is retried up to MaxRetries times in a row at intervals of
// RetryDelay, that is for one second. The connection itself is intact, and requests that arrived on it must be answered.
const (
	// MaxRetries is the maximum number of retries in a row.
	MaxRetries = 500
	// RetryDelay is the pause before each retry.
	RetryDelay = 2 * time.Millisecond
)

// RetryRead calls read and repeats it while it fails with a transient error without having read anything. It blocks as
// long as read does, plus at most MaxRetries delays.
func RetryRead(read func() (n int, err error)) (n int, err error) {
	n, err = read()
	for attempt := 0; n == 0 && IsTransient(err) && attempt < MaxRetries; attempt++ {
		time.Sleep(RetryDelay)
		n, err = read()
	}
	return n, err
}
