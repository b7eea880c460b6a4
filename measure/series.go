package measure

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Series is the figures of one scenario and contender over several seeds.
type Series struct {
	runs []*Figures
}

// Add adds a run.
func (s *Series) Add(f *Figures) { s.runs = append(s.runs, f) }

// Sum is a series in a few figures: the middle one, and how far they spread.
type Sum struct {
	Good            float64
	LeastGood       float64
	MostGood        float64
	Share           float64
	Small           float64
	Recovery        time.Duration
	LongestRecovery time.Duration
	Stall           time.Duration
	Wrong           int
	Missing         int
	Outcomes        string
}

// Sum returns the medians and the spread.
func (s *Series) Sum() Sum {
	good := s.sorted(func(f *Figures) float64 { return f.Good })
	recovery := s.sorted(func(f *Figures) float64 { return float64(f.Recovery) })
	sum := Sum{
		Good: middle(good), LeastGood: good[0], MostGood: good[len(good)-1],
		Share:           middle(s.sorted(func(f *Figures) float64 { return f.Share })),
		Small:           middle(s.sorted(func(f *Figures) float64 { return f.Small })),
		Recovery:        time.Duration(middle(recovery)),
		LongestRecovery: time.Duration(recovery[len(recovery)-1]),
		Stall:           time.Duration(middle(s.sorted(func(f *Figures) float64 { return float64(f.Stall) }))),
	}
	outcomes := make(map[string]int)
	for _, f := range s.runs {
		sum.Wrong += f.Wrong
		sum.Missing += f.Missing
		for name, n := range f.Outcomes {
			outcomes[name] += n
		}
	}
	sum.Outcomes = words(outcomes)
	return sum
}

func (s *Series) sorted(of func(*Figures) float64) []float64 {
	var values []float64
	for _, f := range s.runs {
		values = append(values, of(f))
	}
	slices.Sort(values)
	return values
}

func middle(sorted []float64) float64 { return sorted[len(sorted)/2] }

func words(counts map[string]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
