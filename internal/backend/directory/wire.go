package directory

import "fmt"

// encodeReport encodes a report: three words in one datagram.
func encodeReport(node string, closed bool) []byte {
	state := "open"
	if closed {
		state = "closed"
	}
	return fmt.Appendf(nil, "PULSE %s %s", node, state)
}
