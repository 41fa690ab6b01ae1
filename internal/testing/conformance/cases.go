package conformance

import (
	"fmt"
	"strings"
	"time"

	"sloehitch/internal/frontend/uwsgi/packet"
	"sloehitch/internal/testing/scriptedpeer"
)

// The parts of the specifications that require the cases.
const (
	fromHeader    = "uwsgi protocol, packet header"
	fromModifiers = "uwsgi protocol, modifiers"
	fromVars      = "uwsgi protocol, variables"
	fromPing      = "uwsgi protocol, modifier 100"
	fromMeta      = "RFC 3875 section 4.1 (request meta-variables)"
	fromBody      = "RFC 3875 section 4.2 (request message-body)"
	fromMethod    = "RFC 3875 section 4.3 (request methods)"
	fromLength    = "RFC 9112 section 6.2 (Content-Length)"
	fromChunks    = "RFC 9112 section 7.1 (chunked transfer coding)"
	fromSmuggling = "RFC 9112 section 11.2 (request smuggling)"
	fromLines     = "RFC 9110 section 5.5 (field values)"
	fromTCP       = "RFC 9293 section 3.6 (half-closed connections)"
)

type vars = [][2]string

// cases collects the cases for an application's path.
type cases struct {
	path string
	list []Case
}

// Cases returns all cases for an application at the path.
func Cases(path string) []Case {
	c := &cases{path: path}
	c.header()
	c.modifiers()
	c.pings()
	c.variables()
	c.meta()
	c.lengths()
	c.goodChunks()
	c.badChunks()
	c.timing()
	return c.list
}

func (c *cases) add(name, from string, want Want, echo string, steps ...scriptedpeer.Step) {
	c.list = append(c.list, Case{Name: name, From: from, Want: want, Echo: echo, Steps: steps})
}

// request returns a packet for the path. Variables in more replace the default ones of the same name, or follow them.
func (c *cases) request(method string, more ...[2]string) string {
	list := vars{{"REQUEST_METHOD", method}, {"PATH_INFO", c.path}, {"REQUEST_URI", c.path}, {"SCRIPT_NAME", ""}, {"QUERY_STRING", ""},
		{"SERVER_PROTOCOL", "HTTP/1.1"}, {"SERVER_NAME", "localhost"}, {"SERVER_PORT", "80"}, {"HTTP_HOST", "localhost"}, {"REMOTE_ADDR", "127.0.0.1"}}
	for _, m := range more {
		replaced := false
		for i := range list {
			if list[i][0] == m[0] {
				list[i], replaced = m, true
			}
		}
		if !replaced {
			list = append(list, m)
		}
	}
	return pack(list)
}

// pack returns a packet with these variables, in their order and with duplicates.
func pack(list vars) string {
	b, err := packet.AppendRequest(nil, 0, 0, list)
	if err != nil {
		panic(err) // the cases are fixed
	}
	return string(b)
}

// block returns a packet whose block of variables is b.
func block(b string) string {
	return string(packet.Header{Size: len(b)}.Append(nil)) + b
}

func send(s string) scriptedpeer.Step { return scriptedpeer.Step{Send: s} }

var half = scriptedpeer.Step{Half: true}

func length(n int) [2]string { return [2]string{"CONTENT_LENGTH", fmt.Sprint(n)} }

var inChunks = [2]string{"HTTP_TRANSFER_ENCODING", "chunked"}

