package experiment

import (
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"sloehitch/internal/emulator"
)

// Row holds the outcomes of one class's requests in one run.
type Row struct {
	Arm   string
	Point Point
	Seed  uint64
	Class string

	Offered, WithinObjective, Late, Rejected, Failed, TimedOut int // requests

	Attempts              int
	WeightWithinObjective float64 // sum of the priority weights of requests served within the objective
	WeightOffered         float64 // sum of the priority weights of all requests
	MeanMS, P50MS, P99MS  float64 // latency of requests served
	Utilization           float64 // of all cores, 0 to 1

	// Outcome of the run's release; all 0 without a release.
	NodesChanged   int     // nodes on the new version at the end
	MaxUnavailable int     // most nodes that were out of service or in slow start at the same time
	ReleaseSeconds float64 // until the release completed or halted itself; 0: it did neither
	HaltedReleases int     // 1 if the release halted itself, otherwise 0
}

// columns are the columns of rows.csv, in the order of Row.record.
var columns = []string{"arm", "load", "nodes", "retries", "seed", "class", "offered", "in_aim", "late", "refused", "failed", "expired", "tries",
	"worth", "worth_offered", "mean_ms", "p50_ms", "p99_ms", "utilization", "changed", "most_out", "took_s", "halted"}

// record returns the row as fields of rows.csv. All fractions have the same number of digits.
func (r Row) record() []string {
	format := func(x float64) string { return strconv.FormatFloat(x, 'f', 6, 64) }
	fields := []string{r.Arm, format(r.Point.Load), strconv.Itoa(r.Point.Nodes), strconv.Itoa(r.Point.Retries), strconv.FormatUint(r.Seed, 10), r.Class}
	for _, n := range []int{r.Offered, r.WithinObjective, r.Late, r.Rejected, r.Failed, r.TimedOut, r.Attempts} {
		fields = append(fields, strconv.Itoa(n))
	}
	for _, x := range []float64{r.WeightWithinObjective, r.WeightOffered, r.MeanMS, r.P50MS, r.P99MS, r.Utilization,
		float64(r.NodesChanged), float64(r.MaxUnavailable), r.ReleaseSeconds, float64(r.HaltedReleases)} {
		fields = append(fields, format(x))
	}
	return fields
}

// recordReader parses the fields of a record one after the other and collects the errors.
type recordReader struct {
	fields []string
	errs   []error
}

func (r *recordReader) text() string {
	field := r.fields[0]
	r.fields = r.fields[1:]
	return field
}

func (r *recordReader) float() float64 {
	x, err := strconv.ParseFloat(r.text(), 64)
	r.errs = append(r.errs, err)
	return x
}

func (r *recordReader) int() int { return int(r.float()) }

// parseRow parses a row from fields of rows.csv.
func parseRow(fields []string) (Row, error) {
	if len(fields) != len(columns) {
		return Row{}, fmt.Errorf("row has %d fields, want %d", len(fields), len(columns))
	}
	r := &recordReader{fields: fields}
	row := Row{
		Arm:                   r.text(),
		Point:                 Point{Load: r.float(), Nodes: r.int(), Retries: r.int()},
		Seed:                  uint64(r.float()),
		Class:                 r.text(),
		Offered:               r.int(),
		WithinObjective:       r.int(),
		Late:                  r.int(),
		Rejected:              r.int(),
		Failed:                r.int(),
		TimedOut:              r.int(),
		Attempts:              r.int(),
		WeightWithinObjective: r.float(),
		WeightOffered:         r.float(),
		MeanMS:                r.float(),
		P50MS:                 r.float(),
		P99MS:                 r.float(),
		Utilization:           r.float(),
		NodesChanged:          r.int(),
		MaxUnavailable:        r.int(),
		ReleaseSeconds:        r.float(),
		HaltedReleases:        r.int(),
	}
	return row, errors.Join(r.errs...)
}

// ReadRows reads the rows of a folder of results.
func ReadRows(dir string) (rows []Row, err error) {
	path := filepath.Join(dir, rowsFile)
	records, err := readCSV(path)
	if err != nil {
		return nil, err
	}
	for i, fields := range records {
		if i == 0 {
			continue // header
		}
		row, err := parseRow(fields)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func readCSV(path string) ([][]string, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	records, err := csv.NewReader(in).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return records, nil
}

// rows returns a run's rows, one for each class.
func (j job) rows(w emulator.World, r *emulator.Result) (rows []Row) {
	halted := 0
	if r.Release.HaltReason != "" {
		halted = 1
	}
	for i, c := range r.Classes {
		rows = append(rows, Row{
			Arm:                   j.arm.Name,
			Point:                 j.point,
			Seed:                  j.seed,
			Class:                 w.Classes[i].Name,
			Offered:               c.Offered,
			WithinObjective:       c.WithinObjective,
			Late:                  c.Late,
			Rejected:              c.Rejected,
			Failed:                c.Failed,
			TimedOut:              c.TimedOut,
			Attempts:              c.Attempts,
			WeightWithinObjective: c.WeightWithinObjective,
			WeightOffered:         float64(c.Offered) * w.Classes[i].PriorityWeight,
			MeanMS:                c.Latency.Mean() / microsPerMilli,
			P50MS:                 float64(c.Latency.ValueAtQuantile(50)) / microsPerMilli,
			P99MS:                 float64(c.Latency.ValueAtQuantile(99)) / microsPerMilli,
			Utilization:           r.Utilization,
			NodesChanged:          r.Release.NodesChanged,
			MaxUnavailable:        r.Release.MaxUnavailable,
			ReleaseSeconds:        r.Release.Duration.Seconds(),
			HaltedReleases:        halted,
		})
	}
	return rows
}

const microsPerMilli = 1000
