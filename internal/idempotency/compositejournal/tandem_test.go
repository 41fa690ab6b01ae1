package compositejournal

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"sloehitch/internal/node"
	"sloehitch/internal/testing/standin"
)

// part notes what one of the two was told; fails is how the next starts go, at once or when they are done.
type part struct {
	name     string
	told     *[]string
	atOnce   error
	done     error
	held     map[string]node.Booking
	deferred []func()
}

func (p *part) note(what string, b node.Booking) {
	*p.told = append(*p.told, p.name+" "+what+" "+b.Key)
}

func (p *part) Began(b node.Booking, done func(error)) error {
	if p.atOnce != nil {
		return p.atOnce
	}
	p.note("began", b)
	err := p.done
	p.deferred = append(p.deferred, func() { done(err) })
	return nil
}
func (p *part) Ended(b node.Booking)                     { p.note("ended", b) }
func (p *part) Withdraw(b node.Booking)                  { p.note("withdrawn", b) }
func (p *part) Await(_ node.Booking, done func())        { go done() }
func (p *part) Find(b node.Booking) (node.Booking, bool) { f, ok := p.held[b.Key]; return f, ok }

// settle carries out what done was put off.
func (p *part) settle() {
	for len(p.deferred) > 0 {
		next := p.deferred[0]
		p.deferred = p.deferred[1:]
		next()
	}
}

// TestTandem: a start is made once both have it; what the record missed while another process had it, it is told in the
// end, and nothing that was taken back or ended since is told wrongly.
func TestTandem(t *testing.T) {
	broken := errors.New("broken")
	k := node.Booking{Key: "k"}
	ended := node.Booking{Key: "k", Ended: true}
	for _, c := range []struct {
		name string
		play func(j *Journal, shared, record *part, begin func())
		told string
		done string
		late int
	}{
		{"both at once", func(j *Journal, _, r *part, begin func()) { j.Attach(r); begin(); j.Ended(ended) },
			"s began k, r began k, s ended k, r ended k", "<nil>", 0},
		{"the other process holds it", func(j *Journal, s, r *part, begin func()) { j.Attach(r); s.done = node.ErrTaken; begin() },
			"s began k", node.ErrTaken.Error(), 0},
		{"the record can't", func(j *Journal, _, r *part, begin func()) { j.Attach(r); r.atOnce = broken; begin() }, "s began k", "broken", 0},
		{"the record could not", func(j *Journal, _, r *part, begin func()) { j.Attach(r); r.done = broken; begin() },
			"s began k, r began k", "broken", 0},
		{"begun, then the record comes", func(j *Journal, _, r *part, begin func()) { begin(); j.Attach(r); r.settle() },
			"s began k, r began k", "<nil>", 0},
		{"begun and ended, then the record comes", func(j *Journal, _, r *part, begin func()) { begin(); j.Ended(ended); j.Attach(r) },
			"s began k, s ended k, r ended k", "<nil>", 0},
		{"begun and taken back, then the record comes", func(j *Journal, _, r *part, begin func()) { begin(); j.Withdraw(k); j.Attach(r) },
			"s began k, s withdrawn k", "<nil>", 0},
		{"the record comes and is busy", func(j *Journal, _, r *part, begin func()) {
			begin()
			r.atOnce = broken
			j.Attach(r)
			r.atOnce = nil
			j.Retry()
			r.settle()
		}, "s began k, r began k", "<nil>", 0},
		{"the record comes and fails to keep it", func(j *Journal, _, r *part, begin func()) {
			begin()
			r.done = broken
			j.Attach(r)
			r.settle()
		}, "s began k, r began k", "<nil>", 1},
		{"the same, but it has ended since", func(j *Journal, _, r *part, begin func()) {
			begin()
			r.done = broken
			j.Attach(r)
			j.Ended(ended)
			r.settle()
			j.Retry()
		}, "s began k, r began k, s ended k, r ended k", "<nil>", 0},
	} {
		var told []string
		shared, record := &part{name: "s", told: &told}, &part{name: "r", told: &told}
		j := New(shared, time.Second, standin.Quiet)
		done := ""
		c.play(j, shared, record, func() {
			if err := j.Began(k, func(err error) { done = fmt.Sprint(err) }); err != nil {
				t.Fatal(err)
			}
			shared.settle()
			record.settle()
		})
		if got := strings.Join(told, ", "); got != c.told || done != c.done || j.Late() != c.late {
			t.Errorf("%s: told %q, done %s, %d late; want %q, %s, %d", c.name, got, done, j.Late(), c.told, c.done, c.late)
		}
	}
}

// TestRestore: the core is told of what is on record, but for what another process runs or has told the result of.
func TestRestore(t *testing.T) {
	var told []string
	j := New(&part{told: &told, held: map[string]node.Booking{"runs": {}, "served": {Ended: true, Served: true}, "lost": {Ended: true}}}, time.Second, standin.Quiet)
	for key, want := range map[string]bool{"runs": false, "served": false, "lost": true, "unknown": true} {
		if got := j.Restore(node.Booking{Key: key}); got != want {
			t.Errorf("%s: %v", key, got)
		}
	}
}
