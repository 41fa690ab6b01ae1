// Package uwsgi speaks the uwsgi protocol on both sides: a front for clients above and a runner that takes work to
// servers below.
package uwsgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"

	"sloehitch/internal/limits"
)

// Errors of reading a request. A caller that is still there is told of them, and none reaches the core.
var (
	errMalformed = errors.New("malformed packet")
	errOversize  = errors.New("packet or body beyond the limits")
)

// packet is one request: its variables and body, and all its bytes as they came.
type packet struct {
	vars map[string]string
	raw  []byte
	body []byte // the end of raw
}

const headerSize = 4 // modifier1, size of the variables in little-endian order, modifier2

// readPacket reads one request. The body's length is CONTENT_LENGTH; without one there is no body.
func readPacket(r io.Reader, lim limits.Limits) (*packet, error) {
	header := make([]byte, headerSize)
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, err
	}
	if header[0] != 0 || header[3] != 0 {
		return nil, fmt.Errorf("%w: modifiers %d and %d", errMalformed, header[0], header[3])
	}
	size := int(binary.LittleEndian.Uint16(header[1:3]))
	if size > lim.Vars {
		return nil, fmt.Errorf("%w: %d bytes of variables", errOversize, size)
	}
	block := make([]byte, size)
	if _, err := io.ReadFull(r, block); err != nil {
		return nil, unexpected(err)
	}
	vars, err := parseVars(block, lim.VarCount)
	if err != nil {
		return nil, err
	}
	length := 0
	if text := vars["CONTENT_LENGTH"]; text != "" {
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, fmt.Errorf("%w: CONTENT_LENGTH %.20q", errMalformed, text)
		}
		if n > uint64(lim.Content) {
			return nil, fmt.Errorf("%w: a body of %d bytes", errOversize, n)
		}
		length = int(n)
	}
	raw := make([]byte, headerSize+size+length)
	copy(raw, header)
	copy(raw[headerSize:], block)
	if _, err := io.ReadFull(r, raw[headerSize+size:]); err != nil {
		return nil, unexpected(err)
	}
	return &packet{vars: vars, raw: raw, body: raw[headerSize+size:]}, nil
}

// unexpected makes an end inside a packet unlike one before it.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseVars reads the block of variables: for each a length and its name, a length and its value.
func parseVars(block []byte, most int) (map[string]string, error) {
	vars := map[string]string{}
	for len(block) > 0 {
		var name, value string
		var ok bool
		if name, block, ok = cutString(block); !ok || name == "" {
			return nil, fmt.Errorf("%w: bad name of a variable", errMalformed)
		}
		if value, block, ok = cutString(block); !ok {
			return nil, fmt.Errorf("%w: bad value of %.40q", errMalformed, name)
		}
		if _, twice := vars[name]; twice {
			// Two bodies' lengths or two keys: the server below may read the other one.
			return nil, fmt.Errorf("%w: %.40q stands twice", errMalformed, name)
		}
		if vars[name] = value; len(vars) > most {
			return nil, fmt.Errorf("%w: more than %d variables", errOversize, most)
		}
	}
	return vars, nil
}

func cutString(b []byte) (s string, rest []byte, ok bool) {
	if len(b) < 2 {
		return "", nil, false
	}
	n := int(binary.LittleEndian.Uint16(b))
	if len(b) < 2+n {
		return "", nil, false
	}
	return string(b[2 : 2+n]), b[2+n:], true
}

// AppendPacket appends a request in the form that servers and this front read.
func AppendPacket(dst []byte, vars [][2]string, body []byte) ([]byte, error) {
	size := 0
	for _, v := range vars {
		size += 4 + len(v[0]) + len(v[1])
	}
	if size > 0xffff {
		return nil, errOversize
	}
	dst = append(dst, 0)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(size))
	dst = append(dst, 0)
	for _, v := range vars {
		for _, s := range v {
			dst = binary.LittleEndian.AppendUint16(dst, uint16(len(s)))
			dst = append(dst, s...)
		}
	}
	return append(dst, body...), nil
}

// ReadRequest reads one request as a server does.
func ReadRequest(r io.Reader, lim limits.Limits) (vars map[string]string, body []byte, err error) {
	p, err := readPacket(r, lim)
	if err != nil {
		return nil, nil, err
	}
	size := int(binary.LittleEndian.Uint16(p.raw[1:3]))
	return p.vars, p.raw[headerSize+size:], nil
}
