package hostile

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"sloehitch/internal/testing/standin"
)

const (
	memoryMB = 64              // the process's limit
	deadline = 5 * time.Second // of each request
	between  = 20 * time.Millisecond
)

const openAPI = `openapi: 3.0.3
info: {title: visits, version: "1"}
paths:
  /read:
    post:
      responses: {"200": {description: done}}
      x-sloehitch: {class: slot-search, semantics: retryable}
  /book:
    post:
      responses: {"200": {description: done}}
      x-sloehitch: {class: book, semantics: dedup, key: "header:Idempotency-Key"}
`

// buildDaemon builds the program without the race detector, which multiplies its memory. $HOSTILE_BINARY names another build.
func buildDaemon(t *testing.T) string {
	t.Helper()
	if path := os.Getenv("HOSTILE_BINARY"); path != "" {
		return path
	}
	path := filepath.Join(t.TempDir(), "sloehitch")
	if out, err := exec.Command("go", "build", "-o", path, "sloehitch/cmd/sloehitch").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// node is a daemon in a process of its own, with its runtime and its uwsgi server.
type node struct {
	resp, uwsgi string // addresses of the fronts
	runtime     *standin.Runtime
	server      *standin.Server
	process     *exec.Cmd
	log         bytes.Buffer
	ended       chan struct{}

	mu   sync.Mutex
	runs map[string][]time.Time // the starts of runs, by the requests' bodies
}

// run is a run that takes the given time.
func (n *node) run(body string, work time.Duration) {
	n.mu.Lock()
	n.runs[body] = append(n.runs[body], time.Now())
	n.mu.Unlock()
	time.Sleep(work)
}

// startNode starts a daemon on one core. work is what a run takes.
func startNode(t *testing.T, binary string, work time.Duration) *node {
	t.Helper()
	n := &node{resp: standin.FreeAddress(t), uwsgi: standin.FreeAddress(t)}
	n.start(t, binary, work, t.TempDir(), nil)
	standin.WaitFor(t, "the uwsgi front", func() bool {
		c, err := net.Dial("tcp", n.uwsgi)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return n
}

// start starts the process. accept is the clients' listener, as the platform passes it to processes that replace each other; nil: none.
func (n *node) start(t *testing.T, binary string, work time.Duration, shared string, accept *os.File) {
	t.Helper()
	n.ended, n.runs = make(chan struct{}), map[string][]time.Time{}
	n.runtime = standin.NewRuntime(t, func(j *standin.Job) (string, string) { n.run(string(j.Body), work); return "OK", "done" })
	n.server = standin.NewServer(t, func(body string) string {
		n.run(body, work)
		return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	})
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("openapi.yaml", openAPI)
	deploy := write("deploy.toml", "")
	if n.uwsgi != "" {
		deploy = write("deploy.toml", fmt.Sprintf("[uwsgi]\nlisten = %q\nservers = [%q]\nopenapi = \"openapi.yaml\"\nserver_most = 2\nhalf_close = \"leaves\"\n", n.uwsgi, n.server.Address))
	}
	config := write("config.json", standin.Config(n.resp, n.runtime.Address, "", deadline))
	n.process = exec.Command(binary, "serve", "--config", config, "--deploy", deploy)
	n.process.Env, n.process.Stderr = append(os.Environ(), "GOMAXPROCS=1", "TMPDIR="+shared), &n.log
	if accept != nil {
		n.process.ExtraFiles = []*os.File{accept}
		n.process.Env = append(n.process.Env, "GW_ACCEPT_FD=3")
	}
	if err := n.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.process.Wait(); close(n.ended) }()
	t.Cleanup(func() { _ = n.process.Process.Kill(); <-n.ended })
	<-n.runtime.Syncs
}

// peakMB returns the process's peak resident memory.
func (n *node) peakMB(t *testing.T) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v\n%s", err, n.log.String())
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatal(err)
			}
			return float64(kb) / 1024
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// trueClient sends a request each 20 ms, one connection after the other is open, and records the answers.
type trueClient struct {
	latencies  []time.Duration
	rejected   int
	closed     int // connections that had no slot, on which nothing was read (docs/operators/uwsgi.md)
	ended      int // connections that the node had ended before a request was sent on them (docs/design/crossings.md)
	unanswered []string
}

func (c *trueClient) String() string {
	if len(c.latencies) == 0 {
		return fmt.Sprintf("no answers, %d connections without a slot", c.closed)
	}
	slices.Sort(c.latencies)
	return fmt.Sprintf("%d answers, median %.1f ms, latest %.1f ms, %d rejected, %d connections without a slot, %d ended before use, %d unanswered", len(c.latencies),
		milliseconds(c.latencies[len(c.latencies)/2]), milliseconds(c.latencies[len(c.latencies)-1]), c.rejected, c.closed, c.ended, len(c.unanswered))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// record adds the outcome of one request. err is that of the connection.
func (c *trueClient) record(id, answer string, took time.Duration, err error) {
	switch answer {
	case "ACK", "200":
	case "NAK", "503":
		c.rejected++
	default:
		c.unanswered = append(c.unanswered, fmt.Sprintf("%s: %q after %v, %v", id, answer, took, err))
		return
	}
	c.latencies = append(c.latencies, took)
}

// runResp sends requests over the platform's protocol until stop is closed.
func (c *trueClient) runResp(n *node, stop <-chan struct{}) {
	var conn net.Conn
	var in *redcon.Reader
	for i := 1; !stopped(stop); i++ {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", n.resp); err != nil {
				c.record("dial", "", 0, err)
				return
			}
			in = redcon.NewReader(conn)
		}
		if hasEnded(conn) { // a balancer sends nothing on such a connection either
			c.ended++
			conn.Close()
			conn = nil
			continue
		}
		id, began := fmt.Sprintf("aa%014x", i), time.Now()
		_ = conn.SetDeadline(began.Add(2 * deadline))
		_, err := io.WriteString(conn, standin.Do(i, "slot-search", id, began, "true", ""))
		answer, closing := "", false
		for err == nil && answer == "" {
			var m redcon.Command
			if m, err = in.ReadCommand(); err == nil && len(m.Args) > 1 {
				if string(m.Args[0]) == strconv.Itoa(i) {
					answer = string(m.Args[1])
				} else {
					closing = true // asked to close the connection
				}
			}
		}
		c.record(id, answer, time.Since(began), err)
		if err != nil || closing {
			conn.Close()
			conn = nil
		}
		time.Sleep(between)
	}
}

