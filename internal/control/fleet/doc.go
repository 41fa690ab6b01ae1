// Package fleet is a node's part in the fleet, as far as the fleet agrees through the replicated store. A Participant
//
//   - reports the node to the store (report.go);
//   - applies the desired state that the store has for the node (desired_state.go, state_applier.go);
//   - takes the node out of service and back under drain permits (drain.go, upstream_exclusion.go);
//   - runs the fleet's tasks whenever it holds their lease: periodic ones with jobs and steps
//     (periodic_task.go, job_runner.go), which are silent marks (silent_marks.go) and backups (backup.go),
//     and continuous ones (leased_loop.go), which are granting permits (grant_task.go) and advancing releases
//     (release_task.go).
//
// The decisions are made by packages without I/O: lease, leasedtask, desiredstate, drainpermit, disruption,
// release and canary. Three rules are here: failure_detector.go, when a node counts as silent; next_job.go,
// when a periodic task is due; and halt.go, when a halt holds everywhere.
//
// No request waits for any of it. While the store cannot be reached a node serves as before, and keeps the
// state that it has.
package fleet
