// Package lograte limits the rate of log lines that a peer can provoke at will.
package lograte

import (
	"log/slog"
	"sync"
	"time"
)

// Logger writes one line of each message in an interval and counts those that it leaves out. Its methods may
// be called from any goroutine.
type Logger struct {
	log      *slog.Logger
	interval time.Duration

	mu         sync.Mutex
	lastLogged map[string]time.Time
	suppressed map[string]int // since the last line, by message
}

// New returns a logger that writes at most one line of each message in an interval.
func New(log *slog.Logger, interval time.Duration) *Logger {
	return &Logger{log: log, interval: interval, lastLogged: map[string]time.Time{}, suppressed: map[string]int{}}
}

// Warn logs a message with the error that it is about, unless the same message was logged within the
// interval. The message must be a constant: each one is counted by itself, for good.
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
