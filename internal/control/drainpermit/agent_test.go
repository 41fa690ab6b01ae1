package drainpermit

import (
	"testing"
	"time"

	"sloehitch/internal/control/lease"
)

// TestABeginningThatWasNotThisProcesss: a process that starts sees its node's permit as it was before the process before it began to go out
// by it. Its own beginning fails, and then it sees that one. The node may have been out until a moment ago: the permit is given back once
// it has been in and well for long enough, and not before.
func TestABeginningThatWasNotThisProcesss(t *testing.T) {
	const settle = 300 * time.Millisecond
	for _, made := range []bool{false, true} { // refused; or made, and known too late
		a := NewAgent(Node{Release: "v1", Terms: lease.Terms{Length: time.Second}, Settle: settle, Tries: 2})
		now := lease.Instant(time.Hour)
		ask := &Ask{ID: "ask", By: "me", Release: "r", To: "v2"}
		s := Sight{Ask: ask, Permit: &Permit{ID: "p", Ask: "ask", State: Granted}, Revision: 5, Well: true}
		if x := a.Next(s, now); x.Kind != Begin {
			t.Fatalf("%+v, want to begin", x)
		}
		now += lease.Instant(2 * time.Second)
		if a.Began(made, 6, now) {
			t.Fatal("goes out by it")
		}
		s.Permit, s.Revision = &Permit{ID: "p", Ask: "ask", State: Begun}, 7
		if x := a.Next(s, now); x.Kind != Note || x.Permit.State != Back {
			t.Fatalf("made %v: %+v, want the note that it comes back", made, x)
		}
		a.Noted(true, 8)
		s.Permit, s.Revision = &Permit{ID: "p", Ask: "ask", State: Back}, 8
		s.Well = false
		if x := a.Next(s, now); x.Kind != Nothing {
			t.Fatalf("made %v: %+v while it is not well", made, x)
		}
		s.Well = true
		if x := a.Next(s, now); x.Kind != Nothing {
			t.Fatalf("made %v: %+v as it gets well", made, x)
		}
		now += lease.Instant(settle - time.Millisecond)
		if x := a.Next(s, now); x.Kind != Nothing {
			t.Fatalf("made %v: %+v a moment before its time", made, x)
		}
		now += lease.Instant(time.Millisecond)
		if x := a.Next(s, now); x.Kind != GiveBack || x.Late || x.Done {
			t.Fatalf("made %v: %+v, want the permit given back and the ask left", made, x)
		}
	}
}
