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

// The scripts guard against repeating orders that an engine cannot decode, which left all streams
// unserved.
func TestRejectedOrders(t *testing.T) { runScripts(t, "testdata/rejected") }

func runScripts(t *testing.T, folder string) {
	script.Run(t, folder, func(t *testing.T) func(script.Step) []string {
		p := &scriptRunner{t: t, model: placement.New()}
		return p.run
	})
}

// scriptRunner executes the steps of a script.
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
		return placement.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation(s.Arg(0)), Upstream: fleet.Upstream{
			ID: script.Incarnation(s.Arg(0)), Service: "writer", Address: s.Arg(0) + ":80", DataCentre: s.Params["in"], Accelerator: s.Params["kind"],
			Held: parseRange(s.Params["held"]), Leaving: s.Params["state"] == "leaving", Withheld: s.Params["state"] == "withheld",
		}}}}
	case "gone":
		return placement.FleetMsg{Changes: []fleet.Change{{ID: script.Incarnation(s.Arg(0)), Gone: true}}}
	case "rank":
		return placement.RankMsg{Delay: clock.Millis(s.Int("delay", 0))}
	case "silent":
		return placement.ResponsivenessMsg{Upstream: script.Incarnation(s.Arg(0)), Unresponsive: s.Params["silent"] != "no", Confirmed: s.Params["agreed"] == "yes"}
	case "ordered":
		return placement.OrderResultMsg{Upstream: script.Incarnation(s.Arg(0)), Result: parseResult(p.t, s.Params["result"]), Held: parseRange(s.Params["held"])}
	case "placed":
		return placement.PlacedMsg{Upstream: script.Incarnation(s.Arg(0)), Layers: parseRange(s.Params["layers"]), Completed: s.Params["holds"] == "yes"}
	case "tick":
		return placement.TickMsg{ListAge: clock.Millis(s.Int("list_age", 0))}
	}
	p.t.Fatalf("line %d: unknown verb %q", s.Line, s.Verb)
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
	t.Fatalf("unknown result %q", name)
	return 0
}

// testCatalog returns a configuration with layers of 100 MB. Five layers fit into a "fast" or
// "slow" engine, which normally gets four.
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
