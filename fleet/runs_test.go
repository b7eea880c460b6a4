package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.checks": "2000"}) }

// Two runs of one upstream, told in any order: the word of the earlier one comes from lists
// that are late, from other nodes, or after an outage. What is known in the end is what the
// later one has said of itself, and no list of changes shows the earlier one after it.
func TestWordOfAnEarlierRunChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		earlier, later := drawReports(t, "earlier", 100), drawReports(t, "later", 200)
		got, want := fleet.NewView(), fleet.NewView()
		now, ended := clock.Millis(0), false
		for len(earlier) > 0 || len(later) > 0 {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			if len(later) == 0 || len(earlier) > 0 && rapid.Bool().Draw(t, "earlier next") {
				for _, c := range deliver(got, now, earlier[0]) {
					if ended && !c.Gone {
						t.Fatalf("got %s told after the later run, want nothing of it", c.ID)
					}
				}
				earlier = earlier[1:]
				continue
			}
			deliver(got, now, later[0])
			deliver(want, now, later[0])
			ended, later = true, later[1:]
		}
		if got, want := fmt.Sprint(got.All()), fmt.Sprint(want.All()); got != want {
			t.Fatalf("got %s, want what the later run has said: %s", got, want)
		}
	})
}

// report is one thing that is said of a run of an upstream, and by whom.
type report struct {
	by     string
	change fleet.Change
}

// drawReports draws what is said of a run, beginning with its entry.
func drawReports(t *rapid.T, label string, born fleet.StartTime) []report {
	run := fleet.NewIncarnation("u1", born)
	words := []report{{by: "store", change: fleet.Change{ID: run, Upstream: fleet.Upstream{ID: run, Address: "a1"}}}}
	for range rapid.IntRange(0, 4).Draw(t, label) {
		u := fleet.Upstream{ID: run, Address: rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "address")}
		u.Held.To = rapid.IntRange(0, 2).Draw(t, "held")
		u.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		words = append(words, report{
			by:     rapid.SampledFrom([]string{"store", "list", "peer", "hearsay"}).Draw(t, "by"),
			change: fleet.Change{ID: run, Gone: rapid.IntRange(0, 4).Draw(t, "gone") == 0, Upstream: u},
		})
	}
	return words
}

// deliver tells a view a word.
func deliver(v *fleet.View, now clock.Millis, w report) []fleet.Change {
	var list []fleet.Upstream
	if !w.change.Gone {
		list = []fleet.Upstream{w.change.Upstream}
	}
	switch {
	case w.by == "hearsay":
		return v.NoteIncarnation(w.change.ID)
	case w.by == "store" || w.change.Gone:
		return v.Apply(now, slices.Clone([]fleet.Change{w.change}), false)
	case w.by == "peer":
		return v.ApplyPeerList(now, list)
	default:
		return v.ReplaceList(now, []fleet.Change{w.change}, false)
	}
}
