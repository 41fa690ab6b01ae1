package runtime

import (
	"testing"
	"time"
)

func TestBackoff(t *testing.T) {
	const ms = time.Millisecond
	b := backoff{initial: 20 * ms, max: 100 * ms, next: 20 * ms}
	for i, c := range []struct {
		lasted  time.Duration
		changed bool
		want    time.Duration
	}{
		{0, false, 20 * ms}, {0, false, 40 * ms}, {0, false, 80 * ms}, {0, false, 100 * ms}, {100 * ms, false, 100 * ms},
		{101 * ms, false, 20 * ms}, {0, false, 40 * ms}, {0, true, 20 * ms}, {0, false, 20 * ms}, {0, false, 40 * ms},
	} {
		if got := b.delay(c.lasted, c.changed); got != c.want {
			t.Errorf("attempt %d: %v, want %v", i, got, c.want)
		}
	}
}

func TestKeepalive(t *testing.T) {
	k := keepalive{readyTimeout: 5 * time.Second, silenceTimeout: time.Second}
	if k.readTimeout(false) != 5*time.Second || k.readTimeout(true) != time.Second {
		t.Error("wrong read timeout: want 5 s before the runtime is ready and 1 s after")
	}
	if k.timedOut(false, false) {
		t.Error("a probe was sent to a runtime that is not ready")
	}
	if !k.timedOut(true, false) || k.timedOut(true, false) {
		t.Error("a silent runtime must be probed exactly once")
	}
	k.received()
	if !k.timedOut(true, true) || !k.timedOut(true, false) {
		t.Error("a runtime that has sent bytes must be probed again")
	}
}
