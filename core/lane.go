package core

import (
	"math"

	"github.com/hoistjunction/hoistjunction/budget"
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/fairqueue"
	"github.com/hoistjunction/hoistjunction/pool"
	"github.com/hoistjunction/hoistjunction/wire"
)

// lane is the line of requests before one pipeline or one plain service.
// Lanes share nothing: what overloads one leaves the others alone.
type lane struct {
	name     string
	pipeline *wire.Pipeline
	groups   []*pool.Group
	queue    *fairqueue.Queue[*request]
	resuming []*request
	budget   *budget.Budget
	running  int

	// slotMillisPerToken is the usual time that a request holds its place, for each
	// token asked for; first is the usual time from dispatch to first token.
	slotMillisPerToken movingAverage
	firstTokenMillis   movingAverage
	affinity           affinity
}

// movingAverage is a moving average with a first guess of zero.
type movingAverage struct {
	value float64
	count int
}

// minSampleWeight is the weight of a new sample once there are enough.
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

// slots is how many requests the lane can have running: as many as its
// tightest stage.
func (l *lane) slots() float64 {
	least := math.Inf(1)
	for _, g := range l.groups {
		least = math.Min(least, g.Limit())
	}
	return least
}

// hasUpstreams reports whether every stage has upstreams at all.
func (l *lane) hasUpstreams() bool {
	for _, g := range l.groups {
		if g.Len() == 0 {
			return false
		}
	}
	return true
}

// predictedWait predicts how long a request would wait in the queue.
func (l *lane) predictedWait(a *account, priority int, cost float64) clock.Millis {
	slots := l.slots()
	if l.queue.Len() == 0 && float64(l.running)+1 <= slots {
		return 0
	}
	own := float64(l.queue.AccountLen(priority, a.config.GetName())) + 1
	share := a.weight() / l.queue.ActiveWeight(priority, a.config.GetName(), a.weight())
	behind := math.Min(own/share, float64(l.queue.Len())+1)
	ahead := float64(l.queue.Ahead(priority)) + behind + float64(len(l.resuming))
	hold := l.slotMillisPerToken.value * cost
	return clock.Millis(ahead * hold / math.Max(slots, 1))
}
