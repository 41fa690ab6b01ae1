// Package hostile plays clients that misbehave beside a true one against the daemon in a process of its own, on both fronts, and judges
// the process's peak memory by its limit, the true client's answers by their deadline, and the runs of each request. It has only tests.
package hostile
