package resp

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestDecodeMessage(t *testing.T) {
	long := strings.Repeat("x", 2049)
	for _, c := range []struct {
		name string
		args []string
		ok   bool
		tag  string
	}{
		{"request", []string{"DO", "7", "book", validFields, "BODY"}, true, "7"},
		{"no body", []string{"DO", "7", "book", validFields}, true, "7"},
		{"undo", []string{"UNDO", "7"}, true, "7"},
		{"ping", []string{"PING", "8", ""}, true, "8"},
		{"unknown field", []string{"DO", "7", "book", validFields + ",new=1", ""}, true, "7"},
		{"no tag", []string{"DO"}, false, ""},
		{"tag 0", []string{"DO", "0", "book", validFields, ""}, false, ""},
		{"tag not a number", []string{"DO", "x7", "book", validFields, ""}, false, ""},
		{"tag past 63 bits", []string{"DO", "9223372036854775808", "book", validFields, ""}, false, ""},
		{"unknown verb", []string{"GET", "7"}, false, "7"},
		{"too many parts", []string{"DO", "7", "book", validFields, "", ""}, false, "7"},
		{"no class", []string{"DO", "7", "", validFields, ""}, false, "7"},
		{"body too long", []string{"DO", "7", "book", validFields, long}, false, "7"},
		{"fields too long", []string{"DO", "7", "book", validFields + ",x=" + long, ""}, false, "7"},
		{"no req", []string{"DO", "7", "book", "ts=1764576000123", ""}, false, "7"},
		{"no ts", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d41", ""}, false, "7"},
		{"req not hex", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d4x,ts=1", ""}, false, "7"},
		{"negative ts", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d41,ts=-1", ""}, false, "7"},
		{"need not a number", []string{"DO", "7", "book", validFields + ",need=NaN", ""}, false, "7"},
		{"need above its maximum", []string{"DO", "7", "book", validFields + ",need=1e9", ""}, false, "7"},
		{"need 0", []string{"DO", "7", "book", strings.Replace(validFields, "24.5", "0.0", 1), ""}, false, "7"},
		{"no need", []string{"DO", "7", "book", strings.Replace(validFields, "need", "nee", 1), ""}, false, "7"},
		{"level 1", []string{"DO", "7", "book", strings.Replace(validFields, "0.6250", "1", 1), ""}, false, "7"},
		{"timeout 0", []string{"DO", "7", "book", strings.Replace(validFields, "480.5", "0", 1), ""}, true, "7"},
		{"negative timeout", []string{"DO", "7", "book", strings.Replace(validFields, "480.5", "-1", 1), ""}, false, "7"},
		{"timeout above its maximum", []string{"DO", "7", "book", strings.Replace(validFields, "480.5", "1e12", 1), ""}, false, "7"},
		{"only the required fields", []string{"DO", "7", "book", "req=9b1f03aa5c7e2d41,ts=1764576000123,need=24.5", ""}, true, "7"},
		{"resent 2", []string{"DO", "7", "book", strings.Replace(validFields, "resent=1", "resent=2", 1), ""}, false, "7"},
		{"UNDO with too many parts", []string{"UNDO", "7", "", ""}, false, "7"},
		{"field without a value", []string{"DO", "7", "book", validFields + ",level", ""}, false, "7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var args [][]byte
			for _, a := range c.args {
				args = append(args, []byte(a))
			}
			m, err := decodeMessage(args, 2048, 1024)
			tag := ""
			if m != nil {
				tag = m.messageTag()
			}
			if (err == nil) != c.ok || tag != c.tag {
				t.Errorf("tag %q, %v; want tag %q, ok %v", tag, err, c.tag, c.ok)
			}
		})
	}
}

func TestDecodeFields(t *testing.T) {
	decoded, err := decodeMessage([][]byte{[]byte("DO"), []byte("7"), []byte("book"), []byte(validFields + ",subject=7f3a"), []byte("a\r\nb")}, 2048, 1024)
	if err != nil {
		t.Fatal(err)
	}
	want := submitMessage{tag: "7", class: "book", requestID: "9b1f03aa5c7e2d41", tenant: "acme", idempotencyKey: "5c0f", subject: "7f3a",
		arrivedAt: time.UnixMilli(1764576000123), timeout: 480500 * time.Microsecond, balancer: 4, retry: true,
		workHint: 12500 * time.Microsecond, memoryKB: 24.5, priorityRank: 0.625}
	got := *decoded.(*submitMessage)
	if string(got.body) != "a\r\nb" {
		t.Errorf("body %q", got.body)
	}
	got.body = nil
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v\nwant %v", got, want)
	}
}
