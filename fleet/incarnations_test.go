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

// Guards against reports about an earlier incarnation changing what is known of a later one.
// Such reports arrive late from lists, other nodes, or after an outage. Whatever the order, the
// view ends with the state that the later incarnation reported, and once that is listed no
// change lists the earlier one.
func TestReportsOfEarlierIncarnationAreIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		earlier, later := drawReports(t, "earlier", 100), drawReports(t, "later", 200)
		got, want := fleet.NewView(), fleet.NewView()
		now, laterListed := clock.Millis(0), false
		for len(earlier) > 0 || len(later) > 0 {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "pause"))
			if len(later) == 0 || len(earlier) > 0 && rapid.Bool().Draw(t, "earlier next") {
				for _, c := range deliver(got, now, earlier[0]) {
					if laterListed && !c.Gone {
						t.Fatalf("got a change of %s after the later incarnation was listed, want none", c.ID)
					}
				}
				earlier = earlier[1:]
				continue
			}
			deliver(got, now, later[0])
			deliver(want, now, later[0])
			laterListed, later = true, later[1:]
		}
		if got, want := fmt.Sprint(got.All()), fmt.Sprint(want.All()); got != want {
			t.Fatalf("got upstreams %s, want those from the later incarnation's reports alone: %s", got, want)
		}
	})
}

// report is a change of an upstream's incarnation and the source that delivers it.
type report struct {
	source string
	change fleet.Change
}

// drawReports draws reports about an incarnation, starting with its entry in the store.
func drawReports(t *rapid.T, label string, startedAt fleet.StartTime) []report {
	incarnation := fleet.NewIncarnation("u1", startedAt)
	reports := []report{{source: "store", change: fleet.Change{ID: incarnation, Upstream: fleet.Upstream{ID: incarnation, Address: "a1"}}}}
	for range rapid.IntRange(0, 4).Draw(t, label) {
		u := fleet.Upstream{ID: incarnation, Address: rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "address")}
		u.Held.To = rapid.IntRange(0, 2).Draw(t, "held")
		u.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		reports = append(reports, report{
			source: rapid.SampledFrom([]string{"store", "list", "peer", "hearsay"}).Draw(t, "by"),
			change: fleet.Change{ID: incarnation, Gone: rapid.IntRange(0, 4).Draw(t, "gone") == 0, Upstream: u},
		})
	}
	return reports
}

// deliver applies a report to a view by the method that its source uses.
func deliver(v *fleet.View, now clock.Millis, r report) []fleet.Change {
	var upstreams []fleet.Upstream
	if !r.change.Gone {
		upstreams = []fleet.Upstream{r.change.Upstream}
	}
	switch {
	case r.source == "hearsay":
		return v.NoteIncarnation(r.change.ID)
	case r.source == "store" || r.change.Gone:
		return v.Apply(now, slices.Clone([]fleet.Change{r.change}), false)
	case r.source == "peer":
		return v.ApplyPeerList(now, upstreams)
	default:
		return v.ReplaceList(now, []fleet.Change{r.change}, false)
	}
}
