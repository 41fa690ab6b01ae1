package resp

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/node"
	"sloehitch/internal/platform/apispec"
	"sloehitch/internal/platform/limits"
	"sloehitch/internal/testing/standin"
)

// specMessages returns the messages that the platform's AsyncAPI document defines.
func specMessages(t *testing.T) map[string]*apispec.Message {
	t.Helper()
	messages, err := apispec.Messages(apispec.PlatformAsyncAPI)
	if err != nil {
		t.Fatal(err)
	}
	return messages
}

// messageParts converts a message of the AsyncAPI document into the parts of its array.
func messageParts(m map[string]any) (parts [][]byte) {
	add := func(v any) { parts = append(parts, []byte(v.(string))) }
	add(m["verb"])
	if tag, found := m["tag"]; found {
		add(tag)
	}
	if m["verb"] != "DO" {
		return parts
	}
	add(m["class"])
	fields, _ := m["fields"].(map[string]any)
	var pairs []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		pairs = append(pairs, name+"="+fields[name].(string))
	}
	add(strings.Join(pairs, ","))
	if body, found := m["body"]; found {
		add(body)
	}
	return parts
}

// TestDecoderMatchesAsyncAPI checks that the decoder accepts exactly the messages that the AsyncAPI
// document allows.
func TestDecoderMatchesAsyncAPI(t *testing.T) {
	lim := limits.For(64, 256)
	for _, name := range []string{"do", "undo", "ping"} {
		m := specMessages(t)[name]
		for _, example := range m.Examples {
			read := func(what string, payload map[string]any) {
				_, err := decodeMessage(messageParts(payload), lim.BodyBytes, lim.FieldListBytes)
				if valid := m.Validate(payload); (err == nil) != (valid == nil) {
					t.Errorf("%s, %s: the decoder returned %v, the AsyncAPI document gives %v", name, what, err, valid)
				}
			}
			payload := example.(map[string]any)
			read("example", payload)
			for _, tag := range []string{"0", "-1", "x", "1.5", "07"} {
				changed := maps.Clone(payload)
				changed["tag"] = tag
				read("tag "+tag, changed)
			}
			fields, _ := payload["fields"].(map[string]any)
			for field := range fields {
				for _, value := range []string{"", "x", "-1", "1e9", strings.Repeat("9", 80)} {
					if value != "" && !slices.Contains([]string{"req", "ts", "via", "ms", "need", "level", "opkey"}, field) {
						continue // free text, bounded only by the length of the whole list
					}
					if field == "level" && value == "" || field == "via" && value == "" {
						continue
					}
					changed, list := maps.Clone(payload), maps.Clone(fields)
					changed["fields"] = list
					list[field] = value
					if field == "opkey" && len(value) <= 64 || field == "ms" && value == "1e9" {
						continue
					}
					read(field+"="+value, changed)
				}
				changed, list := maps.Clone(payload), maps.Clone(fields)
				changed["fields"] = list
				delete(list, field)
				read("without "+field, changed)
			}
		}
	}
}

// TestAnswersMatchAsyncAPI checks that every answer that the front end writes is valid by the AsyncAPI
// document.
func TestAnswersMatchAsyncAPI(t *testing.T) {
	messages := specMessages(t)
	for _, c := range []struct {
		a    node.Response
		m    fakeStatus
		want string
	}{
		{node.Response{Status: node.StatusServed, Result: []byte("r")}, fakeStatus{0.25, true}, "7 ACK signal=0.2500 r"},
		{node.Response{Status: node.StatusServed}, fakeStatus{}, "7 ACK"},
		{node.Response{Status: node.StatusRejected, RetryAfter: 1500 * time.Microsecond, NoFailover: true}, fakeStatus{0, true}, "7 NAK signal=0.0000,holdoff=2,nomore=1 "},
		{node.Response{Status: node.StatusRejected}, fakeStatus{}, "7 NAK"},
		{node.Response{Status: node.StatusFailed, RetryAfter: time.Second, NoFailover: true}, fakeStatus{}, "7 FAIL"},
	} {
		f := New(Options{Status: c.m, Limits: limits.For(64, 256), Log: standin.DiscardLogger})
		k := &conn{front: f, slot: f.slots.Acquire(nil), openRequests: map[string]string{"7": "id"}, flushing: true} // nothing is flushed
		k.sendAnswer("7", c.a)
		k.sendAnswer("7", c.a) // a second answer to the same request must not be written
		cmd, err := redcon.Parse(k.output)
		if err != nil {
			t.Fatal(err)
		}
		parts := make([]string, len(cmd.Args))
		for i, a := range cmd.Args {
			parts[i] = string(a)
		}
		if got := strings.Join(parts, " "); got != c.want {
			t.Errorf("wrote %q, want %q", got, c.want)
		}
		payload := map[string]any{"tag": parts[0], "word": parts[1]}
		if len(parts) == 4 {
			fields := map[string]any{}
			for _, pair := range strings.FieldsFunc(parts[2], func(r rune) bool { return r == ',' }) {
				name, value, _ := strings.Cut(pair, "=")
				fields[name] = value
			}
			payload["fields"], payload["body"] = fields, parts[3]
		}
		if err := messages["answer"].Validate(payload); err != nil {
			t.Error(err)
		}
	}
}
