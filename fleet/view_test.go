package fleet_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/catalog"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

func TestScripts(t *testing.T) {
	script.Run(t, "testdata", func(t *testing.T) func(script.Step) []string {
		view, now := fleet.NewView(), clock.Millis(0)
		return func(s script.Step) []string {
			now = clock.Millis(s.Int("at", int(now)))
			if s.Verb == "misfits" {
				return formatMisfits(view.TakeMisfits())
			}
			return formatChanges(applyStep(t, view, now, s))
		}
	})
}

func applyStep(t *testing.T, v *fleet.View, now clock.Millis, s script.Step) []fleet.Change {
	afterOutage := s.Params["lapsing"] == "yes"
	switch s.Verb {
	case "change":
		return v.Apply(now, parseChanges(s.Args), afterOutage)
	case "list":
		return v.ReplaceList(now, parseChanges(s.Args), afterOutage)
	case "peer":
		return v.ApplyPeerList(now, parseUpstreams(s.Args))
	case "lost":
		v.StoreLost()
		return nil
	case "back":
		v.StoreRecovered(now)
		return nil
	case "copy":
		v.MarkRestored(now)
		return nil
	case "ended":
		v.OutageEnded(now)
		return nil
	case "services":
		return v.SetCatalog(now, parseCatalog(s.Args))
	case "heard":
		return v.NoteIncarnation(script.Incarnation(s.Arg(0)))
	case "replaced":
		return v.NoteReplacement(script.Incarnation(s.Arg(0)), s.Arg(1))
	case "says":
		return v.MarkLeaving(script.Incarnation(s.Arg(0)))
	case "expire":
		return v.Expire(now)
	case "reported":
		_ = v.AwaitLayers(now, script.Incarnation(s.Arg(0)), fleet.ReportedLayers{Layers: fleet.LayerRange{To: s.Int("held", 0)}, Completed: s.Params["completed"] == "yes"})
		return nil
	case "confirmed":
		return v.LayersNotShown(now)
	}
	t.Fatalf("line %d: unknown verb %q", s.Line, s.Verb)
	return nil
}

// parseCatalog parses words such as desk, a plain service, and writer/12, a pipeline service with 12 layers of
// which 8 fit into an engine.
func parseCatalog(words []string) *catalog.Catalog {
	var services []*catalog.Service
	for _, word := range words {
		name, layers, pipeline := strings.Cut(word, "/")
		s := &catalog.Service{Name: name}
		if pipeline {
			s.Pipeline = &catalog.Pipeline{LayerMB: 100, Models: []string{"m"}, Accelerators: map[string]catalog.Accelerator{"k": {Name: "k", MemoryMB: 800}}}
			s.Pipeline.Layers, _ = strconv.Atoi(layers)
		}
		services = append(services, s)
	}
	return catalog.New(1, catalog.WithServices(services...))
}

// parseChanges parses words such as u1, u1/address+service, u1@17 (start time 17), u1:leaving,
// u1:held3, u1:engine,k,m,0..8, u1:lapsed (entry missing), u1:gone and u1:unreadable.
func parseChanges(words []string) []fleet.Change {
	var list []fleet.Change
	for _, word := range words {
		name, state, _ := strings.Cut(word, ":")
		name, service, _ := strings.Cut(name, "+")
		name, address, _ := strings.Cut(name, "/")
		id := script.Incarnation(name)
		u := fleet.Upstream{ID: id, Service: service, Address: address, Leaving: state == "leaving", Lapsed: state == "lapsed"}
		if held, ok := strings.CutPrefix(state, "held"); ok {
			u.Held.To, _ = strconv.Atoi(held)
		}
		if engine, ok := strings.CutPrefix(state, "engine,"); ok {
			u.Accelerator, u.Model, u.Held = parseEngine(engine)
		}
		list = append(list, fleet.Change{ID: id, Gone: state == "gone", Unreadable: state == "unreadable", Upstream: u})
	}
	return list
}

// parseEngine parses a kind, a model and a range of layers, such as k,m,0..8.
func parseEngine(text string) (accelerator, model string, held fleet.LayerRange) {
	words := strings.Split(text, ",")
	from, to, _ := strings.Cut(words[2], "..")
	held.From, _ = strconv.Atoi(from)
	held.To, _ = strconv.Atoi(to)
	return words[0], words[1], held
}

func parseUpstreams(words []string) []fleet.Upstream {
	var list []fleet.Upstream
	for _, c := range parseChanges(words) {
		list = append(list, c.Upstream)
	}
	return list
}

func formatMisfits(counts map[fleet.Field]int, fresh []fleet.Misfit) []string {
	var fields, entries []string
	for field, n := range counts {
		fields = append(fields, fmt.Sprintf("%s %d", field, n))
	}
	for _, m := range fresh {
		entries = append(entries, fmt.Sprintf("%s %s", m.ID, m.Err.Field))
	}
	slices.Sort(fields)
	slices.Sort(entries)
	return append(fields, entries...)
}

func formatChanges(changes []fleet.Change) []string {
	var lines []string
	for _, c := range changes {
		state := ""
		switch {
		case c.Gone:
			state = " gone"
		case c.Upstream.Withheld:
			state = " withheld"
		case c.Upstream.Leaving:
			state = " leaving"
		case !c.Upstream.Held.Empty():
			state = fmt.Sprintf(" held %d", c.Upstream.Held.To)
		}
		if c.Ended {
			state = " ended"
		}
		lines = append(lines, c.ID.String()+state)
	}
	return lines
}
