package clock_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/clock/clocktest"
)

func TestClockCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := clocktest.NewVM()
		c := clock.New(clock.WithVM(vm))
		time.Sleep(300 * time.Millisecond)
		vm.Suspend(6 * time.Second)
		if got, want := c.Now(), clock.Millis(6300); got != want {
			t.Errorf("got %d, want %d", got, want)
		}
	})
}

func TestWaitUntilCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := clocktest.NewVM()
		c := clock.New(clock.WithVM(vm))
		start := time.Now()
		time.AfterFunc(time.Second, func() { vm.Suspend(5 * time.Second) })
		c.WaitUntil(t.Context(), 5900)
		if got, limit := time.Since(start), 1100*time.Millisecond; got > limit {
			t.Errorf("got a wait of %v, want at most %v", got, limit)
		}
		if got, want := c.Now(), clock.Millis(5900); got < want {
			t.Errorf("got %d after the wait, want %d or more", got, want)
		}
	})
}

func TestSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := clocktest.NewVM()
		suspensions := clock.New(clock.WithVM(vm)).Suspensions()
		notified := make(chan clock.Millis, 4)
		suspensions.OnResume(func(d clock.Millis) { notified <- d })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- suspensions.Run(ctx) }()
		time.Sleep(time.Second)
		vm.Suspend(4 * time.Second)
		time.Sleep(time.Second)
		vm.Suspend(700 * time.Millisecond)
		time.Sleep(time.Second)
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want context.Canceled", err)
		}
		close(notified)
		var got []clock.Millis
		for d := range notified {
			got = append(got, d)
		}
		if want := []clock.Millis{4000, 700}; !slices.Equal(got, want) {
			t.Errorf("got suspensions %v, want %v", got, want)
		}
	})
}

func BenchmarkNow(b *testing.B) {
	c := clock.New()
	for b.Loop() {
		_ = c.Now()
	}
}
