package sockerr

import "time"

// The retry rule for transient errors on a connection: a read is retried up to MaxRetries times in a row,
// RetryDelay apart, so for a second in all. Nothing is wrong with the connection, and a request that has
// arrived on it is owed an answer.
const (
	// MaxRetries is the number of retries in a row.
	MaxRetries = 500
	// RetryDelay is the pause before each retry.
	RetryDelay = 2 * time.Millisecond
)

// RetryRead calls read, and again while it fails with a transient error and has read nothing. It blocks for
// as long as read does, and for MaxRetries pauses at most.
func RetryRead(read func() (n int, err error)) (n int, err error) {
	n, err = read()
	for attempt := 0; n == 0 && IsTransient(err) && attempt < MaxRetries; attempt++ {
		time.Sleep(RetryDelay)
		n, err = read()
	}
	return n, err
}
