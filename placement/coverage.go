package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
)

// Coverage says, for each pipeline service and data centre, which layers have
// no holder there, as "writer dc-1 missing=0-9,32-40 empty=2". It is for the
// log, and worked out again only after something has changed.
func (m *Model) Coverage(now clock.Millis) []string {
	if m.coverageCache.changeCount != m.changeCount {
		m.coverageCache = coverageCache{changeCount: m.changeCount, lines: m.computeCoverage(now)}
	}
	return m.coverageCache.lines
}

// coverageCache is what Coverage returned last, and after how many changes.
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
		p := newPlan(ShapeOf(s.Pipeline), m.engines(now, s))
		empty := make(map[string]int)
		for _, e := range p.engines {
			if e.assigned().Empty() {
				empty[e.DataCentre]++
			}
		}
		for _, centre := range p.dataCentres {
			lines = append(lines, fmt.Sprintf("%s %s missing=%s empty=%d", s.Name, centre, p.missingRanges(centre), empty[centre]))
		}
	})
	slices.Sort(lines)
	return lines
}

// missingRanges lists the runs of layers without a holder in a data centre.
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
