// Package logic is the admission controller of one server process. It decides which requests run, wait, are
// rejected or fail, which calls to the dependency are made, and which load and health signals are published.
//
// It is a state machine without I/O, clock, goroutines or randomness. A host creates one Server for each
// process with New, passes events and the current time to Server.Step, and carries out the actions that Step
// returns. The same settings and events give the same actions. A Server is not safe for concurrent use.
//
// The design is front-end flow management (FEFM): J. Sun, J. Hu, R. Tian and B. Yang, "Flow Management for
// SIP Application Servers", IBM Research Report, section II. An arriving request waits in the new-request
// queue, and moves to the old-request queue once it can no longer meet its latency objective. A free run slot
// goes to the request with the highest priority weight per core time, provided that its wait so far plus its
// expected run time meets the bound of its queue. Requests that can't meet any bound are rejected with a
// Retry-After.
//
// Server.Step handles the events and then applies the rules in a fixed order. Each rule is implemented in one
// file, which documents its inputs, formula, source and constants. Terms shared by the rules, with times in
// microseconds:
//
//	T_m                expected run time of a request (estimate.go)
//	D1, D2             bounds of the new-request and the old-request queue: points in time before which
//	                   a queued request must be expected to end (admission.go)
//	new-request queue  queued requests that have always been able to meet D1
//	old-request queue  queued requests that at some time could not meet D1; they start while they meet D2
//	call delay         time that a request's call waits for the call budget (callbudget.go)
//
// The files:
//
//	logic.go       the state machine: events, steps, life cycle of a request
//	queue.go       order of the queue: new before old, then by weight per core time
//	shedding.go    rejecting and failing requests, Retry-After and failover advice
//	deadline.go    answering requests before their deadline or before the process is killed
//	memory.go      memory bound: what may start, what is rejected
//	admission.go   bounds D1 and D2: which queued request starts next
//	limit.go       limit on concurrent runs
//	estimate.go    expected run time of a request
//	attempts.go    time that a request spent in earlier attempts
//	quota.go       quotas of tenants
//	keys.go        idempotency keys and coalescing of repeated attempts
//	calls.go       calls to the dependency: outcome, retry, skipping
//	callbudget.go  calls to the dependency: concurrency budget, pace, timeout
//	reading.go     requests that have arrived but are not read yet
//	health.go      detection of stalls and faults, probes
//	drain.go       drain before a shutdown
//	signal.go      health and load signals to callers
//	idletimeout.go idle timeout of connections
//
// The other files contain no rules: api.go declares the interface, configure.go creates and reconfigures a
// Server, request.go holds the table of requests, and learned.go exports and restores learned averages.
package logic
