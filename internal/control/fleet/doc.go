// Package fleet connects a node to the fleet, which is coordinated through the replicated store. A Participant
//
//   - reports the node to the store (report.go);
//   - applies the desired state that the store has for the node (desired_state.go, state_applier.go);
//   - takes the node out of service and back under drain permits (drain.go), and stops sending to upstream servers
//     with a drain permit (upstream_exclusion.go);
//   - runs the fleet's tasks while it holds their leases. Periodic tasks have jobs and steps (periodic_task.go,
//     job_runner.go): marking silent nodes (silent_marks.go) and backups (backup.go). Continuous tasks
//     (leased_loop.go) are granting permits (grant_task.go) and advancing releases (release_task.go).
//
// The decisions are made by packages without I/O: lease, leasedtask, desiredstate, drainpermit, disruption,
// release and canary. Three rules are in this package: when a node counts as silent (failure_detector.go), when a
// periodic task is due (next_job.go), and when a halt is in force on all nodes (halt.go).
//
// No request waits for any of this. While the store is unreachable, a node continues to serve and keeps its state.
package fleet
