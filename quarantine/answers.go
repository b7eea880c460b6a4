package quarantine

import (
	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/work"
)

const (
	// answersPeriod is the length of one of the two periods over which answers are counted.
	answersPeriod clock.Millis = 30_000
	// maxCountedParts bounds the parts that are counted in a period; further ones count as never
	// answered. Both periods together take less than 1 MB.
	maxCountedParts = 4096
)

// answers counts the answers that this node has relayed by the parts of their prompts, over the
// current and the previous period.
type answers struct {
	current, previous answerPeriod
	startedAt         clock.Millis
}

type answerPeriod struct {
	requests int
	parts    map[work.ID]partAnswers
}

// partAnswers counts the answers to requests with a part.
type partAnswers struct {
	count  int
	lastAt clock.Millis
}

func newAnswers() answers {
	return answers{current: newAnswerPeriod(), previous: newAnswerPeriod()}
}

func newAnswerPeriod() answerPeriod { return answerPeriod{parts: make(map[work.ID]partAnswers)} }

// record counts an answer to a request.
func (a *answers) record(now clock.Millis, r work.Request) {
	a.advance(now)
	a.current.requests++
	for _, part := range r.Parts {
		known, ok := a.current.parts[part]
		if ok || len(a.current.parts) < maxCountedParts {
			a.current.parts[part] = partAnswers{count: known.count + 1, lastAt: now}
		}
	}
}

// advance begins a new period if the current one is over.
func (a *answers) advance(now clock.Millis) {
	switch passed := now.Sub(a.startedAt); {
	case passed < answersPeriod:
		return
	case passed < 2*answersPeriod:
		a.previous, a.current = a.current, newAnswerPeriod()
	default:
		a.previous, a.current = newAnswerPeriod(), newAnswerPeriod()
	}
	a.startedAt = now
}

// of returns how many requests with a part were answered, of how many in all.
func (a *answers) of(part work.ID) Share {
	return Share{
		Answers:  a.current.parts[part].count + a.previous.parts[part].count,
		Requests: a.current.requests + a.previous.requests,
	}
}

// Share is how many of the requests that a node has had answered lately had a part.
type Share struct{ Answers, Requests int }

// estimate estimates the share of all requests that have the part. It is 1/2 without any answers, and
// small for a part that is in none of many.
func (s Share) estimate() float64 { return float64(s.Answers+1) / float64(s.Requests+2) }

// lastAt returns when this node last relayed an answer to a request with a part; clock.Never if it
// has not lately.
func (a *answers) lastAt(part work.ID) clock.Millis {
	if p, ok := a.current.parts[part]; ok {
		return p.lastAt
	}
	if p, ok := a.previous.parts[part]; ok {
		return p.lastAt
	}
	return clock.Never
}
