package budget_test

import (
	"math/rand/v2"
	"testing"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
)

func TestWindowIsGenerousAgain(t *testing.T) {
	w := budget.NewWindow(10_000, 0.2, 3)
	spend := func(at clock.Millis) int {
		n := 0
		for w.TryWithdraw(at) {
			n++
		}
		return n
	}
	if got, want := spend(0), 3; got != want {
		t.Errorf("got %d retries at first, want %d", got, want)
	}
	if got, want := spend(9_999), 0; got != want {
		t.Errorf("got %d retries in the same window, want %d", got, want)
	}
	for range 10 {
		w.Deposit(10_500)
	}
	if got, want := spend(10_500), 2; got != want {
		t.Errorf("got %d retries for ten first tries, want %d", got, want)
	}
	if got, want := spend(30_000), 3; got != want {
		t.Errorf("got %d retries later, want %d", got, want)
	}
}

// No window of ten seconds, wherever it begins, holds more retries than its
// first tries and those just before it allow.
func TestWindowNeverExceeds(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	w := budget.NewWindow(10_000, 0.2, 5)
	type event struct {
		at    clock.Millis
		retry bool
	}
	var events []event
	for at := clock.Millis(0); at < 100_000; at += clock.Millis(random.IntN(60)) {
		retry := random.IntN(2) == 0
		if retry && !w.TryWithdraw(at) {
			continue
		}
		if !retry {
			w.Deposit(at)
		}
		events = append(events, event{at, retry})
	}
	for i, begin := range events {
		first, retries := 0, 0
		for _, e := range events {
			if !e.retry && e.at > begin.at-1000 && e.at <= begin.at+10_000 {
				first++
			}
		}
		for _, e := range events[i:] {
			if e.retry && e.at < begin.at+10_000 {
				retries++
			}
		}
		if most := 0.2*float64(first) + 5; float64(retries) > most {
			t.Fatalf("got %d retries in the window from %d, want at most %v", retries, begin.at, most)
		}
	}
}

func TestReturnedRetryIsThereAgain(t *testing.T) {
	w := budget.NewWindow(10_000, 0, 1)
	w.Refund(0)
	for at := clock.Millis(0); at < 3; at++ {
		if !w.TryWithdraw(at) {
			t.Errorf("at %d: got no retry, want the one that was given back", at)
		}
		w.Refund(at)
	}
	if !w.TryWithdraw(5) || w.TryWithdraw(6) {
		t.Error("got another number of retries than one")
	}
}

// A thousand nodes had less than half a repeat each, and none ever made one: of 3,000
// upstreams that were lost, each cost the requests that had begun there. Together they must
// have nearly what all may have, however many nodes it is split among, and never more.
func TestPartsOfARetryAddUp(t *testing.T) {
	const slack, share, requests = 468.0, 0.12, 2250
	for _, nodes := range []int{500, 1000, 2000, 4000} {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, uint64(nodes)))
			windows := make([]*budget.Window, nodes)
			for i := range windows {
				windows[i] = budget.NewWindow(10_000, share, slack/float64(nodes), budget.WithDraw(random.Float64()))
			}
			for i := range requests {
				windows[random.IntN(nodes)].Deposit(clock.Millis(i))
			}
			got := 0
			for range 3 {
				for _, w := range windows {
					if w.TryWithdraw(requests) {
						got++
					}
				}
			}
			allowed := slack + share*requests
			if got := float64(got); got > allowed || got < 0.5*allowed {
				t.Errorf("%d nodes, seed %d: got %.0f retries, want between %.0f and %.0f", nodes, seed, got, 0.5*allowed, allowed)
			}
		}
	}
}
