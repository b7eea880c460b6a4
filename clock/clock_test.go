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

func TestUntilCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := clocktest.NewVM()
		c := clock.New(clock.WithVM(vm))
		began := time.Now()
		time.AfterFunc(time.Second, func() { vm.Suspend(5 * time.Second) })
		c.WaitUntil(t.Context(), 5900)
		if got, most := time.Since(began), 1100*time.Millisecond; got > most {
			t.Errorf("got a wait of %v, want %v at most", got, most)
		}
		if got, want := c.Now(), clock.Millis(5900); got < want {
			t.Errorf("got %d after the wait, want %d or more", got, want)
		}
	})
}

func TestWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vm := clocktest.NewVM()
		wakes := clock.New(clock.WithVM(vm)).Suspensions()
		told := make(chan clock.Millis, 4)
		wakes.OnResume(func(slept clock.Millis) { told <- slept })
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- wakes.Run(ctx) }()
		time.Sleep(time.Second)
		vm.Suspend(4 * time.Second)
		time.Sleep(time.Second)
		vm.Suspend(700 * time.Millisecond)
		time.Sleep(time.Second)
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v, want the end of the context", err)
		}
		close(told)
		var got []clock.Millis
		for slept := range told {
			got = append(got, slept)
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