func (c *cases) header() {
	get := c.request("GET")
	c.add("header/nothing", fromHeader, Quiet, "", half)
	for n := 1; n < packet.HeaderSize; n++ {
		c.add(fmt.Sprint("header/cut after ", n), fromHeader, Quiet, "", send(get[:n]), half)
	}
	c.add("header/no variables", fromHeader, Either, "", send(block("")), half)
	for _, cut := range []struct {
		name string
		n    int
	}{{"in the first length", 5}, {"after the first length", 6}, {"in the first name", 9}, {"in the second length", 21}, {"in the first value", 24}, {"before the last byte", len(get) - 1}} {
		c.add("header/variables cut "+cut.name, fromHeader, Quiet, "", send(get[:cut.n]), half)
	}
	c.add("header/size in big-endian order", fromHeader, Quiet, "", send(get[:1]+get[2:3]+get[1:2]+get[3:]), half)
	c.add("header/HTTP instead of uwsgi", fromHeader, Quiet, "", send("GET / HTTP/1.1\r\nHost: localhost\r\n\r\n"), half)
	c.add("header/TLS instead of uwsgi", fromHeader, Quiet, "", send("\x16\x03\x01\x00\x05\x01\x00\x00\x01\x00"), half)
	c.add("header/largest size, nothing behind it", fromHeader, Quiet, "", send("\x00\xff\xff\x00"), half)
	for _, n := range []int{1, 2, 3} {
		c.add(fmt.Sprintf("header/size %d less than the variables", n), fromHeader, Refused, "", send(block(get[4:len(get)-n])), half)
	}
}

func (c *cases) modifiers() {
	get := c.request("GET")
	for _, m := range []byte{1, 2, 3, 4, 17, 18, 22, 23, 26, 27, 31, 48, 72, 97, 98, 99, 101, 110, 111, 123, 173, 200, 224, 250, 255} {
		c.add(fmt.Sprint("modifier/", m), fromModifiers, Quiet, "", send(string([]byte{m})+get[1:]), half)
	}
	c.add("modifier/second one", fromModifiers, Either, "", send(get[:3]+"\x01"+get[4:]))
}

func (c *cases) pings() {
	const ping = "\x64\x00\x00\x00"
	c.add("ping/whole", fromPing, Pong, "", send(ping))
	c.add("ping/in fragments", fromPing, Pong, "", scriptedpeer.Step{Send: ping, Split: true})
	c.add("ping/half-closed", fromPing, Pong, "", send(ping), half)
	c.add("ping/an answer instead", fromPing, Quiet, "", send("\x64\x00\x00\x01"), half)
	c.add("ping/with data that does not come", fromPing, Quiet, "", send("\x64\x05\x00\x00"), half)
}

func (c *cases) variables() {
	get := c.request("GET")
	good := func(name string, want Want, more ...[2]string) {
		c.add("variables/"+name, fromVars, want, "", send(c.request("GET", more...)))
	}
	c.add("variables/as they are", fromVars, Served, "", send(get))
	good("one more", Served, [2]string{"X_UNKNOWN", "value"})
	good("an empty value", Served, [2]string{"X_EMPTY", ""})
	good("a header", Served, [2]string{"HTTP_X_HEADER", "a, b; c=\"d\""})
	good("UTF-8", Served, [2]string{"HTTP_X_NAME", "ร้าน"})
	good("any byte but line ends and zero", Either, [2]string{"HTTP_X_BYTES", "\x01\x7f\x80\xff\t"})
	good("a value of 4,000 bytes", Served, [2]string{"HTTP_X_LONG", strings.Repeat("x", 4000)})
	good("a value of 30,000 bytes", Either, [2]string{"HTTP_X_LONG", strings.Repeat("x", 30000)})
	good("a name of 1,000 bytes", Either, [2]string{"HTTP_X_" + strings.Repeat("N", 1000), "v"})
	good("an unusual name", Either, [2]string{"x-lower.case name", "v"})
	for _, n := range []int{50, 200, 1000} {
		var more vars
		for i := range n {
			more = append(more, [2]string{fmt.Sprint("HTTP_X_", i), "v"})
		}
		good(fmt.Sprint(n, " more"), map[bool]Want{true: Served, false: Either}[n < 100], more...)
	}
	backwards := vars{{"REMOTE_ADDR", "127.0.0.1"}, {"HTTP_HOST", "localhost"}, {"SERVER_PROTOCOL", "HTTP/1.1"}, {"QUERY_STRING", ""},
		{"SCRIPT_NAME", ""}, {"REQUEST_URI", c.path}, {"PATH_INFO", c.path}, {"REQUEST_METHOD", "GET"}}
	c.add("variables/in another order", fromVars, Served, "", send(pack(backwards)))

	for _, duplicate := range []struct{ name, a, b string }{{"REQUEST_METHOD", "GET", "POST"}, {"PATH_INFO", c.path, "/other"}, {"HTTP_HOST", "a", "b"},
		{"CONTENT_LENGTH", "0", "5"}, {"HTTP_TRANSFER_ENCODING", "chunked", "identity"}, {"HTTP_IDEMPOTENCY_KEY", "a", "b"}} {
		c.add("variables/twice: "+duplicate.name, fromSmuggling, Refused, "",
			send(pack(append(backwards[:7:7], [2]string{"X_LAST", "1"}, [2]string{duplicate.name, duplicate.a},
				[2]string{duplicate.name, duplicate.b}))), half)
	}
	for _, bad := range []struct{ name, value string }{{"a line end", "a\r\nX-Made: up"}, {"a line feed", "a\nX-Made: up"}, {"a carriage return", "a\rb"}, {"a zero byte", "a\x00b"}} {
		c.add("variables/"+bad.name+" in a value", fromLines, Refused, "", send(c.request("GET", [2]string{"HTTP_X_BAD", bad.value})))
	}
	rest := get[4:]
	c.add("variables/a name without length", fromVars, Refused, "", send(block(rest+"\x00\x00\x01\x00v")), half)
	c.add("variables/a name past the end", fromVars, Refused, "", send(block(rest+"\xff\xffname")), half)
	c.add("variables/a value past the end", fromVars, Refused, "", send(block(rest+"\x01\x00n\xff\xffv")), half)
	c.add("variables/a name and no value", fromVars, Refused, "", send(block(rest+"\x01\x00n")), half)
	for n := 1; n <= 3; n++ {
		c.add(fmt.Sprintf("variables/%d bytes too many in the block", n), fromVars, Refused, "", send(block(rest+"\x01\x00n"[:n])), half)
	}
}

