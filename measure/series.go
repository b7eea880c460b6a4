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

// Summary is a series in a few figures: the middle one, and how far they spread.
type Summary struct {
	GoodPerSecond    float64
	MinGoodPerSecond float64
	MaxGoodPerSecond float64
	GoodShare        float64
	SmallGoodShare   float64
	RecoveryTime     time.Duration
	MaxRecoveryTime  time.Duration
	LongestStall     time.Duration
	WrongAnswers     int
	MissingOutcomes  int
	Outcomes         string
}

// Summary returns the medians and the spread.
func (s *Series) Summary() Summary {
	good := s.sorted(func(f *Figures) float64 { return f.GoodPerSecond })
	recovery := s.sorted(func(f *Figures) float64 { return float64(f.RecoveryTime) })
	sum := Summary{
		GoodPerSecond: median(good), MinGoodPerSecond: good[0], MaxGoodPerSecond: good[len(good)-1],
		GoodShare:       median(s.sorted(func(f *Figures) float64 { return f.GoodShare })),
		SmallGoodShare:  median(s.sorted(func(f *Figures) float64 { return f.SmallGoodShare })),
		RecoveryTime:    time.Duration(median(recovery)),
		MaxRecoveryTime: time.Duration(recovery[len(recovery)-1]),
		LongestStall:    time.Duration(median(s.sorted(func(f *Figures) float64 { return float64(f.LongestStall) }))),
	}
	outcomes := make(map[string]int)
	for _, f := range s.runs {
		sum.WrongAnswers += f.WrongAnswers
		sum.MissingOutcomes += f.MissingOutcomes
		for name, n := range f.Outcomes {
			outcomes[name] += n
		}
	}
	sum.Outcomes = formatCounts(outcomes)
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

func median(sorted []float64) float64 { return sorted[len(sorted)/2] }

func formatCounts(counts map[string]int) string {
	var parts []string
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
