// Command 10 replaces the process of a node that operators are emptying, and asks the node's health afterwards.
package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"sloehitch/review/rig2"
)

const (
	deadlineMS = 1000                   // of the only class: the kill comes so long and 0.7 s after SIGTERM
	allowed    = 4 * time.Second        // after the call, a good answer breaks the rule
	asked      = 9 * time.Second        // after the call, the last health check
	between    = 100 * time.Millisecond // two health checks
	killAfter  = (deadlineMS + 700) * time.Millisecond
)

func main() { rig2.Main(play) }

// deployment is the node of the case.
type deployment struct {
	c        *rig2.Case
	listen   string
	listener *os.File
	lookup   string
}

func play(c *rig2.Case) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	lookup, err := c.StartDirectory()
	if err != nil {
		return err
	}
	d := deployment{c: c, listen: ln.Addr().String(), listener: file, lookup: lookup}
	old, ops, err := d.start("old")
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if word, err := d.health(); err != nil || word != "GREEN" {
		return fmt.Errorf("health before the call: %q, %w", word, err)
	}
	answer, err := c.Ops(ops, "evacuate")
	c.Note("operators: evacuate, answer %q", answer)
	if err != nil || !strings.HasPrefix(answer, "ACK") {
		return fmt.Errorf("evacuate: %q, %w", answer, err)
	}
	calledAt := time.Now()
	if c.Trouble {
		if err := d.replace(old); err != nil {
			return err
		}
	}
	return d.check(calledAt)
}

// start starts a process of the node, with an address for operators and one of the runtime of its own.
func (d deployment) start(name string) (*rig2.Process, string, error) {
	runtime, err := d.c.StartRuntime(func(string) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return nil, "", err
	}
	ops, err := rig2.FreeAddress()
	if err != nil {
		return nil, "", err
	}
	config, err := d.c.WriteJSON(name+".json", map[string]any{"name": "n3", "listen": d.listen, "ops": ops, "runtime": runtime.Address,
		"lookup": d.lookup, "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"settings": rig2.Settings(2000, rig2.Class("slot-search", "retryable", deadlineMS/2, deadlineMS, 5000))})
	if err != nil {
		return nil, "", err
	}
	p, err := d.c.StartDaemon(rig2.Daemon{Name: name, Config: config, Accept: d.listener, Env: []string{"GW_OPS=" + ops, "TMPDIR=" + d.c.Dir}})
	if err != nil {
		return nil, "", err
	}
	return p, ops, d.c.WaitReady(ops, p)
}

// replace starts the new process, waits until it takes clients, and stops the old one.
func (d deployment) replace(old *rig2.Process) error {
	if _, _, err := d.start("new"); err != nil {
		return err
	}
	old.Signal(syscall.SIGTERM)
	if !old.WaitEnd(killAfter) {
		old.Kill()
	}
	return nil
}

// health makes a health check on a connection of its own.
func (d deployment) health() (string, error) {
	b, err := d.c.Connect("health check", d.listen)
	if err != nil {
		return "", err
	}
	defer b.Close()
	return b.Ping()
}

// check asks the node's health until the end of the case.
func (d deployment) check(calledAt time.Time) error {
	good, checks := 0, 0
	for time.Since(calledAt) < asked {
		word, err := d.health()
		if since := time.Since(calledAt); err == nil && since > allowed {
			checks++
			if word == "GREEN" {
				good++
			}
		}
		time.Sleep(between)
	}
	if checks == 0 {
		return fmt.Errorf("no health check was answered")
	}
	if good > 0 {
		d.c.Broken("%d of %d health checks later than %v after evacuate were good; activate was never called", good, checks, allowed)
	}
	return nil
}
