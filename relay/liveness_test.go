package relay

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/contain"
)

// errProbeLost is the error of a probe without an answer.
var errProbeLost = errors.New("probe lost")

// Guards against an end that counts as confirmed by a probe that was sent before it, and against a probe
// for each of many answers that end at the same time.
func TestLivenessChecksShareTheNextProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		checks := newLivenessChecks(context.Background(), func(context.Context, string, fleet.Incarnation) error {
			probes++
			time.Sleep(10 * time.Millisecond)
			if probes == 1 {
				return nil
			}
			return syscall.ECONNREFUSED
		}, contain.Unguarded)
		target := livenessTarget{upstream: fleet.IncarnationByID("u1"), address: "u1:80"}
		first := make(chan error, 1)
		go func() { first <- checks.check(context.Background(), target) }()
		time.Sleep(time.Millisecond)
		const waiting = 5
		later := make(chan error, waiting)
		for range waiting {
			go func() { later <- checks.check(context.Background(), target) }()
		}
		if err := <-first; err != nil {
			t.Errorf("got error %v of the first check, want none", err)
		}
		for range waiting {
			if err := <-later; !errors.Is(err, syscall.ECONNREFUSED) {
				t.Errorf("got error %v of a check that began after the first probe, want that of the second probe", err)
			}
		}
		if probes != 2 {
			t.Errorf("got %d probes, want 2", probes)
		}
		synctest.Wait()
		if len(checks.next) != 0 {
			t.Errorf("got %d upstreams kept after the last check, want none", len(checks.next))
		}
	})
}

// Guards against a sound answer that is taken for a broken one because one probe was lost, against probes
// after an answer that leaves no doubt, and against a caller's leaving that keeps a session.
func TestLivenessCheckProbesUntilCertain(t *testing.T) {
	for _, tt := range []struct {
		name   string
		errs   []error
		want   error
		probes int
	}{
		{"answer", []error{nil}, nil, 1},
		{"one probe lost", []error{errProbeLost, nil}, nil, 2},
		{"all probes lost", []error{errProbeLost}, errProbeLost, livenessProbes},
		{"nobody listens", []error{syscall.ECONNREFUSED}, syscall.ECONNREFUSED, 1},
		{"another upstream", []error{errProbeLost, ErrOtherUpstream}, ErrOtherUpstream, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				probes := 0
				checks := newLivenessChecks(context.Background(), func(context.Context, string, fleet.Incarnation) error {
					probes++
					return tt.errs[min(probes, len(tt.errs))-1]
				}, contain.Unguarded)
				err := checks.check(context.Background(), livenessTarget{address: "u1:80"})
				if !errors.Is(err, tt.want) || probes != tt.probes {
					t.Errorf("got error %v after %d probes, want %v after %d", err, probes, tt.want, tt.probes)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		checks := newLivenessChecks(context.Background(), func(context.Context, string, fleet.Incarnation) error {
			<-release
			return nil
		}, contain.Unguarded)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if err := checks.check(ctx, livenessTarget{address: "u1:80"}); !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v for a caller that has left, want context.Canceled", err)
		}
		close(release)
	})
}