func (c *cases) meta() {
	for _, m := range []string{"GET", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"} {
		c.add("method/"+m, fromMethod, Either, "", send(c.request(m, length(0))))
	}
	c.add("method/HEAD", fromMethod, Either, "", send(c.request("HEAD")))
	c.list[len(c.list)-1].Head = true
	c.add("method/an unknown one", fromMethod, Either, "", send(c.request("BREW")))
	c.add("method/empty", fromMethod, Either, "", send(c.request("")))
	c.add("method/a line end in it", fromLines, Refused, "", send(c.request("GET\r\n")))
	for _, p := range []string{"HTTP/1.0", "HTTP/1.1", ""} {
		c.add("meta/SERVER_PROTOCOL "+p, fromMeta, Served, "", send(c.request("GET", [2]string{"SERVER_PROTOCOL", p})))
	}
	for _, q := range []string{"a=b", "a=%20&b=%00", "", "a=b&a=c", strings.Repeat("q=1&", 500)} {
		c.add(fmt.Sprintf("meta/QUERY_STRING of %d bytes", len(q)), fromMeta, Served, "", send(c.request("GET", [2]string{"QUERY_STRING", q})))
	}
	for _, p := range []string{"/../etc/passwd", "//", "/%00", "no slash", "/" + strings.Repeat("a", 3000), "/ร้าน", "/\xff\xfe"} {
		c.add(fmt.Sprintf("meta/PATH_INFO %.16q", p), fromMeta, Either, "", send(c.request("GET", [2]string{"PATH_INFO", p}, [2]string{"REQUEST_URI", p})))
	}
	c.add("meta/no PATH_INFO", fromMeta, Either, "", send(pack(vars{{"REQUEST_METHOD", "GET"}, {"REQUEST_URI", c.path}, {"SERVER_PROTOCOL", "HTTP/1.1"}})))
	c.add("meta/no method", fromMeta, Either, "", send(pack(vars{{"PATH_INFO", c.path}})))
	c.add("meta/an IPv6 client", fromMeta, Served, "", send(c.request("GET", [2]string{"REMOTE_ADDR", "::1"})))
	c.add("meta/an Expect that is not met", fromMeta, Either, "", send(c.request("GET", [2]string{"HTTP_EXPECT", "100-continue"})))
}

