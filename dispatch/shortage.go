package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

const (
	// shortageEnds is after how long without a refusal a shortage is over.
	shortageEnds clock.Millis = 1000
	// longestHeal bounds for how long a gap in the layers is expected to last.
	longestHeal clock.Millis = 10_000
	// longestBack bounds the time after which a refused caller is told to come
	// back: gaps in the layers are closed within some three seconds.
	longestBack clock.Millis = 4000
	// leastSpread and spread set the callers that come back apart: each waits for
	// its own part of the time, so that they do not all return at once.
	leastSpread = 0.75
	spread      = 0.5
)

// shortage is a span in which requests of a service were refused for want of
// something that may come back.
type shortage struct {
	since clock.Millis
	last  clock.Millis
}

// note takes in a refusal, and returns for how long the shortage has lasted.
func (s *shortage) note(now clock.Millis) clock.Millis {
	if now > s.last.Add(shortageEnds) {
		s.since = now
	}
	s.last = now
	return now.Sub(s.since)
}

const (
	// usableAdvice is the part of the time that a caller has left within which it should come
	// back: the rest is for the answer.
	usableAdvice = 0.75
	// cutAdvice is the part that it is told where what it lacks is expected later: nobody
	// knows for certain, and one that comes back after its time is never served.
	cutAdvice = 1.0 / 3
)

// inTimeOf is when a caller should come back by an estimate, in the time that it has left.
func (r *request) inTimeOf(now, back clock.Millis) clock.Millis {
	left := float64(r.deadline.Sub(now))
	if r.msg.Remaining <= 0 || float64(back) <= usableAdvice*left {
		return back
	}
	return max(clock.Millis(cutAdvice*left), 0)
}

// comeBack is when a refused caller should come back: a shortage that has lasted
// for some time is likely to last as long again.
func (m *Model) comeBack(r *request, reason Reason, lack *Lack) clock.Millis {
	if reason == ReasonNoHolder {
		if healed := m.healedIn(r, lack); healed > 0 {
			return healed
		}
	}
	if reason == ReasonNoPlace {
		return backSoon
	}
	least := backSoon
	if reason == ReasonNoHolder || reason == ReasonNoUpstream {
		least = backHealing
	}
	lasted := float64(m.lasted(m.shortages, r)) * (leastSpread + spread*position(r.msg.CallerID))
	return min(max(least, clock.Millis(lasted)), longestBack)
}

// lasted notes a refusal, and returns for how long there have been such of the service.
func (m *Model) lasted(shortages map[string]*shortage, r *request) clock.Millis {
	s := shortages[r.service.Name]
	if s == nil {
		s = &shortage{since: m.now, last: m.now}
		shortages[r.service.Name] = s
	}
	return s.note(m.now)
}

// healedIn is when a caller should come back that was refused since layers have no engine:
// once they have been loaded by another one, which takes the planners some 1.2 s beside the
// load itself, and a little spread out. Zero where they should have been by now. A caller
// that is told less is refused again, as two in three were that came back after 1.5 s.
func (m *Model) healedIn(r *request, lack *Lack) clock.Millis {
	p := r.service.Pipeline
	if p == nil || lack == nil {
		return 0
	}
	load := p.LoadMS * float64(lack.Layers.Len()) / float64(max(p.Layers, 1))
	left := min(backHealing+clock.Millis(load), longestHeal) - m.lasted(m.gaps, r)
	if left < backSoon {
		return 0
	}
	return left + clock.Millis(spread*position(r.msg.CallerID)*load)
}
