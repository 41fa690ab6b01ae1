package store

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sloehitch/internal/control/lease"
)

// BenchmarkChanges measures changes by concurrent writers through the leader, on disk. A change is either an operators'
// value, or a transaction with a task's token as its condition.
func BenchmarkChanges(b *testing.B) {
	for _, members := range []int{1, 3, 5} {
		for _, writers := range []int{1, 16, 64} {
			for _, kind := range []string{"set", "transaction"} {
				b.Run(fmt.Sprintf("%s/%d members/%d writers", kind, members, writers), func(b *testing.B) {
					cluster := newClusterOn(b, members, lease.Terms{}, b.TempDir)
					s := cluster.stores[cluster.awaitLeader(b).Name]
					waitFor(b, "a lease", func() bool {
						_, err := s.RequestLease("d", LeaseRequest{Action: LeaseAcquire, Holder: "b"})
						return err == nil
					})
					token := s.documents.Leases().Get("d").Token
					var next atomic.Int64
					var mu sync.Mutex
					var durations []time.Duration
					var wg sync.WaitGroup
					b.ResetTimer()
					for range writers {
						wg.Add(1)
						go func() {
							defer wg.Done()
							for {
								i := next.Add(1)
								if i > int64(b.N) {
									return
								}
								began := time.Now()
								var err error
								if kind == "set" {
									err = s.Set(KeyClosedNodes, fmt.Sprint("n", i))
								} else {
									t := tx(fmt.Sprint("t", i), fmt.Sprint("k", i%100), "a value")
									t.Conditions = append(t.Conditions, underToken("d", token))
									_, err = s.Commit(t)
								}
								if err != nil {
									b.Error(err)
									return
								}
								mu.Lock()
								durations = append(durations, time.Since(began))
								mu.Unlock()
							}
						}()
					}
					wg.Wait()
					b.StopTimer()
					slices.Sort(durations)
					b.ReportMetric(float64(len(durations))/b.Elapsed().Seconds(), "changes/s")
					b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds())/1000, "p99-ms")
				})
			}
		}
	}
}