func (c *cases) lengths() {
	for _, n := range []int{0, 1, 10, 1000, 4095, 4096, 4097, 32767, 32768, 65535, 65536, 200000} {
		body := strings.Repeat("0123456789", n/10+1)[:n]
		c.add(fmt.Sprintf("length/%d bytes", n), fromBody, Served, body, send(c.request("POST", length(n))+body))
		if n > 0 && n <= 4096 {
			c.add(fmt.Sprintf("length/%d bytes apart from the head", n), fromBody, Served, body, send(c.request("POST", length(n))), send(body))
		}
	}
	c.add("length/bytes of all values", fromBody, Served, all(), send(c.request("POST", length(256))+all()))
	c.add("length/a packet as a body", fromBody, Served, c.request("GET"), send(c.request("POST", length(len(c.request("GET"))))+c.request("GET")))
	c.add("length/empty", fromBody, Served, "", send(c.request("GET", [2]string{"CONTENT_LENGTH", ""})))
	for _, l := range []string{"+5", "-5", " 5", "5 ", "0x5", "5,5", "5.0", "5e0", "five", "٥", "99999999999999999999", "9223372036854775808", "18446744073709551617"} {
		c.add(fmt.Sprintf("length/as %q", l), fromLength, Refused, "", send(c.request("POST", [2]string{"CONTENT_LENGTH", l})+"hello"), half)
	}
	c.add("length/with zeros before it", fromLength, Either, "hello", send(c.request("POST", [2]string{"CONTENT_LENGTH", "0005"})+"hello"))
	c.add("length/a body that is too short", fromBody, Quiet, "", send(c.request("POST", length(5))+"hell"), half)
	c.add("length/a body that does not come", fromBody, Quiet, "", send(c.request("POST", length(5))), half)
	c.add("length/a body that is too long", fromSmuggling, Either, "hello", send(c.request("POST", length(5))+"hello, world"), half)
	c.add("length/a second request behind it", fromSmuggling, Either, "hello",
		send(c.request("POST", length(5))+"hello"+c.request("GET")), half)
	c.add("length/a body that was not announced", fromSmuggling, Either, "", send(c.request("GET")+"hello"), half)
	c.add("length/another one as a header", fromSmuggling, Refused, "",
		send(c.request("POST", length(5), [2]string{"HTTP_CONTENT_LENGTH", "6"})+"hello"), half)
	c.add("length/the same one as a header", fromLength, Either, "hello", send(c.request("POST", length(5), [2]string{"HTTP_CONTENT_LENGTH", "5"})+"hello"))
	for _, l := range []string{"0", "5", "16"} {
		c.add("length/"+l+" and chunks", fromSmuggling, Refused, "",
			send(c.request("POST", [2]string{"CONTENT_LENGTH", l}, inChunks)+"5\r\nhello\r\n0\r\n\r\n"), half)
	}
}

func all() string {
	b := make([]byte, 256)
	for i := range b {
		b[i] = byte(i)
	}
	return string(b)
}

func (c *cases) goodChunks() {
	head := c.request("POST", inChunks)
	for _, g := range []struct{ name, sent, body string }{
		{"none", "0\r\n\r\n", ""},
		{"one", "5\r\nhello\r\n0\r\n\r\n", "hello"},
		{"several", "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", "hello"},
		{"digits of both cases", "a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n", "01234567890123456789"},
		{"zeros before a size", "0005\r\nhello\r\n000\r\n\r\n", "hello"},
		{"an extension", "5;a=b\r\nhello\r\n0;c\r\n\r\n", "hello"},
		{"a quoted extension", "5;a=\"b;c\"\r\nhello\r\n0\r\n\r\n", "hello"},
		{"trailers", "5\r\nhello\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n", "hello"},
		{"line ends in the data", "7\r\na\r\nb\r\n0\r\n0\r\n\r\n", "a\r\nb\r\n0"},
		{"40,000 bytes", "9c40\r\n" + strings.Repeat("x", 40000) + "\r\n0\r\n\r\n", strings.Repeat("x", 40000)},
	} {
		c.add("chunks/"+g.name, fromChunks, Either, g.body, send(head+g.sent))
		if len(g.sent) < 100 {
			c.add("chunks/"+g.name+", byte by byte", fromChunks, Either, g.body, send(head), scriptedpeer.Step{Send: g.sent, Split: true})
		}
	}
	c.add("chunks/named in capitals", fromChunks, Either, "hello", send(c.request("POST", [2]string{"HTTP_TRANSFER_ENCODING", "CHUNKED"})+"5\r\nhello\r\n0\r\n\r\n"))
}

