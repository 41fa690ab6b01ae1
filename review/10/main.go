// Command 10 repeats bookings that have run over uwsgi, while clients that say nothing fill the node's connections.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"sloehitch/review/rig2"
)

const (
	bookings = 8   // whose repeats come at the same time
	silent   = 40  // clients a round that connect and say nothing
	rounds   = 120 // at most
	playFor  = 60 * time.Second
)

const openAPI = `openapi: 3.0.3
info: {title: Chair times, version: "1"}
paths:
  /book:
    post:
      responses: {"200": {description: booked}}
      x-sloehitch: {class: book, semantics: dedup, key: "header:Idempotency-Key"}
`

func main() { rig2.Main(play) }

func play(c *rig2.Case) error {
	server, front, err := start(c)
	if err != nil {
		return err
	}
	var keys []string
	for i := range bookings {
		key := fmt.Sprint("booking-", i)
		r, err := c.Exchange("first try of "+key, front, rig2.Post("/book", key, "chair 5"))
		if err != nil || r.Status != 200 {
			return fmt.Errorf("first try of %s: %+v, %w", key, r, err)
		}
		keys = append(keys, key)
	}
	for n, end := 0, time.Now().Add(playFor); n < rounds && time.Now().Before(end); n++ {
		if refused := round(c, front, keys); refused > 0 {
			c.Broken("round %d: %d repeats of bookings that have run were turned away with 503", n, refused)
			break
		}
	}
	counts := map[string]int{}
	for _, run := range server.Runs() {
		counts[run.Key]++
	}
	c.Note("runs by key: %v", counts)
	return nil
}

// start starts a uwsgi server and a node before it, and returns the server and the address of the node's uwsgi front.
func start(c *rig2.Case) (*rig2.UwsgiServer, string, error) {
	server, err := c.StartUwsgiServer()
	if err != nil {
		return nil, "", err
	}
	addresses, err := rig2.FreeAddresses(3)
	if err != nil {
		return nil, "", err
	}
	if _, err := c.WriteFile("openapi.yaml", openAPI); err != nil {
		return nil, "", err
	}
	deploy, err := c.WriteFile("deploy.toml", fmt.Sprintf("[uwsgi]\nlisten = %q\nservers = [%q]\nopenapi = \"openapi.yaml\"\n", addresses[2], server.Address))
	if err != nil {
		return nil, "", err
	}
	config, err := c.WriteJSON("config.json", map[string]any{"name": "n3", "listen": addresses[0], "ops": addresses[1], "seed": "8c1f30d27a5be964",
		"stop_ms": 3200, "limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 192},
		"settings": rig2.Settings(2000, rig2.Class("book", "dedup", 6500, 17000, 600000))})
	if err != nil {
		return nil, "", err
	}
	node, err := c.StartDaemon(rig2.Daemon{Name: "n3", Config: config, Deploy: deploy})
	if err != nil {
		return nil, "", err
	}
	return server, addresses[2], c.WaitReady(addresses[1], node)
}

// round repeats all bookings at the same time, each in two fragments, and returns how many repeats were turned away. With
// the disruption, clients that say nothing connect between the fragments and as the second ones are sent.
func round(c *rig2.Case, front string, keys []string) (refused int) {
	var repeats []*repeat
	for _, key := range keys {
		if r := begin(c, front, key); r != nil {
			repeats = append(repeats, r)
		}
	}
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	if c.Trouble {
		crowd.Go(func() { connectSilent(front, stop) })
	}
	time.Sleep(15 * time.Millisecond)
	var clients sync.WaitGroup
	for _, r := range repeats {
		clients.Go(func() { r.complete(c) })
	}
	clients.Wait()
	close(stop)
	crowd.Wait()
	for _, r := range repeats {
		if r.response.Status == 503 {
			refused++
		}
	}
	return refused
}

// repeat is one repeat of a booking.
type repeat struct {
	key      string
	conn     net.Conn
	rest     []byte // the second fragment
	response rig2.Response
}

// begin connects and sends the first fragment.
func begin(c *rig2.Case, front, key string) *repeat {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		c.Note("repeat of %s: %v", key, err)
		return nil
	}
	request := rig2.Post("/book", key, "chair 5")
	half := len(request) / 2
	if _, err := conn.Write(request[:half]); err != nil {
		c.Note("repeat of %s: %v", key, err)
	}
	return &repeat{key: key, conn: conn, rest: request[half:]}
}

// complete sends the second fragment and reads the response.
func (r *repeat) complete(c *rig2.Case) {
	defer r.conn.Close()
	time.Sleep(time.Duration(rand.IntN(6000)) * time.Microsecond)
	if _, err := r.conn.Write(r.rest); err != nil {
		c.Note("rest of the repeat of %s: %v", r.key, err)
	}
	r.response = rig2.ReadResponse(r.conn, 5*time.Second)
	c.Note("repeat of %s: status %d, body %q, %v", r.key, r.response.Status, r.response.Body, r.response.Err)
}

// connectSilent connects clients that say nothing, one after the other, and closes them when stop is closed.
func connectSilent(front string, stop <-chan struct{}) {
	var clients []net.Conn
	for range silent {
		if conn, err := net.DialTimeout("tcp", front, time.Second); err == nil {
			clients = append(clients, conn)
		}
		time.Sleep(time.Millisecond)
	}
	<-stop
	for _, conn := range clients {
		conn.Close()
	}
}
