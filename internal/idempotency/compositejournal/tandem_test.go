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
	held     map[string]node.RunRecord
	deferred []func()
}

func (p *part) note(what string, b node.RunRecord) {
	*p.told = append(*p.told, p.name+" "+what+" "+b.Key)
}

func (p *part) RecordStart(b node.RunRecord, done func(error)) error {
	if p.atOnce != nil {
		return p.atOnce
	}
	p.note("began", b)
	err := p.done
	p.deferred = append(p.deferred, func() { done(err) })
	return nil
}
func (p *part) RecordEnd(b node.RunRecord)                     { p.note("ended", b) }
func (p *part) Withdraw(b node.RunRecord)                      { p.note("withdrawn", b) }
func (p *part) NotifyOnChange(_ node.RunRecord, done func())   { go done() }
func (p *part) Lookup(b node.RunRecord) (node.RunRecord, bool) { f, ok := p.held[b.Key]; return f, ok }

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
	k := node.RunRecord{Key: "k"}
	ended := node.RunRecord{Key: "k", Ended: true}
	for _, c := range []struct {
		name string
		play func(j *Journal, shared, record *part, begin func())
		told string
		done string
		late int
	}{
		{"both at once", func(j *Journal, _, r *part, begin func()) { j.AttachLog(r); begin(); j.RecordEnd(ended) },
			"s began k, r began k, s ended k, r ended k", "<nil>", 0},
		{"the other process holds it", func(j *Journal, s, r *part, begin func()) { j.AttachLog(r); s.done = node.ErrKeyHeld; begin() },
			"s began k", node.ErrKeyHeld.Error(), 0},
		{"the record can't", func(j *Journal, _, r *part, begin func()) { j.AttachLog(r); r.atOnce = broken; begin() }, "s began k", "broken", 0},
		{"the record could not", func(j *Journal, _, r *part, begin func()) { j.AttachLog(r); r.done = broken; begin() },
			"s began k, r began k", "broken", 0},
		{"begun, then the record comes", func(j *Journal, _, r *part, begin func()) { begin(); j.AttachLog(r); r.settle() },
			"s began k, r began k", "<nil>", 0},
		{"begun and ended, then the record comes", func(j *Journal, _, r *part, begin func()) { begin(); j.RecordEnd(ended); j.AttachLog(r) },
			"s began k, s ended k, r ended k", "<nil>", 0},
		{"begun and taken back, then the record comes", func(j *Journal, _, r *part, begin func()) { begin(); j.Withdraw(k); j.AttachLog(r) },
			"s began k, s withdrawn k", "<nil>", 0},
		{"the record comes and is busy", func(j *Journal, _, r *part, begin func()) {
			begin()
			r.atOnce = broken
			j.AttachLog(r)
			r.atOnce = nil
			j.RetryBacklog()
			r.settle()
		}, "s began k, r began k", "<nil>", 0},
		{"the record comes and fails to keep it", func(j *Journal, _, r *part, begin func()) {
			begin()
			r.done = broken
			j.AttachLog(r)
			r.settle()
		}, "s began k, r began k", "<nil>", 1},
		{"the same, but it has ended since", func(j *Journal, _, r *part, begin func()) {
			begin()
			r.done = broken
			j.AttachLog(r)
			j.RecordEnd(ended)
			r.settle()
			j.RetryBacklog()
		}, "s began k, r began k, s ended k, r ended k", "<nil>", 0},
	} {
		var told []string
		shared, record := &part{name: "s", told: &told}, &part{name: "r", told: &told}
		j := New(shared, time.Second, standin.Quiet)
		done := ""
		c.play(j, shared, record, func() {
			if err := j.RecordStart(k, func(err error) { done = fmt.Sprint(err) }); err != nil {
				t.Fatal(err)
			}
			shared.settle()
			record.settle()
		})
		if got := strings.Join(told, ", "); got != c.told || done != c.done || j.Backlog() != c.late {
			t.Errorf("%s: told %q, done %s, %d late; want %q, %s, %d", c.name, got, done, j.Backlog(), c.told, c.done, c.late)
		}
	}
}

// TestRestore: the core is told of what is on record, but for what another process runs or has told the result of.
func TestRestore(t *testing.T) {
	var told []string
	j := New(&part{told: &told, held: map[string]node.RunRecord{"runs": {}, "served": {Ended: true, Succeeded: true}, "lost": {Ended: true}}}, time.Second, standin.Quiet)
	for key, want := range map[string]bool{"runs": false, "served": false, "lost": true, "unknown": true} {
		if got := j.ShouldRestore(node.RunRecord{Key: key}); got != want {
			t.Errorf("%s: %v", key, got)
		}
	}
}
