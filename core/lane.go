package core

import (
	"math"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// lane queues and counts the requests for one pipeline or one plain service. Lanes share no state,
// so that an overload of one does not affect the others.
type lane struct {
	name     string
	pipeline *wire.Pipeline
	groups   []*pool.Group
	queue    *fairqueue.Queue[*request]
	resuming []*request
	budget   *budget.Budget
	running  int

	// slotMillisPerToken is the average time that a request holds its slots, for each requested
	// token. firstTokenMillis is the average time from dispatch to the first token.
	slotMillisPerToken movingAverage
	firstTokenMillis   movingAverage
	affinity           affinity
}

// movingAverage is an exponential moving average that starts at zero.
type movingAverage struct {
	value float64
	count int
}

// minSampleWeight is the weight of a new sample after the first 16. Until then the average is the
// mean of the samples.
const minSampleWeight = 1.0 / 16

func (s *movingAverage) add(sample float64) {
	s.count++
	share := math.Max(minSampleWeight, 1/float64(s.count))
	s.value += (sample - s.value) * share
}

func (m *Model) newLane(name string, p *wire.Pipeline, groups []string) *lane {
	l := &lane{name: name, pipeline: p, budget: m.newBudget(), affinity: newAffinity()}
	l.queue = fairqueue.New[*request]()
	if !m.policy.Fair {
		l.queue = fairqueue.New[*request](fairqueue.WithArrivalOrder())
	}
	l.setGroups(m.pool, p, groups)
	return l
}

func (l *lane) setGroups(p *pool.Pool, pipeline *wire.Pipeline, groups []string) {
	l.pipeline = pipeline
	l.groups = l.groups[:0]
	for _, g := range groups {
		l.groups = append(l.groups, p.Group(g))
	}
}

// slots returns how many requests the lane can execute at once, which is the limit of its smallest
// stage.
func (l *lane) slots() float64 {
	least := math.Inf(1)
	for _, g := range l.groups {
		least = math.Min(least, g.Limit())
	}
	return least
}

// hasUpstreams reports whether every stage has at least one upstream.
func (l *lane) hasUpstreams() bool {
	for _, g := range l.groups {
		if g.Len() == 0 {
			return false
		}
	}
	return true
}

// predictedWait returns how long a new request is predicted to wait in the queue, from the requests
// ahead of it and the average time that each holds its slots.
func (l *lane) predictedWait(a *account, priority int, cost float64) clock.Millis {
	slots := l.slots()
	if l.queue.Len() == 0 && float64(l.running)+1 <= slots {
		return 0
	}
	ownQueued := float64(l.queue.AccountLen(priority, a.config.GetName())) + 1
	share := a.weight() / l.queue.ActiveWeight(priority, a.config.GetName(), a.weight())
	aheadByShare := math.Min(ownQueued/share, float64(l.queue.Len())+1)
	ahead := float64(l.queue.Ahead(priority)) + aheadByShare + float64(len(l.resuming))
	holdMillis := l.slotMillisPerToken.value * cost
	return clock.Millis(ahead * holdMillis / math.Max(slots, 1))
}
