// Package lograte limits the rate of log lines that peers can trigger.
package lograte

import (
	"log/slog"
	"sync"
	"time"
)

// Logger writes at most one line per message and interval and counts the suppressed ones. It is safe for concurrent use.
type Logger struct {
	log      *slog.Logger
	interval time.Duration

	mu         sync.Mutex
	lastLogged map[string]time.Time
	suppressed map[string]int // by message, since its last line
}

// New returns a logger that writes at most one line per message and interval.
func New(log *slog.Logger, interval time.Duration) *Logger {
	return &Logger{log: log, interval: interval, lastLogged: map[string]time.Time{}, suppressed: map[string]int{}}
}

// Warn logs a message with an error, unless the same message was logged within the interval. The message must be a constant, since
// an entry for each distinct message is kept forever.
func (l *Logger) Warn(message string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if last, known := l.lastLogged[message]; known && now.Sub(last) < l.interval {
		l.suppressed[message]++
		return
	}
	l.log.Warn(message, "error", err, "suppressed", l.suppressed[message])
	l.lastLogged[message] = now
	l.suppressed[message] = 0
}