// hasEnded reports whether the peer has closed the connection, without reading from it.
func hasEnded(conn net.Conn) (ended bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		n, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && !errors.Is(err, syscall.EAGAIN)
	})
	return ended || controlErr != nil
}

// runUwsgi sends requests over uwsgi until stop is closed. A connection that is closed without a byte had no slot.
func (c *trueClient) runUwsgi(t *testing.T, n *node, stop <-chan struct{}) {
	request := uwsgiPacket(t, "/read", "")
	for i := 1; !stopped(stop); i++ {
		began := time.Now()
		response, err := exchange(n.uwsgi, request)
		if len(response) > 0 || err != nil {
			status := ""
			if fields := strings.Fields(response); len(fields) > 1 {
				status = fields[1]
			}
			c.record(fmt.Sprint("uwsgi ", i), status, time.Since(began), err)
		} else {
			c.closed++
		}
		time.Sleep(between)
	}
}

func uwsgiPacket(t *testing.T, path, body string, more ...[2]string) string {
	vars := [][2]string{{"REQUEST_METHOD", "POST"}, {"PATH_INFO", path}, {"CONTENT_LENGTH", strconv.Itoa(len(body))}}
	return standin.Packet(t, body, append(vars, more...)...)
}

// exchange sends a request on a new connection and returns all that is received.
func exchange(address, request string) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * deadline))
	if _, err := io.WriteString(conn, request); err != nil {
		return "", nil // closed before the request was read
	}
	response, err := io.ReadAll(conn)
	if len(response) == 0 && err != nil && !os.IsTimeout(err) {
		err = nil // the same, by a reset
	}
	return string(response), err
}

func stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// crowd runs workers until stop is closed.
func crowd(workers int, stop <-chan struct{}, work func(worker int)) {
	var wg sync.WaitGroup
	for i := range workers {
		wg.Go(func() {
			for !stopped(stop) {
				work(i)
			}
		})
	}
	wg.Wait()
}
