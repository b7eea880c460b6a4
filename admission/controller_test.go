package admission_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/admission"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

// TestDecisions runs the scripts on single decisions. Each script names the failure that it guards
// against.
func TestDecisions(t *testing.T) {
	script.Run(t, "testdata/decisions", func(t *testing.T) func(script.Step) []string {
		p := &scriptRunner{t: t, controller: admission.New(), load: admission.Load{Layers: 8, NewestReport: clock.Never, OldestReport: clock.Never}}
		return p.step
	})
}

// scriptRunner executes the lines of a script on a service with eight layers.
type scriptRunner struct {
	t          *testing.T
	controller *admission.Controller
	now        clock.Millis
	load       admission.Load
}

func (p *scriptRunner) step(s script.Step) []string {
	p.now = clock.Millis(s.Int("at", int(p.now)))
	switch s.Verb {
	case "priorities":
		var list []int
		for _, arg := range s.Args {
			n, _ := strconv.Atoi(arg)
			list = append(list, n)
		}
		var observed []string
		if s.Params["observed"] == "yes" {
			observed = []string{"writer"}
		}
		p.controller.SetPriorities(map[string][]int{"writer": list}, observed...)
	case "engines":
		p.load.Engines = nil
	case "engine":
		p.load.Engines = append(p.load.Engines, p.engine(s))
	case "report":
		p.load.NewestReport, p.load.OldestReport = p.now, p.now.Add(-clock.Millis(s.Int("oldest", 0)))
	case "use":
		use, ok := p.load.Use()
		return []string{fmt.Sprintf("use %.3f %v", use, ok)}
	case "observe":
		p.observe(s)
	case "admit":
		priority, _ := strconv.Atoi(s.Arg(0))
		return []string{showDecision(p.controller.Admit(p.now, "writer", priority, p.float(s, "draw")))}
	case "contention":
		use, ok := p.controller.Contention(p.now, "writer")
		return []string{fmt.Sprintf("contention %v use=%.2f", ok, use)}
	case "state":
		return showSummaries(p.controller.Summaries(p.now))
	default:
		p.t.Fatalf("line %d: unknown verb %q", s.Line, s.Verb)
	}
	return nil
}

// observe observes the load each 300 ms until a time, with a report of another node each time unless
// the line contains reports=no. With use= the only engine has that part of its memory in use.
func (p *scriptRunner) observe(s script.Step) {
	if _, ok := s.Params["use"]; ok {
		p.load.Engines = []admission.Engine{{Held: fleet.LayerRange{From: 0, To: 8}, Memory: 1000, UsedMemory: 1000 * p.float(s, "use")}}
	}
	until := clock.Millis(s.Int("until", int(p.now)))
	for now := p.now; now <= until; now = now.Add(300) {
		p.now = now
		if s.Params["reports"] != "no" {
			p.load.NewestReport, p.load.OldestReport = p.now, p.now.Add(-clock.Millis(s.Int("oldest", 0)))
		}
		p.controller.Observe(p.now, "writer", p.load)
	}
}

func (p *scriptRunner) engine(s script.Step) admission.Engine {
	from, to, _ := strings.Cut(s.Params["held"], "-")
	var e admission.Engine
	e.Held.From, _ = strconv.Atoi(from)
	e.Held.To, _ = strconv.Atoi(to)
	e.Memory, e.UsedMemory = p.float(s, "memory"), p.float(s, "used")
	e.Slots, e.UsedSlots = p.float(s, "slots"), p.float(s, "streams")
	return e
}

// float returns a parameter, which may be NaN or Inf, or 0 if it is missing.
func (p *scriptRunner) float(s script.Step, name string) float64 {
	text, ok := s.Params[name]
	if !ok {
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		p.t.Fatalf("line %d: %s: %v", s.Line, name, err)
	}
	return v
}

func showDecision(d admission.Decision) string {
	if d.Admitted {
		return "admitted"
	}
	return fmt.Sprintf("held back pressure=%.2f level=%.2f threshold=%.2f age=%d wait=%d", d.Pressure, d.Level, d.Threshold, d.Age, d.Wait)
}

func showSummaries(list []admission.Summary) []string {
	var lines []string
	for _, s := range list {
		lines = append(lines, fmt.Sprintf("%s use=%.2f pressure=%.2f level=%.2f age=%d active=%v %v", s.Service, s.Use, s.Pressure, s.Level, s.AgeMillis, s.Active, s.Thresholds))
	}
	return lines
}

func BenchmarkAdmit(b *testing.B) {
	c := admission.New()
	c.SetPriorities(map[string][]int{"writer": {0, 1, 2}})
	load := fullLoad(115)
	for now := clock.Millis(0); now <= 6000; now += 300 {
		load.NewestReport = now
		c.Observe(now, "writer", load)
	}
	b.ReportAllocs()
	for b.Loop() {
		if c.Admit(6000, "writer", 2, 0.5).Admitted {
			b.Fatal("got a request admitted at full use, want it held back")
		}
	}
}

func BenchmarkObserve(b *testing.B) {
	c := admission.New()
	c.SetPriorities(map[string][]int{"writer": {0, 1, 2}})
	load, now := fullLoad(115), clock.Millis(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 300
		load.NewestReport = now
		c.Observe(now, "writer", load)
	}
}

// fullLoad returns the load of engines that hold 8 of 80 layers each and are full.
func fullLoad(engines int) admission.Load {
	load := admission.Load{Layers: 80}
	for i := range engines {
		from := 8 * (i % 10)
		load.Engines = append(load.Engines, admission.Engine{Held: fleet.LayerRange{From: from, To: from + 8}, Memory: 1e5, UsedMemory: 1e5, Slots: 192, UsedSlots: 192})
	}
	return load
}
