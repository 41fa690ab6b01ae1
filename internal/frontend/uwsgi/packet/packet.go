// Package packet reads and writes the bytes of the uwsgi protocol and of the HTTP responses that it carries. It does no I/O, and
// allocates nothing in the common path. The protocol is that of uWSGI's page "The uwsgi Protocol" (version 1); bodies and
// responses follow RFC 3875 (CGI) and RFC 9112 (HTTP/1.1).
package packet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
)

// What is wrong with bytes that can't be taken. Errors wrap one of them.
var (
	ErrMalformed = errors.New("malformed")
	ErrOversize  = errors.New("beyond the limits")
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

func oversize(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrOversize, fmt.Sprintf(format, args...))
}

// HeaderSize is the bytes of a packet's header: modifier1, the size of what follows in little-endian order, modifier2.
const HeaderSize = 4

// Ping is the modifier1 of pings: a request with modifier2 0 and no data, answered by the same with modifier2 1.
const Ping = 100

// Header is a packet's header.
type Header struct {
	Mod1, Mod2 byte
	Size       int // bytes of the variables
}

// ReadHeader reads a header; b has HeaderSize bytes at least.
func ReadHeader(b []byte) Header {
	return Header{Mod1: b[0], Size: int(binary.LittleEndian.Uint16(b[1:])), Mod2: b[3]}
}

// Append adds the header to b.
func (h Header) Append(b []byte) []byte {
	b = append(b, h.Mod1)
	b = binary.LittleEndian.AppendUint16(b, uint16(h.Size))
	return append(b, h.Mod2)
}

// Pong answers a ping.
var Pong = Header{Mod1: Ping, Mod2: 1}

// Vars is a packet's block of variables. It points into the bytes that it was read from.
type Vars struct {
	block []byte
	n     int
}

// ReadVars checks a whole block: for each variable a length and its name, a length and its value. A name that is empty or stands
// twice is refused: the server below may read the other one of two lengths, keys or hosts.
func ReadVars(block []byte, most int) (Vars, error) {
	v := Vars{block: block}
	for rest := block; len(rest) > 0; {
		name, value, after, ok := cut(rest)
		switch {
		case !ok:
			return Vars{}, malformed("a variable goes past the end of the block")
		case len(name) == 0:
			return Vars{}, malformed("a variable without a name")
		}
		for before := block; len(before) > len(rest); {
			other, _, next, _ := cut(before)
			if string(other) == string(name) {
				return Vars{}, malformed("%.40q stands twice", name)
			}
			before = next
		}
		for _, c := range value {
			// A server may pass a value on as a header line: a line end in it would begin another one.
			if c == 0 || c == '\r' || c == '\n' {
				return Vars{}, malformed("the value of %.40q has a byte %#02x", name, c)
			}
		}
		if v.n++; v.n > most {
			return Vars{}, oversize("more than %d variables", most)
		}
		rest = after
	}
	return v, nil
}

// cut takes the first variable off a block.
func cut(b []byte) (name, value, rest []byte, ok bool) {
	if name, b, ok = cutString(b); !ok {
		return nil, nil, nil, false
	}
	value, rest, ok = cutString(b)
	return name, value, rest, ok
}

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

// Len is the number of variables.
func (v Vars) Len() int { return v.n }

// Find is the value of a variable as it stands in the packet, and whether it is there.
func (v Vars) Find(name string) ([]byte, bool) {
	for b := v.block; len(b) > 0; {
		n, value, rest, _ := cut(b)
		if string(n) == name {
			return value, true
		}
		b = rest
	}
	return nil, false
}

// Get is the value of a variable, or "".
func (v Vars) Get(name string) string {
	value, _ := v.Find(name)
	return string(value)
}

// All goes through the variables in their order.
func (v Vars) All() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for b := v.block; len(b) > 0; {
			name, value, rest, _ := cut(b)
			if !yield(name, value) {
				return
			}
			b = rest
		}
	}
}

// Append adds a request's header and variables, in their order.
func Append(b []byte, mod1, mod2 byte, vars [][2]string) ([]byte, error) {
	size := 0
	for _, v := range vars {
		if len(v[0]) > 0xffff || len(v[1]) > 0xffff {
			return b, oversize("the variable %.40q", v[0])
		}
		size += 4 + len(v[0]) + len(v[1])
	}
	if size > 0xffff {
		return b, oversize("%d bytes of variables", size)
	}
	b = Header{Mod1: mod1, Size: size, Mod2: mod2}.Append(b)
	for _, v := range vars {
		for _, s := range v {
			b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
			b = append(b, s...)
		}
	}
	return b, nil
}
