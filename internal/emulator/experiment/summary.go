package experiment

import (
	"errors"
	"slices"
)

// Cell summarizes the runs of an arm at a point over all seeds.
type Cell struct {
	Arm        string          `json:"arm"`
	Load       float64         `json:"load"`
	Nodes      int             `json:"nodes"`
	Retries    int             `json:"retries"`
	Goodput    Interval        `json:"goodput"`           // priority weight served within the objective over the weight offered
	Difference *Interval       `json:"against,omitempty"` // of the goodput from the first arm's, paired by seed; nil in the first arm
	P99        Interval        `json:"p99_ms"`            // of the class with the highest
	Rejected   Interval        `json:"refused"`           // share of requests
	Release    *ReleaseSummary `json:"release,omitempty"` // nil: no release

	goodput map[uint64]float64 // by seed
}

// ReleaseSummary summarizes the outcomes of a release over all seeds.
type ReleaseSummary struct {
	NodesChanged   Interval `json:"changed"`  // nodes on the new version at the end
	MaxUnavailable Interval `json:"most_out"` // most nodes that were out of service or in slow start at the same time
	Seconds        Interval `json:"took_s"`   // until the release completed or halted itself, over the seeds where it did
	EndedSeeds     int      `json:"ended"`    // seeds where the release completed or halted itself
	HaltedSeeds    int      `json:"halted"`   // seeds where the release halted itself
}

func (c Cell) point() Point { return Point{c.Load, c.Nodes, c.Retries} }

// cellKey identifies a cell.
type cellKey struct {
	arm   string
	point Point
}

// seedTotals sums up the rows of one run.
type seedTotals struct {
	weightWithinObjective, weightOffered float64
	worstP99MS                           float64
	rejected, offered                    float64
	last                                 Row // for the release, which is the same in all rows of a run
}

func (t *seedTotals) add(r Row) {
	t.weightWithinObjective += r.WeightWithinObjective
	t.weightOffered += r.WeightOffered
	t.worstP99MS = max(t.worstP99MS, r.P99MS)
	t.rejected += float64(r.Rejected)
	t.offered += float64(r.Offered)
	t.last = r
}

// Summarize returns the cells of rows in the order in which their arms and points first appear.
func Summarize(rows []Row) (cells []Cell) {
	totals := map[cellKey]map[uint64]*seedTotals{}
	var order []cellKey
	for _, r := range rows {
		key := cellKey{r.Arm, r.Point}
		if totals[key] == nil {
			totals[key] = map[uint64]*seedTotals{}
			order = append(order, key)
		}
		if totals[key][r.Seed] == nil {
			totals[key][r.Seed] = &seedTotals{}
		}
		totals[key][r.Seed].add(r)
	}
	first := map[Point]Cell{}
	for _, key := range order {
		c := newCell(key, totals[key])
		if f, ok := first[key.point]; ok {
			difference := Bootstrap(differences(c, f))
			c.Difference = &difference
		} else {
			first[key.point] = c
		}
		cells = append(cells, c)
	}
	return cells
}

// newCell summarizes the totals of a cell's seeds.
func newCell(key cellKey, bySeed map[uint64]*seedTotals) Cell {
	c := Cell{Arm: key.arm, Load: key.point.Load, Nodes: key.point.Nodes, Retries: key.point.Retries, goodput: map[uint64]float64{}}
	var goodput, p99, rejected, changed, unavailable, seconds []float64
	halted := 0
	for _, seed := range sortedSeeds(bySeed) {
		t := bySeed[seed]
		c.goodput[seed] = t.weightWithinObjective / max(1e-9, t.weightOffered)
		goodput = append(goodput, c.goodput[seed])
		p99 = append(p99, t.worstP99MS)
		rejected = append(rejected, t.rejected/max(1, t.offered))
		changed = append(changed, float64(t.last.NodesChanged))
		unavailable = append(unavailable, float64(t.last.MaxUnavailable))
		if t.last.ReleaseSeconds > 0 {
			seconds = append(seconds, t.last.ReleaseSeconds)
		}
		halted += t.last.HaltedReleases
	}
	c.Goodput, c.P99, c.Rejected = Bootstrap(goodput), Bootstrap(p99), Bootstrap(rejected)
	if slices.Max(unavailable) > 0 {
		c.Release = &ReleaseSummary{NodesChanged: Bootstrap(changed), MaxUnavailable: Bootstrap(unavailable), Seconds: Bootstrap(seconds),
			EndedSeeds: len(seconds), HaltedSeeds: halted}
	}
	return c
}

// differences returns the differences of c's goodput from other's for the seeds that both have.
func differences(c, other Cell) (all []float64) {
	for _, seed := range sortedSeeds(c.goodput) {
		if g, ok := other.goodput[seed]; ok {
			all = append(all, c.goodput[seed]-g)
		}
	}
	return all
}

func sortedSeeds[T any](m map[uint64]T) (seeds []uint64) {
	for s := range m {
		seeds = append(seeds, s)
	}
	slices.Sort(seeds)
	return seeds
}

// Change is the change of a cell's goodput between two folders of results.
type Change struct {
	Cell        Cell // of the second folder
	Difference  Interval
	Significant bool // the interval excludes zero
}

// ErrNothingInCommon is returned by Diff for rows without a common cell and seed.
var ErrNothingInCommon = errors.New("the two folders of results have no arm, point and seed in common")

// Diff compares the goodput of two folders' rows, paired by seed. It returns ErrNothingInCommon if there are no pairs.
func Diff(before, after []Row) (changes []Change, err error) {
	old := map[string]Cell{}
	for _, c := range Summarize(before) {
		old[c.Arm+c.point().String()] = c
	}
	for _, c := range Summarize(after) {
		other, ok := old[c.Arm+c.point().String()]
		if !ok {
			continue
		}
		if all := differences(c, other); len(all) > 0 {
			i := Bootstrap(all)
			changes = append(changes, Change{c, i, i.excludesZero()})
		}
	}
	if len(changes) == 0 {
		return nil, ErrNothingInCommon
	}
	return changes, nil
}
