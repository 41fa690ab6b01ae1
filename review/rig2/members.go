package rig2

import (
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Member is a node that is a member of the replicated store.
type Member struct {
	Name           string
	Admin, Raft    string // addresses for operators and for the other members
	Listen, Ops    string
	Uwsgi          string // the address of its uwsgi front
	Config, Deploy string // files
	Process        *Process
	c              *Case
}

// StartMembers starts a store of so many members, n0 and so on, each with a folder of its own. more returns further
// sections of a member's deployment file.
func (c *Case) StartMembers(n int, settings map[string]any, more func(*Member) string) ([]*Member, error) {
	var members []*Member
	var list strings.Builder
	for i := range n {
		a, err := FreeAddresses(5)
		if err != nil {
			return nil, err
		}
		m := &Member{Name: fmt.Sprint("n", i), Admin: a[0], Raft: a[1], Listen: a[2], Ops: a[3], Uwsgi: a[4], c: c}
		fmt.Fprintf(&list, "[[store.members]]\nname = %q\nraft = %q\nadmin = %q\n", m.Name, m.Raft, m.Admin)
		members = append(members, m)
	}
	for _, m := range members {
		var err error
		m.Config, err = c.WriteJSON(m.Name+".json", map[string]any{"name": m.Name, "listen": m.Listen, "ops": m.Ops, "seed": "8c1f30d27a5be964",
			"stop_ms": 3200, "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512}, "settings": settings})
		if err != nil {
			return nil, err
		}
		text := fmt.Sprintf("[store]\nadmin = %q\ndir = %q\nlease = \"2s\"\n%s%s", m.Admin, filepath.Join(c.Dir, m.Name, "store"), list.String(), more(m))
		if m.Deploy, err = c.WriteFile(m.Name+".toml", text); err != nil {
			return nil, err
		}
		if err := m.Start(); err != nil {
			return nil, err
		}
	}
	return members, WaitFor("the store has a leader", 20*time.Second, func() bool {
		time.Sleep(200 * time.Millisecond)
		text, err := c.Command("fleet", "--admin", members[0].Admin, "members")
		return err == nil && strings.Count(text, "votes ") >= n-1
	})
}

// Start starts the member's process and waits until it takes clients.
func (m *Member) Start() (err error) {
	if m.Process, err = m.c.StartDaemon(Daemon{Name: m.Name, Config: m.Config, Deploy: m.Deploy}); err != nil {
		return err
	}
	return m.c.WaitReady(m.Ops, m.Process)
}

// Command runs an operators' command of the program and returns what it printed.
func (c *Case) Command(args ...string) (string, error) {
	text, err := exec.Command(filepath.Join(c.root, "bin", "sloehitch"), args...).CombinedOutput()
	c.Note("operators: sloehitch %s: %q, %v", strings.Join(args, " "), text, err)
	return string(text), err
}

// Leader returns the leader of the store, as the first member that answers reports it.
func (c *Case) Leader(members []*Member) (*Member, error) {
	for _, m := range members {
		text, err := c.Command("fleet", "--admin", m.Admin, "members")
		if err != nil {
			continue
		}
		for _, leader := range members {
			if strings.Contains(text, "; leader "+leader.Name+"\n") {
				return leader, nil
			}
		}
	}
	return nil, errors.New("no member reports a leader")
}
