package daemon

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sloehitch/internal/testing/standin"
)

// semanticsChange is a reload that gives the class other semantics. They may be in force from sentAt, and are from appliedAt.
type semanticsChange struct {
	semantics         string
	sentAt, appliedAt time.Time
}

// semanticsHistory is the semantics of a class over time, as far as a test can know them.
type semanticsHistory struct {
	mu      sync.Mutex
	changes []semanticsChange
}

func (h *semanticsHistory) add(c semanticsChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// begin records that a reload is about to be sent; end records that it was applied.
func (h *semanticsHistory) begin(semantics string) {
	h.add(semanticsChange{semantics: semantics, sentAt: time.Now()})
}

func (h *semanticsHistory) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes[len(h.changes)-1].appliedAt = time.Now()
}

// possible reports whether the semantics may have been in force at some time from from to to.
func (h *semanticsHistory) possible(semantics string, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, c := range h.changes {
		replaced := i+1 < len(h.changes) && !h.changes[i+1].appliedAt.IsZero() && h.changes[i+1].appliedAt.Before(from)
		if c.semantics == semantics && !c.sentAt.After(to) && !replaced {
			return true
		}
	}
	return false
}

// only reports whether no other semantics can have been in force from from to to.
func (h *semanticsHistory) only(semantics string, from, to time.Time) bool {
	return !slices.ContainsFunc(loadSemantics, func(other string) bool { return other != semantics && h.possible(other, from, to) })
}

// What a play has at least.
const (
	minPlay     = 3 * time.Second
	minRequests = 100
)

// loadSemantics are the semantics that the class of the test takes in turn.
var loadSemantics = []string{"retryable", "fragile", "dedup"}

// loadRequest is one request of the test, which has a body and an idempotency key of its own.
type loadRequest struct {
	body   string
	sentAt time.Time
	repeat bool // the client has sent it again
}

// reloadLoad is a load on both fronts of a node whose class changes its semantics, while servers and the runtime break off.
type reloadLoad struct {
	history  semanticsHistory
	finished atomic.Bool

	mu       sync.Mutex
	rng      *rand.Rand
	runs     map[string][]time.Time // when each run of a body began
	requests []loadRequest
	answers  map[string]int // by status
}

// run records a run and returns how long it takes and whether it breaks off.
func (l *reloadLoad) run(body string) (takes time.Duration, breaksOff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[body] = append(l.runs[body], time.Now())
	return time.Duration(l.rng.IntN(30)) * time.Millisecond, l.rng.IntN(2) == 0
}

func (l *reloadLoad) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.IntN(n)
}

// firstRun returns when a body's first run began.
func (l *reloadLoad) firstRun(body string) (at time.Time, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs[body]) == 0 {
		return at, false
	}
	return l.runs[body][0], true
}

// answered records an answer. It reports whether the request was certainly read as keyed, and ran: then a repeat must not run.
func (l *reloadLoad) answered(q *loadRequest, status string) (repeat bool) {
	l.mu.Lock()
	l.answers[status]++
	l.mu.Unlock()
	at, ran := l.firstRun(q.body)
	return ran && l.history.only("dedup", q.sentAt, at)
}

func (l *reloadLoad) done(q loadRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, q)
}

// secondRuns returns how many runs there were in addition to the first ones.
func (l *reloadLoad) secondRuns() (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		n += len(runs) - 1
	}
	return n
}

// showsEnough reports whether the play has lasted long enough, and had enough requests and second runs for a check of them to mean
// something. A slow machine takes longer.
func (l *reloadLoad) showsEnough(startedAt time.Time) bool {
	l.mu.Lock()
	requests := len(l.requests)
	l.mu.Unlock()
	return time.Since(startedAt) >= minPlay && requests >= minRequests && l.secondRuns() > 0
}

// violations returns the requests that ran more often than the stricter of the semantics as read and in force allowed, in any order of
// events that agrees with what was seen.
func (l *reloadLoad) violations() (found []string) {
	for _, q := range l.requests {
		runs := l.runs[q.body]
		for i := 1; i < len(runs); i++ {
			switch {
			case q.repeat:
				found = append(found, fmt.Sprintf("%s: keyed, repeated by its client, ran %d times", q.body, len(runs)))
			case !l.history.possible("retryable", q.sentAt, runs[0]):
				found = append(found, q.body+": was not read as retryable and ran again")
			case !l.history.possible("retryable", runs[i-1], runs[i]):
				found = append(found, q.body+": was not retryable any more and ran again")
			}
		}
	}
	return found
}

