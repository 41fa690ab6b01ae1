package redelivery

import "testing"

// TestDecide: nothing that must not be carried out twice is sent again, whatever is known.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name    string
		command Command
		want    Action
	}{
		{"a start that may be repeated", Command{Kind: Start, Idempotent: true}, Redeliver},
		{"a start that may not", Command{Kind: Start}, Await},
		{"a reply", Command{Kind: Reply}, Await},
		{"a reply in a request that may be repeated", Command{Kind: Reply, Idempotent: true}, Await},
		{"an omission", Command{Kind: Omission}, Redeliver},
		{"an omission in a request that may be repeated", Command{Kind: Omission, Idempotent: true}, Redeliver},
		{"a start whose end may be lost", Command{Kind: Start, NoticesLost: true}, Abandon},
		{"a start that may be repeated, whose end may be lost", Command{Kind: Start, Idempotent: true, NoticesLost: true}, Abandon},
		{"an omission after which notices were lost", Command{Kind: Omission, NoticesLost: true}, Abandon},
	} {
		if got := Decide(c.command); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
