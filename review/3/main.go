// Command 3 is case 3 of the review: changes of the operators' state that the daemon acknowledged are lost at a
// restart, although the store has a directory.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sloehitch/review/rig"
)

const bookings = 10

// recovery is how long the restarted daemon gets to return the acknowledged change.
const recovery = 10 * time.Second

func config(listen string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"seed":"1","stop_ms":5000,
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},
 "settings":{"ceilings":{"retry-after":true,"max-retry-after":5000000},
 "classes":[{"name":"slot-search","objective":4300000,"hard-limit":17000000,"credit":1,"semantics":"retryable","window":5000000},
  {"name":"book","objective":6500000,"hard-limit":17000000,"credit":3,"semantics":"dedup","window":51858000}],
 "counted-by":"work","domain":{"cores":4,"memory-kb":65536,"run-factor":8,"kb-per-key":12.5,"stop-mode":"freeze","signal":"off","hangup-seen":true},
 "over-share-worth":0.05,"projects":[{"name":"siam-smile","quota-per-s":20,"share":1}],
 "rules":{"cold":18000000,"fall":1500000,"grace-to-answer":80000,"overload-factor":5,"start-capacity":0.2,"stop-sending-within":2000000},
 "servers":1,"tick":4000}}`, listen)
}

const description = `openapi: 3.0.3
info: {title: Chair times, version: "1"}
paths:
  /book:
    post:
      responses: {"200": {description: booked}}
      x-sloehitch: {class: book, semantics: dedup, key: "header:Idempotency-Key", work-ms: 300}
`

func main() { rig.Main(run) }

func run(c *rig.Case) int {
	var mu sync.Mutex
	sent := map[string]int{}
	server := func(name string) (address string) {
		return rig.NewUwsgiServer(func(r rig.UwsgiRequest) string {
			mu.Lock()
			defer mu.Unlock()
			sent[name]++
			c.Log("server %s: booking %q", name, r.Body)
			return rig.Response("booked by " + name)
		})
	}
	removed, current := server("removed"), server("current")
	uwsgi, admin := rig.FreeAddress(), rig.FreeAddress()
	deploy := c.Write("deploy.toml", fmt.Sprintf("[uwsgi]\nlisten = %q\nservers = [%q]\nopenapi = \"openapi.yaml\"\n[store]\nadmin = %q\ndir = %q\n",
		uwsgi, removed, admin, filepath.Join(c.Dir, "store")))
	c.Write("openapi.yaml", description)
	file := c.Write("config.json", config(rig.FreeAddress()))
	serve := func() *rig.Process {
		node := c.Serve("node", file, deploy, nil)
		if !rig.WaitFor(10*time.Second, func() bool { _, err := c.Call("state", "--admin", admin, "show"); return err == nil }) {
			panic("the node does not serve: " + node.LogText())
		}
		return node
	}
	node := serve()
	change := "uwsgi-servers=" + current
	if out, err := c.Call("state", "--admin", admin, "set", "uwsgi-servers", current); err != nil {
		panic("the change was not acknowledged: " + out)
	}
	c.Log("acknowledged: %s", change)
	if out, err := c.Call("state", "--admin", admin, "show"); err != nil || !strings.Contains(out, change) {
		panic("the change is not in the state: " + out)
	}
	if c.Trouble {
		node.Signal(syscall.SIGTERM)
		<-node.Done
		serve()
	}
	kept := false
	for end := time.Now().Add(recovery); !kept && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		out, err := c.Call("state", "--admin", admin, "show")
		c.Log("state show: %q %v", out, err)
		kept = err == nil && strings.Contains(out, change)
	}
	for i := range bookings {
		body := fmt.Sprint("booking ", i)
		status, answer, err := rig.AskUwsgi(uwsgi, "POST", "/book", body, map[string]string{"HTTP_IDEMPOTENCY_KEY": fmt.Sprintf("%032x", i+1)})
		c.Log("POST /book %q: %q %q %v", body, status, answer, err)
	}
	mu.Lock()
	defer mu.Unlock()
	c.Log("acknowledged change kept: %v; bookings sent to the removed server: %d, to the current one: %d", kept, sent["removed"], sent["current"])
	if !kept || sent["removed"] > 0 {
		return rig.Broken
	}
	return rig.Held
}
