package placement_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
	"github.com/hoistjunction/hoistjunction/placement"
)

func TestScripts(t *testing.T) { runScripts(t, "testdata") }

// The scripts tell how streams were never served since no engine could read an order.
func TestRejectedOrders(t *testing.T) { runScripts(t, "testdata/rejected") }

func runScripts(t *testing.T, folder string) {
	script.Run(t, folder, func(t *testing.T) func(script.Step) []string {
		p := &scriptRunner{t: t, model: placement.New()}
		return p.run
	})
}

// scriptRunner carries out the lines of a script.
type scriptRunner struct {
	t     *testing.T
	model *placement.Model
	now   clock.Millis
}

func (p *scriptRunner) run(s script.Step) []string {
	p.now = clock.Millis(s.Int("at", int(p.now)))
	var lines []string
	for _, o := range p.model.Update(p.now, p.msg(s)) {
		lines = append(lines, fmt.Sprintf("order %s %d-%d missing=%d", o.Upstream, o.Layers.From, o.Layers.To, o.Missing))
	}
	return lines
}

func (p *scriptRunner) msg(s script.Step) placement.Msg {
	switch s.Verb {
	case "config":
		return placement.CatalogMsg{Catalog: testCatalog(s.Int("layers", 10))}
	case "engine":
		return placement.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation(s.Word(0)), Upstream: fleet.Upstream{
			ID: script.Incarnation(s.Word(0)), Service: "writer", Address: s.Word(0) + ":80", DataCentre: s.Named["in"], Accelerator: s.Named["kind"],
			Held: parseRange(s.Named["held"]), Leaving: s.Named["state"] == "leaving", Withheld: s.Named["state"] == "withheld",
		}}}}
	case "gone":
		return placement.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation(s.Word(0)), Gone: true}}}
	case "rank":
		return placement.RankMsg{Delay: clock.Millis(s.Int("delay", 0))}
	case "silent":
		return placement.ResponsivenessMsg{Upstream: script.Incarnation(s.Word(0)), Unresponsive: s.Named["silent"] != "no", Confirmed: s.Named["agreed"] == "yes"}
	case "ordered":
		return placement.OrderResultMsg{Upstream: script.Incarnation(s.Word(0)), Result: parseResult(p.t, s.Named["result"]), Held: parseRange(s.Named["held"])}
	case "placed":
		return placement.PlacedMsg{Upstream: script.Incarnation(s.Word(0)), Layers: parseRange(s.Named["layers"]), Completed: s.Named["holds"] == "yes"}
	case "tick":
		return placement.TickMsg{ListAge: clock.Millis(s.Int("list_age", 0))}
	}
	p.t.Fatalf("line %d: no such verb %q", s.Line, s.Verb)
	return nil
}

func parseRange(text string) fleet.LayerRange {
	from, to, _ := strings.Cut(text, "-")
	var r fleet.LayerRange
	r.From, _ = strconv.Atoi(from)
	r.To, _ = strconv.Atoi(to)
	return r
}

func parseResult(t *testing.T, name string) placement.Result {
	for r := placement.Taken; r <= placement.Rejected; r++ {
		if r.String() == name {
			return r
		}
	}
	t.Fatalf("no such result %q", name)
	return 0
}

// testCatalog has a model of 100 MB a layer; five layers go on an engine of
// either kind, and four are given to it.
func testCatalog(layers int) *catalog.Catalog {
	return catalog.New(1, catalog.WithServices(&catalog.Service{Name: "writer", Pipeline: &catalog.Pipeline{
		Layers: layers, LayerMB: 100, TokenBytes: 1000, StepMS: 1,
		Accelerators: map[string]catalog.Accelerator{
			"fast": {Name: "fast", MemoryMB: 500, StepFactor: 1},
			"slow": {Name: "slow", MemoryMB: 500, StepFactor: 10},
			"big":  {Name: "big", MemoryMB: 1000, StepFactor: 1},
			"tiny": {Name: "tiny", MemoryMB: 100, StepFactor: 10},
		},
	}}))
}
