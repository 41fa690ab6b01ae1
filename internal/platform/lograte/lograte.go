// Package lograte logs what others can cause at will, at a sane rate.
package lograte

import (
	"log/slog"
	"sync"
	"time"
)

// Logger writes one line in a period and counts what it leaves out.
type Logger struct {
	log   *slog.Logger
	every time.Duration

	mu   sync.Mutex
	last map[string]time.Time
	left map[string]int
}

// New returns a logger that writes a line of each kind once in the period.
func New(log *slog.Logger, every time.Duration) *Logger {
	return &Logger{log: log, every: every, last: map[string]time.Time{}, left: map[string]int{}}
}

// Warn logs a kind of trouble, named by a constant message, with the error it is about.
func (l *Logger) Warn(message string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if last, known := l.last[message]; known && now.Sub(last) < l.every {
		l.left[message]++
		return
	}
	l.log.Warn(message, "error", err, "left_out", l.left[message])
	l.last[message] = now
	l.left[message] = 0
}
