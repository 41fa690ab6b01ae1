package operatorapi

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Ask makes one call at address and returns the whole answer. It blocks until the node closes the connection or the timeout
// expires. It returns an error if the call is unknown, if the node cannot be reached, or if the answer does not begin with
// ACK; in the last case it returns the answer too.
func Ask(address, call string, timeout time.Duration) (string, error) {
	if _, err := Parse(call); err != nil {
		return "", err
	}
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return "", err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	if _, err := c.Write([]byte(call + "\n")); err != nil {
		return "", err
	}
	var b strings.Builder
	if _, err := bufio.NewReader(c).WriteTo(&b); err != nil {
		return b.String(), err
	}
	answer := b.String()
	if !strings.HasPrefix(answer, "ACK") {
		return answer, fmt.Errorf("the node rejected the call: %s", strings.TrimSpace(answer))
	}
	return answer, nil
}
