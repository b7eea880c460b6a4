package dispatch

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// returnWindow is how long a refusal gives precedence to a return of the same work: the
	// longest usual Retry-After and a second for its way.
	returnWindow = maxRetryAfter + 1000
	// maxRefusedWorks bounds the remembered refusals. A node that receives three requests per
	// second refuses 15 in that time.
	maxRefusedWorks = 256
)

func newRefusedWorks() *simplelru.LRU[work.ID, clock.Millis] {
	refused, err := simplelru.NewLRU[work.ID, clock.Millis](maxRefusedWorks, nil)
	if err != nil {
		// NewLRU fails only for a size below one.
		panic(err)
	}
	return refused
}

// rememberRefusal records that a request was refused without being executed.
func (m *Model) rememberRefusal(r *request) {
	if r != nil && m.capacityWaitsEnabled() && r.service.Pipeline != nil && r.executions == 0 {
		m.refusedWorks.Add(r.work.Content, m.now)
	}
}

// returnsAfterRefusal reports whether this node refused the same work shortly before. A refusal
// gives precedence once.
func (m *Model) returnsAfterRefusal(r *request) bool {
	refusedAt, known := m.refusedWorks.Peek(r.work.Content)
	m.refusedWorks.Remove(r.work.Content)
	return known && m.now <= refusedAt.Add(returnWindow)
}
