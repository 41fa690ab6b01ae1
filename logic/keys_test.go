package logic

import "testing"

func keyedRepeat(id, original RequestID) Event {
	ev := arrival(id, 1, 3000*ms)
	ev.Arrival.OriginalID = original
	return ev
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	d := newDriver(t, testSettings())
	out := d.step(0, arrival(1, 1, 3000*ms))
	stored := d.wantAction(out, ActionStoreKey, 1)
	if window := d.s.cfg.Classes[1].IdempotencyWindow; stored.Duration < window {
		t.Errorf("key entry is stored for %v µs, less than the window of %v", stored.Duration, window)
	}
	d.wantAction(out, ActionRun, 1)
	d.wantAction(d.step(0, keyedRepeat(2, 1)), ActionCoalesce, 2)
	d.step(100*ms, runEnded(1, OutcomeOK, 100*ms), runEnded(2, OutcomeOK, 100*ms))
	out = d.step(10*ms, keyedRepeat(3, 1))
	d.wantAction(out, ActionCoalesce, 3)
	d.wantNoAction(out, ActionReject, 3)
}

func TestRepeatTakesPlaceOfQueuedOriginal(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 2, 3000*ms), arrival(2, 2, 3000*ms), arrival(3, 1, 3000*ms))
	d.step(0, arrival(4, 1, 3000*ms))
	queued := RequestID(4)
	if d.s.byID[3].state == 0 {
		queued = 3
	}
	out := d.step(4*ms, keyedRepeat(9, queued))
	d.wantAction(out, ActionReject, queued)
	d.wantNoAction(out, ActionDeleteKey, queued)
	d.wantAction(out, ActionStoreKey, 9)
	d.wantNoAction(out, ActionCoalesce, 9)
}

func TestKeyedRequestWithoutMemoryForKeyIsNotRun(t *testing.T) {
	cfg := testSettings()
	cfg.KeyEntryKB = cfg.MemoryKB
	d := newDriver(t, cfg)
	out := d.step(0, arrival(1, 1, 3000*ms))
	d.wantNoAction(out, ActionStoreKey, 1)
	d.wantNoAction(out, ActionRun, 1)
}

func TestExpiredKeysFreeMemory(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 1, 3000*ms))
	d.step(100*ms, runEnded(1, OutcomeOK, 100*ms))
	if n := len(d.s.keyExpiries); n != 1 {
		t.Fatalf("%d key entries, want 1", n)
	}
	d.step(d.s.cfg.Classes[1].IdempotencyWindow+100*ms, timerEvent())
	if used := d.s.memoryInUse(); used != 0 {
		t.Errorf("%v kB in use after the key has expired, want 0", used)
	}
}

func TestDeletedKeysFreeMemory(t *testing.T) {
	d := newDriver(t, testSettings())
	d.step(0, arrival(1, 2, 9000*ms), arrival(2, 2, 9000*ms))
	first := d.step(0, arrival(3, 1, 400*ms))
	d.wantAction(first, ActionStoreKey, 3)
	d.step(0, arrival(4, 1, 9000*ms))
	var out []Action
	for range 50 {
		out = append(out, d.step(10*ms, timerEvent())...)
	}
	if findAction(out, ActionRun, 3) != nil {
		t.Fatal("request 3 ran, so its key is not deleted")
	}
	d.wantAction(out, ActionDeleteKey, 3)
	want := d.s.byID[4].keyExpiresAt
	if keys := d.s.keyExpiries; len(keys) != 1 || keys[0] != want {
		t.Errorf("key expiries %v after the deletion, want only %v", keys, want)
	}
}
