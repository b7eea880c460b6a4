package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// Coverage returns one line for each pipeline service and data centre, such as "writer dc-1
// missing=0-9,32-40 empty=2": the layers without a holder and the number of engines without
// layers. The lines are intended for the log and are recomputed only after a change.
func (m *Model) Coverage(now clock.Millis) []string {
	if m.coverageCache.changeCount != m.changeCount {
		m.coverageCache = coverageCache{changeCount: m.changeCount, lines: m.computeCoverage(now)}
	}
	return m.coverageCache.lines
}

// coverageCache is the last result of Coverage and the change count for which it was computed.
type coverageCache struct {
	changeCount uint64
	lines       []string
}

func (m *Model) computeCoverage(now clock.Millis) []string {
	if m.catalog == nil || m.standby {
		return nil
	}
	var lines []string
	m.catalog.EachService(func(s *catalog.Service) {
		if s.Pipeline == nil {
			return
		}
		engines := m.engines(now, s)
		m.contain("coverage", planInput(s, engines), func() { lines = append(lines, coverageOf(s, engines)...) })
	})
	slices.Sort(lines)
	return lines
}

// coverageOf returns the lines of a service.
func coverageOf(s *catalog.Service, engines []Engine) []string {
	p := newPlan(ShapeOf(s.Pipeline), engines)
	empty := make(map[string]int)
	for _, e := range p.engines {
		if e.assigned().Empty() {
			empty[e.DataCentre]++
		}
	}
	var lines []string
	for _, centre := range p.dataCentres {
		lines = append(lines, fmt.Sprintf("%s %s missing=%s empty=%d", s.Name, centre, p.missingRanges(centre), empty[centre]))
	}
	return lines
}

// missingRanges formats the ranges of layers that have no holder in a data centre.
func (p *plan) missingRanges(centre string) string {
	var gaps []string
	for from := 0; from < p.shape.Layers; from++ {
		to := from
		for to < p.shape.Layers && p.holderCounts[centre][to] == 0 {
			to++
		}
		if to > from {
			gaps = append(gaps, fmt.Sprintf("%d-%d", from, to))
			from = to
		}
	}
	if len(gaps) == 0 {
		return "none"
	}
	return strings.Join(gaps, ",")
}
