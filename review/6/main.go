// Command 6 grows a store from one member to three, and starts the first member again with an empty folder.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"sloehitch/review/rig2"
)

const (
	rounds    = 6
	beat      = 2 * time.Second        // more than the second after which members have flushed what they remember
	settle    = 6 * time.Second        // after the start, until the members are asked
	pollEvery = 250 * time.Millisecond // between two changes
	prefix    = "windows/"             // of the documents that operators set
)

var operators = []string{"--by", "operators", "--why", "review"}

func main() { rig2.Main(play) }

// member is a member of the store.
type member struct {
	c                         *rig2.Case
	name, admin, raft         string
	listen, ops, folder, toml string
	config                    string
	process                   *rig2.Process
}

func play(c *rig2.Case) error {
	first, err := newMember(c, "n0")
	if err != nil {
		return err
	}
	if err := first.start(); err != nil {
		return err
	}
	var others []*member
	for _, name := range []string{"n1", "n2"} {
		m, err := newMember(c, name, append([]*member{first}, others...)...)
		if err != nil {
			return err
		}
		if err := m.join(first); err != nil {
			return err
		}
		others = append(others, m)
	}
	r := run{c: c, first: first, members: append([]*member{first}, others...)}
	for n := 0; n < rounds && !r.broken; n++ {
		if err := r.round(n); err != nil {
			return err
		}
	}
	return nil
}

// run is the state of the case.
type run struct {
	c            *rig2.Case
	first        *member
	members      []*member
	acknowledged []string // keys of the documents whose change was acknowledged
	broken       bool
}

// round lets the first member lead, sets a document, kills the member and starts it again from nothing. Then it sets
// documents at that member, and asks all members what they have.
func (r *run) round(n int) error {
	err := rig2.WaitFor("the first member leads", 20*time.Second, func() bool {
		time.Sleep(pollEvery)
		_, _ = r.first.fleet(append([]string{"members", "lead", r.first.name}, operators...)...) // asked again until it leads
		return r.first.leads()
	})
	if err != nil {
		return err
	}
	if !r.put(fmt.Sprint(prefix, n, "-before")) {
		return errors.New("a change was not acknowledged before the kill")
	}
	time.Sleep(beat)
	if r.c.Trouble {
		r.first.process.Kill()
		if err := os.RemoveAll(r.first.folder); err != nil {
			return err
		}
		if err := r.first.start(); err != nil {
			return err
		}
	}
	for i, end := 0, time.Now().Add(settle); time.Now().Before(end); i++ {
		r.put(fmt.Sprint(prefix, n, "-", i))
		time.Sleep(pollEvery)
	}
	for _, m := range r.members {
		r.check(m)
	}
	return nil
}

// put sets a document that does not exist yet at the first member, and reports whether that was acknowledged.
func (r *run) put(key string) bool {
	_, err := r.first.fleet(append([]string{"put", key, "open", "--version", "0"}, operators...)...)
	if err == nil {
		r.acknowledged = append(r.acknowledged, key)
	}
	return err == nil
}

// check checks that a member that shows a content as confirmed by a majority has all acknowledged changes.
func (r *run) check(m *member) {
	text, err := m.fleet("show", prefix)
	if err != nil || !strings.Contains(text, "confirmed by a majority") {
		return
	}
	lost := 0
	for _, key := range r.acknowledged {
		if !strings.Contains(text, "\n"+key+"\t") {
			lost++
		}
	}
	if lost > 0 {
		r.broken = true
		r.c.Broken("%s shows as confirmed by a majority what lacks %d of %d acknowledged changes", m.name, lost, len(r.acknowledged))
	}
}

// newMember writes the files of a member whose settings name itself and those that exist.
func newMember(c *rig2.Case, name string, existing ...*member) (*member, error) {
	a, err := rig2.FreeAddresses(4)
	if err != nil {
		return nil, err
	}
	runtime, err := c.StartRuntime(func(string) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return nil, err
	}
	m := &member{c: c, name: name, admin: a[0], raft: a[1], listen: a[2], ops: a[3], folder: filepath.Join(c.Dir, name)}
	if m.config, err = c.WriteJSON(name+".json", map[string]any{"name": name, "listen": m.listen, "ops": m.ops, "runtime": runtime.Address, "seed": "8c1f30d27a5be964",
		"stop_ms": 3200, "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"settings": rig2.Settings(2000, rig2.Class("slot-search", "retryable", 4300, 17000, 5000))}); err != nil {
		return nil, err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[store]\nadmin = %q\ndir = %q\nlease = \"2s\"\n", m.admin, m.folder)
	if len(existing) > 0 {
		text.WriteString("join = true\n")
	}
	for _, e := range append(existing, m) {
		fmt.Fprintf(&text, "[[store.members]]\nname = %q\nraft = %q\nadmin = %q\n", e.name, e.raft, e.admin)
	}
	m.toml, err = c.WriteFile(name+".toml", text.String())
	return m, err
}

// start starts the member's process and waits until it takes clients. A process that ends at once is started again.
func (m *member) start() (err error) {
	for range 3 {
		if m.process, err = m.c.StartDaemon(rig2.Daemon{Name: m.name, Config: m.config, Deploy: m.toml}); err != nil {
			return err
		}
		if err = m.c.WaitReady(m.ops, m.process); err == nil {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return err
}

// fleet makes an operators' call at the member.
func (m *member) fleet(args ...string) (string, error) {
	return m.c.Command(append([]string{"fleet", "--admin", m.admin}, args...)...)
}

// join starts the member, adds it to the store and gives it a vote, in the order of fleet.md.
func (m *member) join(first *member) error {
	if err := m.start(); err != nil {
		return err
	}
	add := append([]string{"members", "add", m.name, "--raft", m.raft, "--member-admin", m.admin}, operators...)
	if err := first.repeat(m.name+" is added", add, func() bool { return first.lists(m, "") }); err != nil {
		return err
	}
	promote := append([]string{"members", "promote", m.name}, operators...)
	return first.repeat(m.name+" has a vote", promote, func() bool { return first.lists(m, "votes") })
}

// repeat makes an operators' call until it has its effect.
func (m *member) repeat(what string, call []string, done func() bool) error {
	return rig2.WaitFor(what, 20*time.Second, func() bool {
		time.Sleep(2 * pollEvery)
		_, _ = m.fleet(call...) // an error says that it has to be repeated
		return done()
	})
}

// lists reports whether the member lists another one with a part in the store.
func (m *member) lists(other *member, part string) bool {
	text, err := m.fleet("members")
	if err != nil {
		return false
	}
	for line := range strings.Lines(text) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == other.name && (part == "" || fields[1] == part) {
			return true
		}
	}
	return false
}

// leads reports whether the member says that it leads the store.
func (m *member) leads() bool {
	text, err := m.fleet("members")
	return err == nil && strings.Contains(text, "leader "+m.name+"\n")
}
