// Command 10 replaces the process of a node that takes part in a fleet.
package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"sloehitch/review/rig2"
)

const (
	deadlineMS = 3000 // of the only class: the kill comes so long and 0.7 s after SIGTERM
	killAfter  = (deadlineMS + 700) * time.Millisecond
)

func main() { rig2.Main(play) }

// deployment is the node of the case, and a node that keeps the store.
type deployment struct {
	c        *rig2.Case
	listen   string
	listener *os.File
	deploy   string
}

func play(c *rig2.Case) error {
	d := deployment{c: c}
	if err := d.startStore(); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if d.listener, err = ln.(*net.TCPListener).File(); err != nil {
		return err
	}
	d.listen = ln.Addr().String()
	old, err := d.start("old")
	if err != nil {
		return err
	}
	if old.Ended() {
		return fmt.Errorf("the first process ended")
	}
	time.Sleep(1500 * time.Millisecond)
	if !c.Trouble {
		time.Sleep(2 * time.Second)
		if old.Ended() {
			c.Broken("the process ended")
		}
		return nil
	}
	replacement, err := d.start("new")
	if err != nil {
		return err
	}
	if replacement.Ended() {
		c.Broken("the new process ended as it started; the old one still serves")
		return nil
	}
	old.Signal(syscall.SIGTERM)
	if !old.WaitEnd(killAfter) {
		old.Kill()
	}
	time.Sleep(2 * time.Second)
	if replacement.Ended() {
		c.Broken("the new process ended after the old one")
	}
	return nil
}

// startStore starts the node that keeps the store, and writes the deployment file of the other one.
func (d *deployment) startStore() error {
	a, err := rig2.FreeAddresses(3)
	if err != nil {
		return err
	}
	config, err := d.config("n0", a[0], a[1], "127.0.0.1:9") // nothing is asked of this node's runtime
	if err != nil {
		return err
	}
	deploy, err := d.c.WriteFile("n0.toml", fmt.Sprintf("[store]\nadmin = %q\ndir = %q\n", a[2], filepath.Join(d.c.Dir, "store")))
	if err != nil {
		return err
	}
	p, err := d.c.StartDaemon(rig2.Daemon{Name: "n0", Config: config, Deploy: deploy})
	if err != nil {
		return err
	}
	if err := d.c.WaitReady(a[1], p); err != nil {
		return err
	}
	d.deploy, err = d.c.WriteFile("n3.toml", fmt.Sprintf("[fleet]\nmembers = [%q]\ndir = %q\n", a[2], filepath.Join(d.c.Dir, "wishes")))
	return err
}

// config writes a platform's file.
func (d *deployment) config(name, listen, ops, runtime string) (string, error) {
	return d.c.WriteJSON(strings.ReplaceAll(name+"-"+ops+".json", ":", "-"), map[string]any{"name": name, "listen": listen, "ops": ops, "runtime": runtime,
		"seed": "8c1f30d27a5be964", "stop_ms": 4000, "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"settings": rig2.Settings(2000, rig2.Class("book", "dedup", 1000, deadlineMS, 51858))})
}

// start starts a process of the node, with an address for operators and one of the runtime of its own.
func (d *deployment) start(name string) (*rig2.Process, error) {
	runtime, err := d.c.StartRuntime(func(string) time.Duration { return 20 * time.Millisecond })
	if err != nil {
		return nil, err
	}
	ops, err := rig2.FreeAddress()
	if err != nil {
		return nil, err
	}
	config, err := d.config("n3", d.listen, ops, runtime.Address)
	if err != nil {
		return nil, err
	}
	p, err := d.c.StartDaemon(rig2.Daemon{Name: name, Config: config, Deploy: d.deploy, Accept: d.listener,
		Env: []string{"GW_OPS=" + ops, "TMPDIR=" + d.c.Dir}})
	if err != nil {
		return nil, err
	}
	return p, d.c.WaitReady(ops, p)
}
