package apispec

import (
	"strings"
	"testing"
)

func TestMessages(t *testing.T) {
	messages, err := Messages(PlatformAsyncAPI)
	if err != nil {
		t.Fatal(err)
	}
	for name, m := range messages {
		if m.Summary == "" || len(m.Examples) == 0 {
			t.Errorf("%s has no summary or no example", name)
		}
	}
	for _, c := range []struct{ name, old, new, wrong string }{
		{"another version", "asyncapi: 3.0.0", "asyncapi: 2.6.0", "3.0.0"},
		{"example does not match its schema", "{verb: QUIT, id: 9b1f03aa5c7e2d41}", "{verb: HALT, id: 1}", "example"},
		{"invalid schema", "type: object", "type: objekt", "message"},
		{"no messages", "components:", "other:", "no messages"},
		{"not YAML", "channels:", "\t:", ""},
	} {
		text := strings.ReplaceAll(string(PlatformAsyncAPI), c.old, c.new)
		if _, err := Messages([]byte(text)); err == nil || !strings.Contains(err.Error(), c.wrong) {
			t.Errorf("%s: %v, want an error on %q", c.name, err, c.wrong)
		}
	}
}
