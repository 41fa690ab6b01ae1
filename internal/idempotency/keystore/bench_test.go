package keystore

import (
	"fmt"
	"testing"
	"time"

	"sloehitch/internal/platform/limits"
)

// BenchmarkClaim measures a claim with its result, while another process holds the given number of keys.
func BenchmarkClaim(b *testing.B) {
	for _, keys := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			dir, now := b.TempDir(), &clock{now: start}
			room := func(l *limits.KeyStore) { l.TotalBytes, l.SegmentBytes = 1<<30, 4<<20 }
			other, c := open(b, dir, now.Now, room), open(b, dir, now.Now, room)
			for i := range keys {
				k := runRecord(fmt.Sprint("other", i))
				if err := recordStart(b, other, k); err != nil {
					b.Fatal(err)
				}
				k.Ended, k.Succeeded, k.ResultStored, k.Result = true, true, true, make([]byte, 200)
				other.RecordEnd(k)
			}
			awaitSweep(b, other)
			awaitSweep(b, c)
			b.ResetTimer()
			for i := range b.N {
				k := runRecord(fmt.Sprint("own", i))
				if _, held := c.Lookup(k); held {
					b.Fatal("held")
				}
				if err := recordStart(b, c, k); err != nil {
					b.Fatal(err)
				}
				k.Ended, k.Succeeded, k.ResultStored, k.Result = true, true, true, make([]byte, 200)
				c.RecordEnd(k)
			}
			b.StopTimer()
			awaitSweep(b, c)
			began := time.Now()
			awaitSweep(b, c)
			b.ReportMetric(float64(time.Since(began).Microseconds()), "us/sweep")
		})
	}
}
