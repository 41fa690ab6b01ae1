package lograte

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"
)

func TestWarnOncePerInterval(t *testing.T) {
	for _, c := range []struct {
		interval time.Duration
		lines    int
	}{{time.Hour, 2}, {0, 10}} {
		var out bytes.Buffer
		l := New(slog.New(slog.NewTextHandler(&out, nil)), c.interval)
		for range 5 {
			l.Warn("one", errors.New("x"))
			l.Warn("other", errors.New("y"))
		}
		if got := strings.Count(out.String(), "\n"); got != c.lines {
			t.Errorf("every %v: %d lines, want %d", c.interval, got, c.lines)
		}
	}
}
