// Command 7 stores a disruption budget that sets no bound, and lets operators drain a node.
package main

import (
	"fmt"
	"path/filepath"
	"time"

	"sloehitch/review/rig2"
)

const (
	nodes    = 3
	requests = 4 // to each node, in hand as the drain is requested
	runTime  = 6 * time.Second
	playFor  = 15 * time.Second
)

// Versions of the budgets: one that any budget has to look like, and one that lacks its bound.
const (
	valid   = `[{"group":"zone","most_out":1}]`
	invalid = `[{"group":"zone"}]`
)

func main() { rig2.Main(play) }

// node is a node of the fleet.
type node struct {
	name    string
	listen  string
	process *rig2.Process
	client  *rig2.Balancer
	tags    []string
}

func play(c *rig2.Case) error {
	admin, err := startStore(c)
	if err != nil {
		return err
	}
	var fleet []*node
	for i := range nodes {
		n, err := startNode(c, fmt.Sprint("n", i+1), admin)
		if err != nil {
			return err
		}
		fleet = append(fleet, n)
	}
	time.Sleep(3 * time.Second) // the nodes have reported
	budget := valid
	if c.Trouble {
		budget = invalid
	}
	by := []string{"--by", "operators", "--why", "review"}
	if _, err := c.Command(append([]string{"fleet", "--admin", admin, "put", "budget", budget, "--version", "0"}, by...)...); err != nil {
		c.Note("the budget was turned down")
	}
	if err := send(c, fleet); err != nil {
		return err
	}
	if _, err := c.Command(append([]string{"fleet", "--admin", admin, "drain", "n1"}, by...)...); err != nil {
		return err
	}
	time.Sleep(playFor)
	for _, n := range fleet {
		check(c, n)
	}
	return nil
}

// startStore starts a node that keeps the store, and returns its address for operators.
func startStore(c *rig2.Case) (string, error) {
	a, err := rig2.FreeAddresses(3)
	if err != nil {
		return "", err
	}
	runtime, err := c.StartRuntime(func(string) time.Duration { return runTime })
	if err != nil {
		return "", err
	}
	config, err := writeConfig(c, "n0", a[0], a[1], runtime.Address)
	if err != nil {
		return "", err
	}
	deploy, err := c.WriteFile("n0.toml", fmt.Sprintf("[store]\nadmin = %q\ndir = %q\nlease = \"2s\"\n", a[2], filepath.Join(c.Dir, "store")))
	if err != nil {
		return "", err
	}
	p, err := c.StartDaemon(rig2.Daemon{Name: "n0", Config: config, Deploy: deploy})
	if err != nil {
		return "", err
	}
	return a[2], c.WaitReady(a[1], p)
}

func writeConfig(c *rig2.Case, name, listen, ops, runtime string) (string, error) {
	return c.WriteJSON(name+".json", map[string]any{"name": name, "listen": listen, "ops": ops, "runtime": runtime, "seed": "8c1f30d27a5be964",
		"stop_ms": 3200, "limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"settings": rig2.Settings(2000, rig2.Class("slot-search", "retryable", 10000, 17000, 5000))})
}

// startNode starts a node of the fleet with a runtime.
func startNode(c *rig2.Case, name, admin string) (*node, error) {
	runtime, err := c.StartRuntime(func(string) time.Duration { return runTime })
	if err != nil {
		return nil, err
	}
	a, err := rig2.FreeAddresses(2)
	if err != nil {
		return nil, err
	}
	config, err := writeConfig(c, name, a[0], a[1], runtime.Address)
	if err != nil {
		return nil, err
	}
	deploy, err := c.WriteFile(name+".toml", fmt.Sprintf(
		"[fleet]\nmembers = [%q]\nzone = \"a\"\nlease = \"2s\"\nreport = \"500ms\"\nsilent = \"5s\"\nsettle = \"1s\"\n", admin))
	if err != nil {
		return nil, err
	}
	n := &node{name: name, listen: a[0]}
	if n.process, err = c.StartDaemon(rig2.Daemon{Name: name, Config: config, Deploy: deploy}); err != nil {
		return nil, err
	}
	if err := c.WaitReady(a[1], n.process); err != nil {
		return nil, err
	}
	return n, nil
}

// send sends the requests that are in hand as the drain is requested.
func send(c *rig2.Case, fleet []*node) (err error) {
	for i, n := range fleet {
		if n.client, err = c.Connect("balancer of "+n.name, n.listen); err != nil {
			return err
		}
		for j := range requests {
			tag, err := n.client.Do("slot-search", fmt.Sprintf("9b1f03aa5c7e%02x%02x", i, j), fmt.Sprint("search ", j))
			if err != nil {
				return err
			}
			n.tags = append(n.tags, tag)
		}
	}
	return nil
}

// check checks that a node has not ended and has answered its requests.
func check(c *rig2.Case, n *node) {
	lost := 0
	for _, tag := range n.tags {
		if len(n.client.Answers(tag)) == 0 {
			lost++
		}
	}
	if n.process.Ended() {
		c.Broken("%s has crashed; %d of its %d requests in hand had no answer", n.name, lost, len(n.tags))
	} else if lost > 0 {
		c.Broken("%s: %d of %d requests had no answer", n.name, lost, len(n.tags))
	}
}
