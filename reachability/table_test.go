package reachability_test

import (
	"fmt"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/reachability"
)

// link returns the link to an upstream of a data centre.
func link(id fleet.ID, dataCentre string) reachability.Link {
	return reachability.Link{Upstream: fleet.IncarnationByID(id), DataCentre: dataCentre}
}

// Guards against a cut that is found too soon or never, by the number of upstreams that are listed, and
// against one by upstreams that have never answered while others are listed: they may not exist.
func TestFailuresUntilCut(t *testing.T) {
	const reached, doubtful, cut = reachability.Reached, reachability.Doubtful, reachability.Cut
	tests := []struct {
		listed int
		// answered is the number of those that fail that have answered before.
		answered int
		want     []reachability.State
	}{
		{1, 0, []reachability.State{reached}},
		{2, 0, []reachability.State{reached, cut}},
		{3, 0, []reachability.State{reached, doubtful, cut}},
		{6, 0, []reachability.State{reached, doubtful, doubtful, doubtful, doubtful, cut}},
		{100, 0, []reachability.State{reached, doubtful, doubtful, doubtful, doubtful, doubtful}},
		{1, 1, []reachability.State{reached}},
		{2, 2, []reachability.State{reached, cut}},
		{3, 1, []reachability.State{reached, doubtful, cut}},
		{100, 1, []reachability.State{reached, doubtful, doubtful, cut}},
		{100, 4, []reachability.State{reached, doubtful, doubtful, cut}},
	}
	for _, tt := range tests {
		table := reachability.New()
		for i := range tt.answered {
			table.RecordAnswer(0, link(fleet.ID(rune('a'+i)), "dc"), tt.listed)
		}
		for i, want := range tt.want {
			id := fleet.ID(rune('a' + i))
			// The same upstream twice is one failure.
			table.RecordFailure(clock.Millis(i+1), link(id, "dc"), reachability.Silent, tt.listed)
			table.RecordFailure(clock.Millis(i+1), link(id, "dc"), reachability.NotConnected, tt.listed)
			if got := table.State("dc"); got != want {
				t.Errorf("%d listed, %d answered, %d failed: got %v, want %v", tt.listed, tt.answered, i+1, got, want)
			}
		}
	}
}

// Guards against a cut that outlasts an answer, and against one that an old failure brings back.
func TestOneAnswerEndsACut(t *testing.T) {
	table := reachability.New()
	table.RecordAnswer(0, link("a", "dc"), 10)
	for i := range 4 {
		table.RecordFailure(10, link(fleet.ID(rune('a'+i)), "dc"), reachability.Silent, 10)
	}
	change, changed := table.RecordAnswer(700, link("z", "dc"), 10)
	if !changed || change.State != reachability.Reached || change.Lasted != 690 || len(table.Unsettled()) != 0 {
		t.Errorf("got %v, changed %v, unsettled %v, want reached after 690 ms", change, changed, table.Unsettled())
	}
	if _, changed := table.RecordFailure(710, link("a", "dc"), reachability.Silent, 10); changed {
		t.Error("got another state after one failure, want none")
	}
}

// Guards against doubt about a data centre that has just answered.
func TestDoubtSparesRecentAnswers(t *testing.T) {
	table := reachability.New()
	table.RecordAnswer(1000, link("a", "near"), 5)
	if _, changed := table.Doubt(1200, "near", 5); changed {
		t.Error("got doubt 200 ms after an answer, want none")
	}
	if change, changed := table.Doubt(1400, "near", 5); !changed || change.State != reachability.Doubtful {
		t.Errorf("got %v, changed %v, want doubt 400 ms after an answer", change, changed)
	}
	if _, changed := table.Doubt(1400, "never", 5); !changed {
		t.Error("got no doubt about a data centre that never answered, want doubt")
	}
}

// Guards against an overloaded node that goes on doubting its links by what it was too late to hear.
func TestWithdrawSilence(t *testing.T) {
	for _, tt := range []struct {
		kind reachability.Failure
		want reachability.State
	}{{reachability.Silent, reachability.Reached}, {reachability.ProbeUnanswered, reachability.Reached}, {reachability.BrokenOff, reachability.Cut}, {reachability.NotConnected, reachability.Cut}} {
		table := reachability.New()
		for i := range 4 {
			table.RecordFailure(100, link(fleet.ID(fmt.Sprint("e", i)), "a"), tt.kind, 4)
		}
		if got, want := table.State("a"), reachability.Cut; got != want {
			t.Fatalf("%s: got %s before, want %s", tt.kind, got, want)
		}
		table.WithdrawSilence(200, "a", 4)
		if got := table.State("a"); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.kind, got, tt.want)
		}
		if got, want := len(table.Unsettled()) == 0, tt.want == reachability.Reached; got != want {
			t.Errorf("%s: got settled %v, want %v", tt.kind, got, want)
		}
	}
}
