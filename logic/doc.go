// Package logic is the admission controller of one server process. It decides which requests run, wait, are
// rejected or fail, which calls to the dependency are made, and what callers and health checks are told.
//
// It is a state machine without I/O, clock, goroutines or randomness. A host creates one Server for each
// process with New, passes what happened to Server.Step together with the current time, and carries out the
// actions that Step returns. The same settings and events give the same actions. A Server is not safe for
// concurrent use.
//
// The design is front-end flow management (FEFM): J. Sun, J. Hu, R. Tian and B. Yang, "Flow Management for
// SIP Application Servers", IBM Research Report, section II. An arriving request waits in the new-request
// queue, and in the old-request queue once it can no longer meet its latency objective. A free run slot goes
// to the request with the highest priority weight for its core time, provided that its wait so far and the
// run time expected of it meet the bound of its queue. Requests that can't meet any bound are rejected, with
// a Retry-After.
//
// A step handles the events and then applies the rules in this order (Server.Step). Each rule stands in one
// file, with its inputs, formula, source and constants. The terms that they share, with
// times in microseconds:
//
//	T_m                a request's expected run time (estimate.go)
//	D1, D2             bounds of the new-request and the old-request queue: points in time before which
//	                   a request of the queue must be expected to end (admission.go)
//	new-request queue  queued requests that can still meet D1
//	old-request queue  queued requests that could not meet D1 at some time; started while they meet D2
//	call delay         time that a request's call waits for the budget (callbudget.go)
//
// The files:
//
//	logic.go       the state machine: events, steps, life of a request
//	queue.go       order of the queue: new before old, then by weight for core time
//	shedding.go    rejecting and failing requests, advice to callers that are rejected
//	deadline.go    answering requests before their deadline or before the process is killed
//	memory.go      memory bound: what may start, what is rejected
//	admission.go   bounds D1 and D2: which queued request starts next
//	limit.go       limit on concurrent runs
//	estimate.go    expected run time of a request
//	attempts.go    time that a request spent in earlier attempts
//	quota.go       quotas of tenants
//	keys.go        idempotency keys and coalescing of repeats
//	calls.go       calls to the dependency: outcome, retry, skipping
//	callbudget.go  calls to the dependency: concurrency budget, pace, timeout
//	reading.go     requests that arrived and are not read yet
//	health.go      detection of stalls and faults, probes
//	drain.go       drain before a shutdown
//	signal.go      health and load signal that callers see
//	idletimeout.go idle timeout of connections
//
// The other files decide nothing: api.go holds the interface, configure.go creates and reconfigures a Server,
// request.go holds the table of requests, and learned.go hands averages from one process to the next.
package logic
