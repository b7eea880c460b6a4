package reading_test

import (
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/internal/script"
	"github.com/hoistjunction/hoistjunction/reading"
	"github.com/hoistjunction/hoistjunction/wire"
)

func TestRosterScripts(t *testing.T) {
	script.Run(t, "testdata", func(t *testing.T) func(script.Step) []string {
		roster := reading.NewRoster(&wire.Member{Name: "n3"}, 0, 2000)
		return func(s script.Step) []string { return runStep(t, roster, s) }
	})
}

func runStep(t *testing.T, r *reading.Roster, s script.Step) []string {
	now := clock.Millis(s.Int("at", 0))
	switch s.Verb {
	case "near":
		var members []*wire.Member
		for _, name := range s.Args {
			members = append(members, &wire.Member{Name: name, Address: name + ":1"})
		}
		r.SetGroup(members)
	case "heard", "refuses":
		for _, name := range s.Args {
			r.UpdateStatus(now, name, s.Verb == "heard")
		}
	case "failed":
		for _, name := range s.Args {
			r.ReaderFailed(now, name)
		}
	case "away":
		r.StoreLost(now)
	case "back":
		r.StoreRecovered(now)
	case "reader":
		return []string{readerName(r, now, s.Params["asked"] != "")}
	default:
		t.Fatalf("line %d: unknown verb %q", s.Line, s.Verb)
	}
	return nil
}

func readerName(r *reading.Roster, now clock.Millis, followed bool) string {
	switch m := r.Reader(now); {
	case m != nil:
		return m.GetName()
	case r.ShouldWait(now, followed):
		return "leaves it to others"
	case followed || r.IsReader(now):
		return "itself for all"
	default:
		return "itself alone"
	}
}
