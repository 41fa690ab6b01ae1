// Package packet parses and encodes the packets of the uwsgi protocol, and parses the HTTP responses that it carries. It does no
// I/O, and does not allocate in the common path. The protocol is specified in uWSGI's document "The uwsgi Protocol" (version 1);
// bodies and responses follow RFC 3875 (CGI) and RFC 9112 (HTTP/1.1).
package packet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
	"math"
)

// The errors of this package wrap one of these.
var (
	ErrMalformed = errors.New("malformed")
	ErrOversize  = errors.New("size limit exceeded")
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

func oversize(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrOversize, fmt.Sprintf(format, args...))
}

// HeaderSize is the size of a packet header in bytes: modifier1, the size of the data that follows in little-endian order, modifier2.
const HeaderSize = 4

// Ping is the modifier1 of pings. A ping has modifier2 0 and no data; the response is the same packet with modifier2 1.
const Ping = 100

// Header is a packet header.
type Header struct {
	Modifier1, Modifier2 byte
	Size                 int // bytes of the variables
}

// ReadHeader parses a header. b must have at least HeaderSize bytes.
func ReadHeader(b []byte) Header {
	return Header{Modifier1: b[0], Size: int(binary.LittleEndian.Uint16(b[1:])), Modifier2: b[3]}
}

// Append appends the header to b.
func (h Header) Append(b []byte) []byte {
	b = append(b, h.Modifier1)
	b = binary.LittleEndian.AppendUint16(b, uint16(h.Size))
	return append(b, h.Modifier2)
}

// Pong is the response to a ping.
var Pong = Header{Modifier1: Ping, Modifier2: 1}

// Vars is a packet's block of variables. It shares memory with the block that it was parsed from.
type Vars struct {
	block []byte
	n     int
}

// ReadVars parses and validates a block of at most maxVars variables. Each variable is a name and a value, both preceded by their
// length. An empty or duplicate name is malformed: if a request had two lengths, keys or hosts, the server might use another one
// of them than the front does.
func ReadVars(block []byte, maxVars int) (Vars, error) {
	v := Vars{block: block}
	for rest := block; len(rest) > 0; {
		name, value, after, ok := cutVariable(rest)
		switch {
		case !ok:
			return Vars{}, malformed("a variable extends past the end of the block")
		case len(name) == 0:
			return Vars{}, malformed("a variable has an empty name")
		}
		for earlier := block; len(earlier) > len(rest); {
			other, _, next, _ := cutVariable(earlier)
			if string(other) == string(name) {
				return Vars{}, malformed("variable %.40q is duplicate", name)
			}
			earlier = next
		}
		for _, c := range value {
			// A server may pass a value on as a header line, in which a line end would start another header line.
			if c == 0 || c == '\r' || c == '\n' {
				return Vars{}, malformed("the value of variable %.40q has an invalid byte %#02x", name, c)
			}
		}
		if v.n++; v.n > maxVars {
			return Vars{}, oversize("more than %d variables", maxVars)
		}
		rest = after
	}
	return v, nil
}

// cutVariable splits off the first variable of a block.
func cutVariable(b []byte) (name, value, rest []byte, ok bool) {
	if name, b, ok = cutString(b); !ok {
		return nil, nil, nil, false
	}
	value, rest, ok = cutString(b)
	return name, value, rest, ok
}

// cutString splits off a string that is preceded by its length.
func cutString(b []byte) (s, rest []byte, ok bool) {
	if len(b) < 2 {
		return nil, nil, false
	}
	n := int(binary.LittleEndian.Uint16(b))
	if len(b) < 2+n {
		return nil, nil, false
	}
	return b[2 : 2+n], b[2+n:], true
}

// Len returns the number of variables.
func (v Vars) Len() int { return v.n }

// Find returns the value of a variable, and whether the variable exists. The value shares memory with the packet.
func (v Vars) Find(name string) ([]byte, bool) {
	for b := v.block; len(b) > 0; {
		n, value, rest, _ := cutVariable(b)
		if string(n) == name {
			return value, true
		}
		b = rest
	}
	return nil, false
}

// Get returns the value of a variable, or "" if it does not exist.
func (v Vars) Get(name string) string {
	value, _ := v.Find(name)
	return string(value)
}

// All iterates over the variables in packet order.
func (v Vars) All() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for b := v.block; len(b) > 0; {
			name, value, rest, _ := cutVariable(b)
			if !yield(name, value) {
				return
			}
			b = rest
		}
	}
}

// AppendRequest appends a request's header and its variables, in the given order, to b. It returns an error that wraps ErrOversize
// if they don't fit in a packet.
func AppendRequest(b []byte, mod1, mod2 byte, vars [][2]string) ([]byte, error) {
	size := 0
	for _, v := range vars {
		if len(v[0]) > math.MaxUint16 || len(v[1]) > math.MaxUint16 {
			return b, oversize("variable %.40q is longer than a 16-bit length allows", v[0])
		}
		size += 4 + len(v[0]) + len(v[1])
	}
	if size > math.MaxUint16 {
		return b, oversize("%d bytes of variables do not fit in a packet", size)
	}
	b = Header{Modifier1: mod1, Size: size, Modifier2: mod2}.Append(b)
	for _, v := range vars {
		for _, s := range v {
			b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
			b = append(b, s...)
		}
	}
	return b, nil
}
