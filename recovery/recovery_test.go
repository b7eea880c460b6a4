package recovery_test

import (
	"math"
	"slices"
	"testing"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/recovery"
)

// A stream whose pause is late already must not delay one that can still be in time, and among
// those the more urgent goes first.
func TestOrder(t *testing.T) {
	var q recovery.Queue
	q.Add(recovery.Stream{ID: 1, Priority: 0, LateAt: 90})
	q.Add(recovery.Stream{ID: 2, Priority: 1, LateAt: 110})
	q.Add(recovery.Stream{ID: 3, Priority: 0, LateAt: 150})
	q.Add(recovery.Stream{ID: 4, Priority: 0, LateAt: 120})
	q.Add(recovery.Stream{ID: 5, Priority: 2, LateAt: 101})
	q.Add(recovery.Stream{ID: 6, Priority: 1, LateAt: 50})
	q.Remove(5)
	var got []uint64
	for _, s := range q.Ordered(100) {
		got = append(got, s.ID)
	}
	if want := []uint64{4, 3, 2, 1, 6}; !slices.Equal(got, want) {
		t.Errorf("got order %v, want %v", got, want)
	}
}

// A stalled stream is reported again and again; each report must not extend its wait.
func TestRepeatedReportKeepsWait(t *testing.T) {
	var q recovery.Queue
	q.Add(recovery.Stream{ID: 1, Attempt: 1, WaitingSince: 10, HoldUntil: 500})
	q.Add(recovery.Stream{ID: 1, Attempt: 1, WaitingSince: 210, HoldUntil: 700})
	if got := q.Ordered(220)[0]; got.WaitingSince != 10 || got.HoldUntil != 500 {
		t.Errorf("got waiting since %d until %d, want since 10 until 500", got.WaitingSince, got.HoldUntil)
	}
	q.Add(recovery.Stream{ID: 1, Attempt: 2, WaitingSince: 300, HoldUntil: 900})
	if got := q.Ordered(300)[0]; got.WaitingSince != 300 {
		t.Errorf("got waiting since %d after another attempt, want since 300", got.WaitingSince)
	}
}

// An engine has answered after all: streams that still wait to leave it must not be moved, while those
// that leave another engine or have no attempt left still wait.
func TestRemoveLeaving(t *testing.T) {
	var q recovery.Queue
	alive := fleet.IncarnationByID("alive")
	q.RemoveLeaving(alive)
	q.Add(recovery.Stream{ID: 1, Avoided: alive})
	q.Add(recovery.Stream{ID: 2, Avoided: fleet.IncarnationByID("lost")})
	q.Add(recovery.Stream{ID: 3})
	q.RemoveLeaving(alive)
	if q.Len() != 2 {
		t.Errorf("got %d streams left, want 2", q.Len())
	}
}

// The backlog must shrink at the engine's rate divided among the nodes, and end after a second: an
// estimate that stays would keep streams off an idle engine.
func TestBacklog(t *testing.T) {
	engine := recovery.Engine{ID: fleet.IncarnationByID("e"), Rate: 50, Nodes: 10}
	tests := []struct {
		name   string
		reader recovery.Engine
		at     clock.Millis
		want   float64
	}{
		{"at once", engine, 100, 160},
		{"half read", engine, 180, 80},
		{"read", engine, 260, 0},
		{"slow engine after a second", recovery.Engine{ID: engine.ID, Rate: 1, Nodes: 10}, 1100, 0},
		{"unbounded rate", recovery.Engine{ID: engine.ID, Rate: math.Inf(1), Nodes: 10}, 100, 0},
		{"no node count", recovery.Engine{ID: engine.ID, Rate: 50}, 100, 16},
		{"other engine", recovery.Engine{ID: fleet.IncarnationByID("f"), Rate: 50, Nodes: 10}, 100, 0},
	}
	for _, tt := range tests {
		var b recovery.Backlog
		b.Add(100, engine, 800)
		if got := b.ReadTime(tt.at, tt.reader); got != tt.want {
			t.Errorf("%s: got %v ms, want %v", tt.name, got, tt.want)
		}
	}
}

// Tokens that an engine refused must not keep other streams off it.
func TestBacklogOfRefusedStream(t *testing.T) {
	engine := recovery.Engine{ID: fleet.IncarnationByID("e"), Rate: 50, Nodes: 10}
	var b recovery.Backlog
	b.Add(100, engine, 800)
	b.Add(180, engine, 800)
	b.Remove(190, engine, 800)
	if got := b.ReadTime(190, engine); got != 70 {
		t.Errorf("got %v ms, want 70", got)
	}
	b.Remove(2000, recovery.Engine{ID: fleet.IncarnationByID("f")}, 800)
}
