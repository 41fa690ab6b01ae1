// Package emulator simulates a fleet in virtual time: callers with balancers and retries, machines that share their
// cores, and on each machine the daemon's own node and admission controller or a simple policy to compare it with. A
// seed determines the whole course of events; nothing in the package reads the machine's clock or sleeps
// (docs/design/emulator.md).
//
// World describes what is simulated, Run simulates it and Result is the outcome. A request goes through arrivals.go,
// request.go and balancer.go (the caller's side), reader.go and a Server (the node's side), with machine.go and
// dependency.go below. The callers' retry rules are in retry.go; each policy has its own file.
package emulator
