package fairshare_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairshare"
	"github.com/hoistjunction/hoistjunction/internal/script"
)

// TestShares runs the scripts on shares and single decisions. Each script names the failure that it
// guards against.
func TestShares(t *testing.T) {
	script.Run(t, "testdata/shares", func(t *testing.T) func(script.Step) []string {
		p := &scriptRunner{t: t, controller: fairshare.New()}
		return p.step
	})
}

// scriptRunner executes the lines of a script on one service and one node.
type scriptRunner struct {
	t          *testing.T
	controller *fairshare.Controller
	now        clock.Millis
}

func (p *scriptRunner) step(s script.Step) []string {
	p.now = clock.Millis(s.Int("at", int(p.now)))
	request := fairshare.Request{Account: s.Arg(0)}
	request.Amount, _ = strconv.ParseFloat(s.Params["amount"], 64)
	request.Draw, _ = strconv.ParseFloat(s.Params["draw"], 64)
	switch s.Verb {
	case "level":
		var numbers []float64
		for _, arg := range s.Args {
			v, _ := strconv.ParseFloat(arg, 64)
			numbers = append(numbers, v)
		}
		return []string{fmt.Sprint(fairshare.Level(numbers[0], numbers[1:]))}
	case "observe":
		p.observe(s)
	case "end":
		p.controller.EndContention(p.now, "writer")
	case "admit":
		return []string{showDecision(p.controller.Admit(p.now, "writer", request))}
	case "sent":
		p.controller.RecordSent("writer", request)
	case "summary":
		return p.summary()
	case "report":
		return p.report(s)
	case "thousands":
		return []string{thousands(s)}
	default:
		p.t.Fatalf("line %d: unknown verb %q", s.Line, s.Verb)
	}
	return nil
}

// accounts are the names of the accounts whose uses a line may contain.
var accounts = []string{"a", "b", "c", "d", "e", "f"}

// observe observes the uses each 300 ms until a time, with a report of another node each time unless
// the line contains reports=no.
func (p *scriptRunner) observe(s script.Step) {
	load := fairshare.Load{ByAccount: make(map[string]float64), Nodes: s.Int("nodes", 1), NewestReport: clock.Never, OldestReport: clock.Never}
	load.Use, _ = strconv.ParseFloat(s.Params["use"], 64)
	for _, name := range accounts {
		if v, err := strconv.ParseFloat(s.Params[name], 64); err == nil {
			load.ByAccount[name] = v
		}
	}
	until := clock.Millis(s.Int("until", int(p.now)))
	for now := p.now; now <= until; now = now.Add(300) {
		p.now = now
		if s.Params["reports"] != "no" {
			load.NewestReport, load.OldestReport = now, now
		}
		p.controller.Observe(now, "writer", load)
	}
}

// report shows the plausible entries of a report that lists e twice.
func (p *scriptRunner) report(s script.Step) []string {
	var list []fairshare.AccountUse
	for _, name := range accounts {
		v, _ := strconv.ParseFloat(s.Params[name], 64)
		list = append(list, fairshare.AccountUse{Service: "writer", Account: name, Amount: v})
	}
	list = append(list, fairshare.AccountUse{Service: "writer", Account: "e", Amount: 900})
	var words []string
	for _, use := range fairshare.Plausible(list) {
		words = append(words, fmt.Sprintf("%s=%v", use.Account, use.Amount))
	}
	return []string{strings.Join(words, " ")}
}

// thousands shows what a node sends of the use of many accounts, as another node receives it.
func thousands(s script.Step) string {
	n, _ := strconv.Atoi(s.Arg(0))
	usage := make(fairshare.Usage)
	for i := range n {
		usage.Add(fairshare.AccountUse{Service: "writer", Account: strconv.Itoa(i + 1), Amount: float64(i + 1)})
	}
	list := fairshare.Plausible(usage.Largest())
	return fmt.Sprintf("%d of %d, first %v", len(list), n, list[0].Amount)
}

func (p *scriptRunner) summary() []string {
	var lines []string
	for _, s := range p.controller.Summaries(p.now) {
		line := fmt.Sprintf("%s active=%v share=%v", s.Service, s.Active, s.Share)
		for _, a := range s.Accounts {
			line += fmt.Sprintf(" %s=%v/%v/%v", a.Account, a.Use, a.Share, a.Limited)
		}
		lines = append(lines, line)
	}
	return lines
}

func showDecision(d fairshare.Decision) string {
	if d.Admitted {
		return "admitted"
	}
	return fmt.Sprintf("held back use=%.0f share=%.0f age=%d wait=%d", d.Use, d.Share, d.Age, d.Wait)
}
