package logic

import "testing"

func TestQueuedRequestThatCannotMeetD2IsRejected(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 500*ms)
	d.step(0, arrival(2, 0, 3000*ms), arrival(3, 0, 3000*ms), arrival(4, 0, 3000*ms))
	// Requests 2 and 3 occupy both cores. Request 4 waits until a run of 500 ms would end after D2.
	busy := timerEvent()
	busy.Gauges.RunQueueLength = 5
	d.wantNoAction(d.step(10*ms, busy), ActionRun, 4)
	var rejected *Action
	for range 100 {
		if rejected = findAction(d.step(8*ms, busy), ActionReject, 4); rejected != nil {
			break
		}
	}
	if rejected == nil {
		t.Fatal("request 4 was not rejected although it can't meet D2")
	}
	if d.now-5500*ms < Micros(minQueueTimeShare*1000)*ms {
		t.Error("request 4 was rejected before it was queued for minQueueTimeShare of the objective")
	}
}

func TestSlowServerRejectsButAllowsFailover(t *testing.T) {
	d := newDriver(t, testSettings())
	d.completeRun(1, 0, 100*ms)
	d.arriveWhileReading(100, 600*ms, 2)
	d.s.rejectedShare.Mean = 0.95
	late := arrival(500, 0, 3000*ms)
	late.Arrival.Age = 990 * ms // of an objective of 1 s
	out := d.step(4*ms, late)
	rejected := findAction(out, ActionReject, 500)
	if rejected == nil {
		t.Fatal("a request read 0.99 s after its arrival was not rejected at once")
	}
	if rejected.Duration != d.s.cfg.MaxRetryAfter || rejected.NoFailover {
		t.Errorf("Retry-After %v, no failover %v; want the longest, and failover allowed", rejected.Duration, rejected.NoFailover)
	}
}

func TestRetriesShowThatOtherServersRejectToo(t *testing.T) {
	futileAfterArrivals := func(retries bool, rejectedShare float64) bool {
		d := newDriver(t, testSettings())
		for id := RequestID(1); id <= 40; id++ {
			ev := arrival(id, 0, 3000*ms)
			ev.Arrival.Retry = retries && id%3 == 0
			d.step(4*ms, ev)
		}
		d.s.rejectedShare.Mean = rejectedShare
		return d.s.failoverFutile()
	}
	for _, c := range []struct {
		retries       bool
		rejectedShare float64
		want          bool
	}{{true, 0.2, false}, {true, 0.4, true}, {false, 0.4, false}, {false, 0.7, true}} {
		if got := futileAfterArrivals(c.retries, c.rejectedShare); got != c.want {
			t.Errorf("retries %v, rejected share %v: failover futile: %v", c.retries, c.rejectedShare, got)
		}
	}
}

func TestUnreadRequestsCountInRetryAfter(t *testing.T) {
	retryAfterWithAge := func(age Micros) Micros {
		d := newDriver(t, testSettings())
		for id := RequestID(1); id <= 30; id++ {
			ev := arrival(id, 0, 3000*ms)
			ev.Arrival.Age = age
			d.step(4*ms, ev, Event{Kind: EventCanceled, ID: id - 1})
		}
		return d.s.retryAfter()
	}
	if readAtOnce, readLate := retryAfterWithAge(0), retryAfterWithAge(400*ms); readLate < readAtOnce+50*ms {
		t.Errorf("Retry-After %v with requests read after 0.4 s, %v if read at once; want 50 ms more", readLate, readAtOnce)
	}
}
