package soak

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// array formats a RESP array of bulk strings.
func array(parts ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(parts))
	for _, part := range parts {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(part), part)
	}
	return b.String()
}

// readArray reads a RESP array of bulk strings.
func readArray(in *bufio.Reader) ([]string, error) {
	count, err := readCount(in, '*')
	if err != nil {
		return nil, err
	}
	parts := make([]string, 0, count)
	for range count {
		length, err := readCount(in, '$')
		if err != nil {
			return nil, err
		}
		bytes := make([]byte, length+2)
		if _, err := io.ReadFull(in, bytes); err != nil {
			return nil, err
		}
		parts = append(parts, string(bytes[:length]))
	}
	return parts, nil
}

func readCount(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if len(line) < 2 || line[0] != kind {
		return 0, fmt.Errorf("malformed RESP header: got %.40q, expected %q and a count", line, kind)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("malformed RESP count in %.40q: expected a number from 0 to 1048576", line)
	}
	return n, nil
}
