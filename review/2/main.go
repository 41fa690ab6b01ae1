// Command 2 is case 2 of the review: after a new configuration that makes a class "fragile", the uwsgi pool still
// sends a request of that class to a second server, although the first one has read and run it.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloehitch/review/rig"
)

const bookings = 6

// config returns the platform's file; semantics is that of class book.
func config(listen, semantics string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"seed":"1","stop_ms":5000,
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"ceilings":{"retry-after":true,"max-retry-after":5000000},
 "classes":[{"name":"slot-search","objective":4300000,"hard-limit":17000000,"credit":1,"semantics":"retryable","window":5000000},
  {"name":"book","objective":6500000,"hard-limit":17000000,"credit":3,"semantics":%q,"window":5000000}],
 "counted-by":"work","domain":{"cores":4,"memory-kb":65536,"run-factor":8,"kb-per-key":12.5,"stop-mode":"freeze","signal":"off","hangup-seen":true},
 "over-share-worth":0.05,"projects":[{"name":"siam-smile","quota-per-s":20,"share":1}],
 "rules":{"cold":18000000,"fall":1500000,"grace-to-answer":80000,"overload-factor":5,"start-capacity":0.2,"stop-sending-within":2000000},
 "servers":1,"tick":4000}}`, listen, semantics)
}

// description returns the OpenAPI description.
func description(semantics string) string {
	return fmt.Sprintf(`openapi: 3.0.3
info: {title: Chair times, version: "1"}
paths:
  /slots:
    get:
      responses: {"200": {description: the times}}
      x-sloehitch: {class: slot-search, semantics: retryable, work-ms: 200}
  /book:
    post:
      responses: {"200": {description: booked}}
      x-sloehitch: {class: book, semantics: %s, work-ms: 300}
`, semantics)
}

// servers are two uwsgi servers. Server A ends its connection before the response to a booking whose body begins with
// "break"; server B responds to all.
type servers struct {
	c      *rig.Case
	mu     sync.Mutex
	runs   map[string]int
	broken int // connections that server A ended
}

func (s *servers) start(name string) (address string) {
	return rig.NewUwsgiServer(func(r rig.UwsgiRequest) string {
		s.mu.Lock()
		s.runs[r.Body]++
		s.c.Log("server %s: run %d of %s %s %q", name, s.runs[r.Body], r.Vars["REQUEST_METHOD"], r.Vars["PATH_INFO"], r.Body)
		defer s.mu.Unlock()
		if name == "A" && strings.HasPrefix(r.Body, "break") {
			s.broken++
			return ""
		}
		return rig.Response("booked " + r.Body)
	})
}

func main() { rig.Main(run) }

func run(c *rig.Case) int {
	s := &servers{c: c, runs: map[string]int{}}
	uwsgi, listen := rig.FreeAddress(), rig.FreeAddress()
	deploy := c.Write("deploy.toml", fmt.Sprintf("[uwsgi]\nlisten = %q\nservers = [%q, %q]\nopenapi = \"openapi.yaml\"\n",
		uwsgi, s.start("A"), s.start("B")))
	// With TROUBLE=0 the daemon starts with the new files, and there is no reload.
	semantics := "fragile"
	if c.Trouble {
		semantics = "retryable"
	}
	file := c.Write("config.json", config(listen, semantics))
	c.Write("openapi.yaml", description(semantics))
	node := c.Serve("node", file, deploy, nil)
	ready := rig.WaitFor(10*time.Second, func() bool {
		status, _, err := rig.AskUwsgi(uwsgi, "POST", "/book", "first", nil)
		return err == nil && strings.Contains(status, "200")
	})
	if !ready {
		panic("the node does not serve: " + node.LogText())
	}
	time.Sleep(2 * time.Second) // a new configuration never comes in the first second of service
	if c.Trouble {
		reload(c, node, listen)
	}
	for i := range bookings {
		body := fmt.Sprint("break ", i)
		status, answer, err := rig.AskUwsgi(uwsgi, "POST", "/book", body, nil)
		c.Log("POST /book %q: %q %q %v", body, status, answer, err)
		time.Sleep(300 * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	twice := 0
	for i := range bookings {
		if s.runs[fmt.Sprint("break ", i)] > 1 {
			twice++
		}
	}
	if s.broken == 0 {
		panic("no server broke off")
	}
	c.Log("%d of %d bookings of a fragile class were run more than once", twice, bookings)
	if twice > 0 {
		return rig.Broken
	}
	return rig.Held
}

// reload writes the new files and sends SIGHUP.
func reload(c *rig.Case, node *rig.Process, listen string) {
	for name, text := range map[string]string{"openapi.yaml": description("fragile"), "config.json": config(listen, "fragile")} {
		c.Write(name+".new", text)
		rig.Check(os.Rename(filepath.Join(c.Dir, name+".new"), filepath.Join(c.Dir, name)))
	}
	node.Signal(syscall.SIGHUP)
	if !rig.WaitFor(5*time.Second, func() bool { return strings.Contains(node.LogText(), "configuration applied") }) {
		panic("the new configuration was not applied: " + node.LogText())
	}
	c.Log("new configuration applied: class book is fragile")
}
