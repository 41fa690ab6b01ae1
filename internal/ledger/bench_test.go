package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sloehitch/internal/ledger/disk"
	"sloehitch/internal/ledger/format"
	"sloehitch/internal/platform/limits"
)

// benchDir creates a folder for a benchmark in SLOEHITCH_BENCH_DIR, or in the system's folder for temporary files. The results
// depend on which disk that is. The command and the results are in docs/operators/ledger.md.
func benchDir(b *testing.B) disk.Dir {
	dir, err := os.MkdirTemp(os.Getenv("SLOEHITCH_BENCH_DIR"), "ledger")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(dir) })
	return disk.Dir(dir)
}

const benchValue = 120 // bytes, about the size of a run record

func benchKey(i int) []byte { return fmt.Appendf(nil, "%032x", uint64(i)*0x9e3779b97f4a7c15) }

// BenchmarkFlush measures the lower bound that the machine sets: appending n records and flushing them, nothing else.
func BenchmarkFlush(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f, err := benchDir(b).Create("flush")
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			buf := make([]byte, n*(format.RecordHeaderSize+32+benchValue)+format.GroupRecordSize)
			off := int64(0)
			for b.Loop() {
				if _, err := f.WriteAt(buf, off); err != nil {
					b.Fatal(err)
				}
				if err := f.Sync(); err != nil {
					b.Fatal(err)
				}
				off += int64(len(buf))
			}
			b.ReportMetric(float64(b.N*n)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkPut measures n concurrent writers, each of which puts one record after the other.
func BenchmarkPut(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchPut(b, benchDir(b), n) })
	}
}

func benchPut(b *testing.B, fs disk.FS, writers int) {
	s := mustOpen(b, fs, Options{Limits: limits.ForLedger(1 << 30)})
	value := make([]byte, benchValue)
	var next atomic.Int64
	var wait sync.WaitGroup
	b.ResetTimer()
	for range writers {
		wait.Go(func() {
			for {
				i := next.Add(1)
				if i > int64(b.N) {
					return
				}
				if err := s.Put(benchKey(int(i)), value, time.Time{}); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "puts/s")
	b.ReportMetric(float64(b.N)/float64(s.Stats().Groups), "puts/flush")
}

// slowDisk is a disk with a slower flush, as on most machines.
type slowDisk struct{ disk.FS }

type slowFile struct{ disk.File }

func (d slowDisk) Create(name string) (disk.File, error) {
	f, err := d.FS.Create(name)
	return slowFile{f}, err
}

func (f slowFile) Sync() error {
	time.Sleep(2 * time.Millisecond)
	return f.File.Sync()
}

// BenchmarkPutSlowFlush is BenchmarkPut on a disk whose flush takes 2 ms longer. The result with one writer shows what one flush
// per put achieves.
func BenchmarkPutSlowFlush(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchPut(b, slowDisk{benchDir(b)}, n) })
	}
}

