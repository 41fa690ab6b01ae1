// Package emulator simulates a fleet in virtual time: callers with balancers and retries, machines that share their
// cores, and on each machine the daemon's own node and admission controller or a simple policy to compare it with. The
// seed determines the whole simulation; nothing in the package reads the machine's clock or sleeps
// (docs/design/emulator.md).
//
// World describes what is simulated, Run simulates it and Result is the outcome. A request passes through arrivals.go,
// request.go and balancer.go on the caller's side, and through reader.go and a Server on the node's side, which uses
// machine.go and dependency.go. The callers' retry rules are in retry.go, and the policies are listed in policy.go.
package emulator
