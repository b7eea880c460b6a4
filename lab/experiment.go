package lab

import (
	"runtime"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Experiment runs variants of a scenario, each with the same seeds.
type Experiment struct {
	Scenario *Scenario
	Variants []Variant
	// Seeds is the number of seeds, which count up from FirstSeed.
	Seeds     int
	FirstSeed uint64
	// Parallelism is the number of concurrent runs; zero means one per CPU.
	Parallelism int
	// RunDone is called after each run, unless it is nil.
	RunDone func()
}

// Difference compares a figure of a variant with that of the first variant.
type Difference struct {
	Variant string
	Figure  string
	// Mean is the variant's own mean. MeanDifference is the mean of the differences seed by
	// seed; Low and High are the bounds of its 95 in 100 confidence interval.
	Mean, MeanDifference, Low, High float64
	// SeedsWithViolations is the number of seeds on which the variant violated a guarantee.
	SeedsWithViolations int
}

// Run runs all variants with all seeds, and returns the results by variant and seed.
func (e *Experiment) Run() ([][]*Result, error) {
	if e.Seeds < 1 || len(e.Variants) < 1 {
		return nil, errors.Wrap(ErrScenario, "an experiment needs at least one variant and one seed")
	}
	parallelism := e.Parallelism
	if parallelism < 1 {
		parallelism = runtime.NumCPU()
	}
	results := make([][]*Result, len(e.Variants))
	var group errgroup.Group
	group.SetLimit(parallelism)
	for v := range e.Variants {
		results[v] = make([]*Result, e.Seeds)
		for i := range e.Seeds {
			group.Go(func() error {
				results[v][i] = Run(e.Scenario, e.Variants[v], e.FirstSeed+uint64(i))
				if e.RunDone != nil {
					e.RunDone()
				}
				return nil
			})
		}
	}
	return results, group.Wait()
}

// Differences compares each variant with the first one, seed by seed.
func Differences(results [][]*Result) []Difference {
	var list []Difference
	for _, runs := range results {
		for _, name := range FigureNames {
			d := Difference{Variant: runs[0].Variant.Name, Figure: name}
			var values, differences []float64
			for i, r := range runs {
				values = append(values, r.Figures()[name])
				differences = append(differences, r.Figures()[name]-results[0][i].Figures()[name])
				if len(r.Violations) > 0 {
					d.SeedsWithViolations++
				}
			}
			d.Mean = stat.Mean(values, nil)
			d.MeanDifference, d.Low, d.High = interval(differences)
			list = append(list, d)
		}
	}
	return list
}

// confidence is the level of the confidence intervals.
const confidence = 0.95

// interval returns the mean of a sample and the bounds of its confidence interval.
func interval(sample []float64) (mean, low, high float64) {
	mean, deviation := stat.MeanStdDev(sample, nil)
	if len(sample) < 2 {
		return mean, mean, mean
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(sample) - 1)}.Quantile((1 + confidence) / 2)
	half := t * stat.StdErr(deviation, float64(len(sample)))
	return mean, mean - half, mean + half
}