// BenchmarkPutLatency has 16 writers overwrite 20,000 keys for five seconds, without compactions and with continuous compactions.
func BenchmarkPutLatency(b *testing.B) {
	for _, compacting := range []bool{false, true} {
		b.Run(fmt.Sprintf("compaction=%v", compacting), func(b *testing.B) {
			l := limits.ForLedger(1 << 30)
			s := mustOpen(b, benchDir(b), Options{Limits: l, Manual: true})
			value := make([]byte, benchValue)
			for i := range 200 {
				var batch Batch
				for j := range 1000 {
					batch.Put(benchKey(i*1000+j), value, time.Time{})
				}
				if err := s.Apply(&batch); err != nil {
					b.Fatal(err)
				}
			}
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			var mu sync.Mutex
			var wait sync.WaitGroup
			end := make(chan struct{})
			if compacting {
				wait.Go(func() {
					for {
						select {
						case <-end:
							return
						default:
							if _, err := s.Compact(); err != nil {
								b.Error(err)
								return
							}
						}
					}
				})
			}
			var puts sync.WaitGroup
			until := time.Now().Add(5 * time.Second)
			for w := range 16 {
				puts.Go(func() {
					rng := rand.New(rand.NewPCG(uint64(w), 1))
					own := hdrhistogram.New(1, int64(time.Minute), 3)
					for time.Now().Before(until) {
						began := time.Now()
						if err := s.Put(benchKey(rng.IntN(20000)), value, time.Time{}); err != nil {
							b.Error(err)
							return
						}
						if err := own.RecordValue(int64(time.Since(began))); err != nil {
							b.Error(err)
						}
					}
					mu.Lock()
					defer mu.Unlock()
					h.Merge(own)
				})
			}
			puts.Wait()
			close(end)
			wait.Wait()
			for _, q := range []float64{50, 99, 99.9} {
				b.ReportMetric(float64(h.ValueAtQuantile(q))/1e3, fmt.Sprintf("p%v-us", q))
			}
			b.ReportMetric(float64(h.TotalCount())/5, "puts/s")
			b.ReportMetric(float64(s.Stats().Compactions), "compactions")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRecovery opens folders with n records.
func BenchmarkRecovery(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := benchDir(b)
			o := Options{Limits: limits.ForLedger(1 << 30), Manual: true}
			s := mustOpen(b, dir, o)
			value := make([]byte, benchValue)
			for i := 0; i < n; i += 1000 {
				var batch Batch
				for j := range 1000 {
					batch.Put(benchKey(i+j), value, time.Time{})
				}
				if err := s.Apply(&batch); err != nil {
					b.Fatal(err)
				}
			}
			s.Close()
			for b.Loop() {
				s, err := Open(dir, o)
				if err != nil {
					b.Fatal(err)
				}
				if s.Stats().Keys != n {
					b.Fatalf("recovered %d keys", s.Stats().Keys)
				}
				b.StopTimer()
				s.Close()
				b.StartTimer()
			}
			b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

// BenchmarkOverwrite overwrites random keys, four times each on average, with the default limits, and reports the bytes written
// and the bytes on disk per byte of records. Values are random, so compression saves nothing.
func BenchmarkOverwrite(b *testing.B) {
	const keys = 200_000
	s := mustOpen(b, benchDir(b), Options{Limits: limits.ForLedger(1 << 30)})
	rng := rand.New(rand.NewPCG(1, 1))
	worst := 0.0
	write := func(n int, key func(i int) int) {
		for i := 0; i < n; i += 500 {
			var batch Batch
			for j := range 500 {
				v := make([]byte, benchValue)
				for k := 0; k < len(v); k += 8 {
					for l, x := 0, rng.Uint64(); l < 8; l, x = l+1, x>>8 {
						v[k+l] = byte(x)
					}
				}
				batch.Put(benchKey(key(i+j)), v, time.Time{})
			}
			if err := s.Apply(&batch); err != nil {
				b.Fatal(err)
			}
			if a := s.Stats().SpaceAmplification(); i > 0 && n > keys {
				worst = max(worst, a)
			}
		}
	}
	write(keys, func(i int) int { return i })
	write(4*keys, func(int) int { return rng.IntN(keys) })
	if err := s.compactWhileDue(); err != nil {
		b.Fatal(err)
	}
	st := s.Stats()
	b.ReportMetric(st.WriteAmplification(), "written/asked")
	b.ReportMetric(st.SpaceAmplification(), "disk/live")
	b.ReportMetric(worst, "disk/live-worst")
	b.ReportMetric(float64(st.Compactions), "compactions")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkMemoryPerKey reports the heap memory that a key of 32 bytes takes.
func BenchmarkMemoryPerKey(b *testing.B) {
	const n = 500_000
	dir := benchDir(b)
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	o := Options{Limits: limits.ForLedger(1 << 30), Manual: true}
	s := mustOpen(b, dir, o)
	before := heap()
	for i := 0; i < n; i += 1000 {
		var batch Batch
		for j := range 1000 {
			batch.Put(benchKey(i+j), nil, time.Time{})
		}
		if err := s.Apply(&batch); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(heap()-before)/n, "B/key-written")
	counted := s.Stats().IndexBytes / n
	s.Close()
	s.index.Clear() // the clean-up function of the benchmark still references the store
	before = heap()
	s = mustOpen(b, dir, o)
	b.ReportMetric(float64(heap()-before)/n, "B/key-recovered")
	b.ReportMetric(float64(counted), "B/key-counted")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(s)
}

// BenchmarkGet reads random keys from uncompressed and from cold segments.
func BenchmarkGet(b *testing.B) {
	for _, cold := range []bool{false, true} {
		b.Run(fmt.Sprintf("cold=%v", cold), func(b *testing.B) {
			const n = 50_000
			s := mustOpen(b, benchDir(b), Options{Limits: limits.ForLedger(1 << 30), Manual: true})
			for i := 0; i < n; i += 1000 {
				var batch Batch
				for j := range 1000 {
					batch.Put(benchKey(i+j), make([]byte, benchValue), time.Time{})
				}
				if err := s.Apply(&batch); err != nil {
					b.Fatal(err)
				}
			}
			if cold {
				if _, err := s.Compact(); err != nil {
					b.Fatal(err)
				}
			}
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Get(benchKey(rng.IntN(n))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