// sendOverUwsgi is one client of the uwsgi front.
func (l *reloadLoad) sendOverUwsgi(r *reloadRig, client int) {
	for i := 0; !l.finished.Load(); i++ {
		q := loadRequest{body: fmt.Sprintf("u%d-%d", client, i), sentAt: time.Now()}
		status := <-r.post("/book", q.body, rigKey(q.body))
		if q.repeat = l.answered(&q, status); q.repeat {
			l.answered(&q, <-r.post("/book", q.body, rigKey(q.body)))
		}
		l.done(q)
	}
}

// sendOverRESP is one balancer, which sends one request at a time.
func (l *reloadLoad) sendOverRESP(t *testing.T, r *reloadRig, balancer int) {
	b := standin.Dial(t, r.address)
	defer b.Close()
	attempts := 0
	ask := func(body string) string {
		attempts++
		id := balancer<<24 | attempts
		b.Do(attempts, "book", standin.RequestID(id), time.Now(), body, ",opkey="+body)
		answer := b.Read()
		if len(answer) < 2 || answer[0] != strconv.Itoa(attempts) {
			t.Errorf("answer %q to attempt %d", answer, attempts)
			return ""
		}
		return answer[1]
	}
	for i := 0; !l.finished.Load() && !t.Failed(); i++ {
		q := loadRequest{body: fmt.Sprintf("r%d-%d", balancer, i), sentAt: time.Now()}
		status := ask(q.body)
		if q.repeat = l.answered(&q, status); q.repeat {
			l.answered(&q, ask(q.body))
		}
		l.done(q)
	}
}

// loadFiles returns the files with the given semantics. The description always names the key, as operators are told to.
func loadFiles(semantics string) rigFiles {
	files := oneClass(semantics, `, key: "header:Idempotency-Key"`)
	files.classes = strings.Replace(files.classes, `"hard-limit":60000000`, `"hard-limit":3000000`, 1)
	return files
}

// newLoadServers returns uwsgi servers that take the load's requests.
func (l *reloadLoad) newLoadServers(t *testing.T) (addresses []string) {
	for range 2 {
		server := standin.NewServer(t, func(body string) string {
			takes, breaksOff := l.run(body)
			time.Sleep(takes)
			if breaksOff {
				return ""
			}
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		})
		addresses = append(addresses, server.Address)
	}
	return addresses
}

// TestReloadsUnderLoadKeepStricterSemantics changes the semantics of a class again and again, with requests in flight on both fronts, while
// uwsgi servers and the runtime's link break off. It guards against a request that runs more often than allowed by the semantics under
// which it was read, or by those in force, whatever the order.
func TestReloadsUnderLoadKeepStricterSemantics(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			l := &reloadLoad{rng: rand.New(rand.NewPCG(seed, 64)), runs: map[string][]time.Time{}, answers: map[string]int{}}
			rt := standin.NewRuntime(t, func(j *standin.Job) (string, string) {
				takes, _ := l.run(string(j.Body))
				time.Sleep(takes)
				return "OK", "ok"
			})
			go func() { // nobody waits for the positions that the link resumes from
				for range rt.Syncs {
				}
			}()
			l.history.add(semanticsChange{semantics: "retryable"})
			r := serveFiles(t, loadFiles("retryable"), rt.Address, l.newLoadServers(t)...)
			startedAt := time.Now()
			var clients sync.WaitGroup
			for client := range 8 {
				clients.Add(2)
				go func() { defer clients.Done(); l.sendOverUwsgi(r, client) }()
				go func() { defer clients.Done(); l.sendOverRESP(t, r, client+1) }()
			}
			for i := 0; !l.showsEnough(startedAt) && time.Since(startedAt) < standin.WaitTimeout; i++ {
				time.Sleep(time.Duration(20+l.intN(100)) * time.Millisecond)
				next := loadSemantics[l.intN(len(loadSemantics))]
				l.history.begin(next)
				if !r.reload(loadFiles(next)) {
					t.Error("the files were rejected")
				}
				l.history.end()
				if i%3 == 0 {
					rt.Disconnect()
				}
			}
			shown := l.showsEnough(startedAt)
			l.finished.Store(true)
			clients.Wait()
			for _, v := range l.violations() {
				t.Error(v)
			}
			t.Logf("%d requests, %d second runs, %d reloads, answers %v", len(l.requests), l.secondRuns(), len(l.history.changes), l.answers)
			if !shown {
				t.Error("the play has too few requests, or no second run at all, to show anything")
			}
		})
	}
}
