// Command 8 sends a node a configuration file that lacks a key, and then stops the node as the platform does.
package main

import (
	"fmt"
	"syscall"
	"time"

	"sloehitch/review/rig2"
)

const (
	stopMS   = 1500 // from SIGTERM to SIGKILL
	requests = 8
)

func main() { rig2.Main(play) }

func play(c *rig2.Case) error {
	runtime, err := c.StartRuntime(func(string) time.Duration { return 4 * time.Second })
	if err != nil {
		return err
	}
	directory, err := c.StartDirectory()
	if err != nil {
		return err
	}
	addresses, err := rig2.FreeAddresses(2)
	if err != nil {
		return err
	}
	config := map[string]any{"name": "n3", "listen": addresses[0], "ops": addresses[1], "runtime": runtime.Address, "lookup": directory,
		"seed": "8c1f30d27a5be964", "stop_ms": stopMS, "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"settings": rig2.Settings(500, rig2.Class("slot-search", "retryable", 4300, 17000, 5000), rig2.Class("book", "dedup", 6500, 17000, 51858))}
	path, err := c.WriteJSON("config.json", config)
	if err != nil {
		return err
	}
	node, err := c.StartDaemon(rig2.Daemon{Name: "n3", Config: path})
	if err != nil {
		return err
	}
	if err := c.WaitReady(addresses[1], node); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond) // no configuration comes in the first second of service
	if err := announce(c, node, config, addresses[1]); err != nil {
		return err
	}
	return stop(c, node, runtime, addresses[0])
}

// announce replaces the configuration file and sends SIGHUP. With the disruption the new file lacks a key of the running one.
func announce(c *rig2.Case, node *rig2.Process, config map[string]any, ops string) error {
	if c.Trouble {
		delete(config, "stop_ms")
		c.Note("platform: the new file lacks the key stop_ms")
	}
	if _, err := c.WriteJSON("config.json", config); err != nil {
		return err
	}
	node.Signal(syscall.SIGHUP)
	time.Sleep(500 * time.Millisecond)
	figures, err := c.Ops(ops, "telemetry")
	c.Note("operators: telemetry says %q", figures)
	return err
}

// stop sends requests, stops the node while they run, and checks that each was answered before the kill.
func stop(c *rig2.Case, node *rig2.Process, runtime *rig2.Runtime, listen string) error {
	balancer, err := c.Connect("balancer 1", listen)
	if err != nil {
		return err
	}
	var tags []string
	for i := range requests {
		tag, err := balancer.Do("slot-search", fmt.Sprintf("9b1f03aa5c7e%04x", i), fmt.Sprint("search ", i))
		if err != nil {
			return err
		}
		tags = append(tags, tag)
	}
	if err := rig2.WaitFor("runs have begun", 5*time.Second, func() bool { return len(runtime.Starts()) > 0 }); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	node.Signal(syscall.SIGTERM)
	if !node.WaitEnd(stopMS * time.Millisecond) {
		node.Kill()
	}
	time.Sleep(300 * time.Millisecond) // what was written before the kill is still read
	for _, tag := range tags {
		switch n := len(balancer.Answers(tag)); {
		case n == 0:
			c.Broken("request %s was read before the notice to leave and had no answer when the process was stopped", tag)
		case n > 1:
			c.Broken("request %s was answered %d times", tag, n)
		}
	}
	return nil
}
