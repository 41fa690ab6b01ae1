package logic

import "testing"

func keyedRepeat(id, forerunner RequestID) Event {
	ev := arrival(id, 1, 3000*ms)
	ev.Arrival.OriginalID = forerunner
	return ev
}

func TestKeyedRunsOnce(t *testing.T) {
	d := drive(t, testSettings())
	out := d.step(0, arrival(1, 1, 3000*ms))
	keep := d.want(out, ActionStoreKey, 1)
	if window := d.s.cfg.Classes[1].IdempotencyWindow; keep.Duration < window {
		t.Errorf("key entry is stored for %v µs, less than the window of %v", keep.Duration, window)
	}
	d.want(out, ActionRun, 1)
	d.want(d.step(0, keyedRepeat(2, 1)), ActionCoalesce, 2)
	d.step(100*ms, done(1, OutcomeOK, 100*ms), done(2, OutcomeOK, 100*ms))
	out = d.step(10*ms, keyedRepeat(3, 1))
	d.want(out, ActionCoalesce, 3)
	d.wantNone(out, ActionReject, 3)
}

func TestRepeatTakesPlaceOfQueuedOriginal(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 3000*ms), arrival(2, 2, 3000*ms), arrival(3, 1, 3000*ms))
	d.step(0, arrival(4, 1, 3000*ms))
	queued := RequestID(4)
	if d.s.byID[3].state == 0 {
		queued = 3
	}
	out := d.step(4*ms, keyedRepeat(9, queued))
	d.want(out, ActionReject, queued)
	d.wantNone(out, ActionDeleteKey, queued)
	d.want(out, ActionStoreKey, 9)
	d.wantNone(out, ActionCoalesce, 9)
}

func TestFullKeyTableRunsNoKeyedRequest(t *testing.T) {
	cfg := testSettings()
	cfg.KeyEntryKB = cfg.MemoryKB
	d := drive(t, cfg)
	out := d.step(0, arrival(1, 1, 3000*ms))
	d.wantNone(out, ActionStoreKey, 1)
	d.wantNone(out, ActionRun, 1)
}

func TestExpiredKeysFreeMemory(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 1, 3000*ms))
	d.step(100*ms, done(1, OutcomeOK, 100*ms))
	if n := len(d.s.keyExpiries); n != 1 {
		t.Fatalf("%d key entries, want 1", n)
	}
	d.step(d.s.cfg.Classes[1].IdempotencyWindow+100*ms, tick())
	if used := d.s.memoryInUse(); used != 0 {
		t.Errorf("%v kB in use after the key has expired, want 0", used)
	}
}

func TestDeletedKeysFreeMemory(t *testing.T) {
	d := drive(t, testSettings())
	d.step(0, arrival(1, 2, 9000*ms), arrival(2, 2, 9000*ms))
	first := d.step(0, arrival(3, 1, 400*ms))
	d.want(first, ActionStoreKey, 3)
	d.step(0, arrival(4, 1, 9000*ms))
	var out []Action
	for range 50 {
		out = append(out, d.step(10*ms, tick())...)
	}
	if find(out, ActionRun, 3) != nil {
		t.Fatal("request 3 ran, so its key is not deleted")
	}
	d.want(out, ActionDeleteKey, 3)
	want := d.s.byID[4].keyExpiresAt
	if keys := d.s.keyExpiries; len(keys) != 1 || keys[0] != want {
		t.Errorf("key expiries %v after the deletion, want only %v", keys, want)
	}
}
