package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cockroachdb/errors"

	"github.com/hoistjunction/hoistjunction/fleet"
	"github.com/hoistjunction/hoistjunction/internal/process"
	"github.com/hoistjunction/hoistjunction/platform"
	"github.com/hoistjunction/hoistjunction/standin"
)

// Times of the stage in which upstreams leave after the connections to the store have
// gone silent.
const (
	// leavingWithin is how long after the store has taken that an upstream leaves it
	// may still get requests; the nodes' settings say the same.
	leavingWithin = 2 * time.Second
	// settledAfter is how long after the last disturbance the promise holds again.
	settledAfter = 3 * time.Second
	// lateSlack is what a busy machine may add. A wait that outlasts the promise does
	// so by several seconds.
	lateSlack = 1500 * time.Millisecond
	// watched is how long after the promise holds requests that come too late are
	// looked for.
	watched = 3 * time.Second
	// longestMutePause bounds the time between two silences, and between the last one
	// and the leaving.
	longestMutePause = 1500 * time.Millisecond
	// lookAtStore is how often the store is asked whether it has taken an entry.
	lookAtStore = 20 * time.Millisecond
)

// leaver is an upstream that leaves.
type leaver struct {
	name    string
	process *process.Process
	// bound is when the last request may have reached it.
	bound time.Time
}

// leave has the open connections between the nodes and the store go silent for good,
// once or twice, and upstreams leave soon after. What a node knows of the list must not
// stand still for longer than the promise allows.
func (s *soak) leave(random *rand.Rand) error {
	var silent time.Time
	for range 1 + random.IntN(2) {
		for _, link := range s.world.storeLink {
			link.mute()
		}
		silent = time.Now()
		time.Sleep(time.Duration(random.Int64N(int64(longestMutePause))))
	}
	s.note("connections to the store silent for good", 0, nil)
	leavers, err := s.leavers(random)
	if err != nil {
		return err
	}
	for i := range leavers {
		if err := s.depart(&leavers[i], silent); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(leavers[len(leavers)-1].bound.Add(watched)))
	return s.checkLeavers(leavers)
}

// leavers are the desk and an engine. Another desk takes the place of the first.
func (s *soak) leavers(random *rand.Rand) ([]leaver, error) {
	desk := s.world.desks[len(s.world.desks)-1]
	if err := s.world.startDesk("desk-2"); err != nil {
		return nil, err
	}
	engine := random.IntN(len(s.world.engines))
	id := fmt.Sprintf("engine-%d-", engine)
	return []leaver{{name: "desk-1", process: desk}, {name: id, process: s.world.engines[engine]}}, nil
}

// depart has an upstream leave, and waits until the store has taken that.
func (s *soak) depart(l *leaver, silent time.Time) error {
	if err := post("http://"+l.process.Address()+"/leave", nil); err != nil {
		return err
	}
	for until := time.Now().Add(recovery); ; time.Sleep(lookAtStore) {
		taken, err := s.world.listedLeaving(l.name)
		if err != nil {
			return err
		}
		if taken {
			break
		}
		if time.Now().After(until) {
			return errors.Newf("soak: the store does not show that %s leaves", l.name)
		}
	}
	bound := time.Now().Add(leavingWithin)
	if settled := silent.Add(settledAfter); settled.After(bound) {
		bound = settled
	}
	l.bound = bound.Add(lateSlack)
	s.note(l.name+" leaves", 0, nil)
	return nil
}

func (s *soak) checkLeavers(leavers []leaver) error {
	for _, l := range leavers {
		last, err := lastArrival(l.process)
		if err != nil {
			return err
		}
		if last.After(l.bound) {
			return errors.Wrapf(ErrBroken, "a request reached %s %v after it may have", l.name, last.Sub(l.bound))
		}
	}
	return nil
}

// lastArrival asks a stand-in when a request has reached it last.
func lastArrival(p *process.Process) (time.Time, error) {
	resp, err := calls.Get("http://" + p.Address() + "/arrival")
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var arrival standin.LastRequest
	if err := json.NewDecoder(resp.Body).Decode(&arrival); err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(arrival.AtMS), nil
}

// listedLeaving tells whether the store shows that a server leaves whose id begins with
// a text.
func (w *world) listedLeaving(id string) (bool, error) {
	store := platform.NewStore(w.store.Address(), zap.NewNop())
	defer store.Close()
	reading, err := store.ReadUpstreams(context.Background())
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(reading.Changes, func(c fleet.Change) bool {
		return strings.HasPrefix(c.ID.String(), id) && c.Upstream.Leaving
	}), nil
}
