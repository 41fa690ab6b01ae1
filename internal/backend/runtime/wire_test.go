package runtime

import "testing"

// TestEncodedCommands checks the encoding of each command.
func TestEncodedCommands(t *testing.T) {
	for _, c := range []struct {
		got  []byte
		want string
	}{
		{encodeSync(0), `{"action":"sync","pos":0}`},
		{encodeStart("9b1f", "book", []byte("a\nb")), `{"action":"start","uid":"9b1f","lane":"book","content":"YQpi"}`},
		{encodeStart("9b1f", "book", nil), `{"action":"start","uid":"9b1f","lane":"book","content":""}`},
		{encodeStop("9b1f"), `{"action":"stop","uid":"9b1f"}`},
		{encodeResume("9b1f"), `{"action":"cont","uid":"9b1f"}`},
		{encodeReply("9b1f", []byte("reply")), `{"action":"give","uid":"9b1f","content":"cmVwbHk="}`},
		{encodeSkipCall("9b1f", 12), `{"action":"omit","uid":"9b1f","pos":12}`},
		{encodeGaugesRequest("7"), `{"action":"gauges","echo":"7"}`},
	} {
		if string(c.got) != c.want+"\n" {
			t.Errorf("%q, want %q", c.got, c.want)
		}
	}
}