func (c *cases) badChunks() {
	head := c.request("POST", inChunks)
	for _, b := range []struct{ name, sent string }{
		{"no size", "\r\nhello\r\n0\r\n\r\n"}, {"a size that is none", "x\r\nhello\r\n0\r\n\r\n"}, {"a sign", "+5\r\nhello\r\n0\r\n\r\n"},
		{"a negative size", "-5\r\nhello\r\n0\r\n\r\n"}, {"0x", "0x5\r\nhello\r\n0\r\n\r\n"}, {"a blank before the size", " 5\r\nhello\r\n0\r\n\r\n"},
		{"a blank behind the size", "5 \r\nhello\r\n0\r\n\r\n"}, {"a tab behind the size", "5\t\r\nhello\r\n0\r\n\r\n"}, {"line feeds only", "5\nhello\n0\n\n"},
		{"a line feed behind the size", "5\nhello\r\n0\r\n\r\n"}, {"carriage returns only", "5\rhello\r0\r\r"}, {"a size beyond 64 bits", "10000000000000005\r\nhello\r\n0\r\n\r\n"},
		{"a size that wraps round", "ffffffffffffffff\r\nhello\r\n0\r\n\r\n"}, {"data longer than the size", "4\r\nhello\r\n0\r\n\r\n"},
		{"data shorter than the size", "6\r\nhello\r\n0\r\n\r\n"}, {"no line end behind the data", "5\r\nhello0\r\n\r\n"},
		{"a line feed behind the data", "5\r\nhello\n0\r\n\r\n"}, {"a line feed in an extension", "5;a\nb\r\nhello\r\n0\r\n\r\n"},
		{"a zero byte in an extension", "5;a\x00\r\nhello\r\n0\r\n\r\n"}, {"an endless extension", "5;" + strings.Repeat("x", 100000) + "\r\nhello\r\n0\r\n\r\n"},
		{"an endless size", strings.Repeat("0", 100000) + "5\r\nhello\r\n0\r\n\r\n"}, {"endless trailers", "0\r\n" + strings.Repeat("X-A: bbbbbbbbbbbbbbbb\r\n", 5000) + "\r\n"},
		{"no last chunk", "5\r\nhello\r\n"}, {"no end behind the last chunk", "5\r\nhello\r\n0\r\n"}, {"cut in the data", "5\r\nhel"}, {"a comma", "5,5\r\nhello\r\n0\r\n\r\n"},
	} {
		c.add("bad chunks/"+b.name, fromChunks, Quiet, "", send(head+b.sent), half)
	}
	for _, coding := range []string{"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked", "chunked;q=1", "identity", "\x0bchunked"} {
		c.add(fmt.Sprintf("bad chunks/coding %q", coding), fromSmuggling, Quiet, "",
			send(c.request("POST", [2]string{"HTTP_TRANSFER_ENCODING", coding})+"5\r\nhello\r\n0\r\n\r\n"), half)
	}
	c.add("bad chunks/a second request behind them", fromSmuggling, Either, "hello",
		send(head+"5\r\nhello\r\n0\r\n\r\n"+c.request("GET")), half)
}

func (c *cases) timing() {
	post := c.request("POST", length(5)) + "hello"
	c.add("timing/each byte a segment", fromHeader, Served, "hello", scriptedpeer.Step{Send: post, Split: true})
	for _, part := range []struct {
		name string
		n    int
	}{{"the header", 2}, {"the variables", 50}, {"head and body", len(post) - 5}, {"the body", len(post) - 2}} {
		c.add("timing/a pause within or between: "+part.name, fromHeader, Served, "hello", send(post[:part.n]), scriptedpeer.Step{Pause: 50 * time.Millisecond}, send(post[part.n:]))
	}
	c.add("timing/half-closed behind the request", fromTCP, Either, "hello", send(post), half)
	c.add("timing/many at once", fromBody, Served, "hello", send(post))
	c.list[len(c.list)-1].Times = 8
}
