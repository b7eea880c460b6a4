package lab

import (
	"runtime"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Experiment plays variants of a scenario with many seeds, the same for each.
type Experiment struct {
	Scenario *Scenario
	Variants []Variant
	// Seeds is how many, the first being First.
	Seeds     int
	FirstSeed uint64
	// Parallelism is how many runs go on at a time; zero for one on each processor.
	Parallelism int
	// RunDone is told of each run that has ended; nil for nobody.
	RunDone func()
}

// Difference is how a variant differs from the first one in a figure.
type Difference struct {
	Variant string
	Figure  string
	// Mean is the variant's own, and By the mean of the differences seed by seed, with the
	// bounds between which it lies with 95 in 100.
	Mean, MeanDifference, Low, High float64
	// SeedsWithViolations is on how many seeds a promise was broken.
	SeedsWithViolations int
}

// Run plays all, and returns the results by variant and seed.
func (e *Experiment) Run() ([][]*Result, error) {
	if e.Seeds < 1 || len(e.Variants) < 1 {
		return nil, errors.Wrap(ErrScenario, "an experiment needs a variant and a seed")
	}
	jobs := e.Parallelism
	if jobs < 1 {
		jobs = runtime.NumCPU()
	}
	results := make([][]*Result, len(e.Variants))
	var group errgroup.Group
	group.SetLimit(jobs)
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

// Differences compares each variant with the first, seed by seed.
func Differences(results [][]*Result) []Difference {
	var list []Difference
	for _, runs := range results {
		for _, name := range FigureNames {
			d := Difference{Variant: runs[0].Variant.Name, Figure: name}
			var own, by []float64
			for i, r := range runs {
				own = append(own, r.Figures()[name])
				by = append(by, r.Figures()[name]-results[0][i].Figures()[name])
				if len(r.Violations) > 0 {
					d.SeedsWithViolations++
				}
			}
			d.Mean = stat.Mean(own, nil)
			d.MeanDifference, d.Low, d.High = interval(by)
			list = append(list, d)
		}
	}
	return list
}

// confidence is the part of the cases in which a mean lies in its interval.
const confidence = 0.95

// interval returns the mean of some figures, and the bounds of its interval.
func interval(list []float64) (mean, low, high float64) {
	mean, deviation := stat.MeanStdDev(list, nil)
	if len(list) < 2 {
		return mean, mean, mean
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(list) - 1)}.Quantile((1 + confidence) / 2)
	half := t * stat.StdErr(deviation, float64(len(list)))
	return mean, mean - half, mean + half
}
