// Package lograte logs what others can cause at will, at a sane rate.
package lograte

import (
	"log/slog"
	"sync"
	"time"
)

// Logger writes one line in a period and counts what it leaves out.
type Logger struct {
	log      *slog.Logger
	interval time.Duration

	mu         sync.Mutex
	lastLogged map[string]time.Time
	suppressed map[string]int
}

// New returns a logger that writes a line of each kind once in the period.
func New(log *slog.Logger, every time.Duration) *Logger {
	return &Logger{log: log, interval: every, lastLogged: map[string]time.Time{}, suppressed: map[string]int{}}
}

// Warn logs a kind of trouble, named by a constant message, with the error it is about.
func (l *Logger) Warn(message string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if last, known := l.lastLogged[message]; known && now.Sub(last) < l.interval {
		l.suppressed[message]++
		return
	}
	l.log.Warn(message, "error", err, "left_out", l.suppressed[message])
	l.lastLogged[message] = now
	l.suppressed[message] = 0
}
