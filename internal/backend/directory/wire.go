package directory

import "fmt"

// encodeReport encodes a report as a datagram of three words.
func encodeReport(node string, closed bool) []byte {
	state := "open"
	if closed {
		state = "closed"
	}
	return fmt.Appendf(nil, "PULSE %s %s", node, state)
}
