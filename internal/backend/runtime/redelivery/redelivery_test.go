package redelivery

import "testing"

// TestDecide checks that no command that must not be carried out twice is sent again.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name    string
		command Command
		want    Action
	}{
		{"start of an idempotent request", Command{Kind: Start, Idempotent: true}, Redeliver},
		{"start of a non-idempotent request", Command{Kind: Start}, Await},
		{"reply in a non-idempotent request", Command{Kind: Reply}, Await},
		{"reply in an idempotent request", Command{Kind: Reply, Idempotent: true}, Await},
		{"omission in a non-idempotent request", Command{Kind: Omission}, Redeliver},
		{"omission in an idempotent request", Command{Kind: Omission, Idempotent: true}, Redeliver},
		{"start of a non-idempotent request, notices lost", Command{Kind: Start, NoticesLost: true}, Abandon},
		{"start of an idempotent request, notices lost", Command{Kind: Start, Idempotent: true, NoticesLost: true}, Abandon},
		{"omission, notices lost", Command{Kind: Omission, NoticesLost: true}, Abandon},
	} {
		if got := Decide(c.command); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
