package core

import (
	"slices"

	"github.com/hoistjunction/hoistjunction/clock"
	"github.com/hoistjunction/hoistjunction/outcome"
	"github.com/hoistjunction/hoistjunction/pool"
)

// A step is identified by request, generation and position. An answer that does not match the step
// in flight is dropped and counted as stale: it is late, a duplicate, or meant for another request.

// bytesPerPosition is the approximate number of prompt bytes for each position. It is only used to
// estimate the time of the first step.
const bytesPerPosition = 3

// defaultStepTimeout is the timeout of a step at an upstream that has not answered any step.
const defaultStepTimeout clock.Millis = 2000

// startGeneration sends the prompt and the tokens emitted so far through a new chain of stages. The
// stages reject steps of earlier generations, and no token is emitted twice.
func (m *Model) startGeneration(r *request) {
	r.generation++
	if r.generation > 1 {
		m.stats.Resumed++
	}
	r.step = &StepCmd{
		Request:    r.id,
		Generation: r.generation,
		Prompt:     r.spec.Prompt,
		Tokens:     slices.Clone(r.tokens),
		Priority:   r.priority,
	}
	r.positions = len(r.spec.Prompt)/bytesPerPosition + len(r.tokens) + 1
	r.stage = 0
	m.sendStep(r)
}

// sendStep sends the current step r.step to the current stage r.stage.
func (m *Model) sendStep(r *request) {
	u := r.chain[r.stage]
	if u.Ejected() && m.mayResume(r) {
		m.resume(r)
		return
	}
	r.step.Upstream = u.Name()
	r.step.Address = u.Listing().Address
	r.sentAt = m.now
	r.timeoutAt = m.now.Add(m.stepTimeout(u, r.positions) << min(r.failuresAt(u), maxStepTimeoutDoublings))
	m.addCmd(r.step)
}

// maxStepTimeoutDoublings bounds the time of a step at an engine that has failed the request before. Each
// failure doubles it: what is slow for all of a group's engines, such as this VM, must not use up the
// request's generations.
const maxStepTimeoutDoublings = 5

// failuresAt returns how often an upstream has failed the request.
func (r *request) failuresAt(u *pool.Upstream) int {
	n := 0
	for _, failed := range r.failed {
		if failed == u {
			n++
		}
	}
	return n
}

// stepTimeout returns how long a step may stay unanswered before its stage counts as failed.
func (m *Model) stepTimeout(u *pool.Upstream, positions int) clock.Millis {
	if u.StepMillis() == 0 {
		return defaultStepTimeout
	}
	expected := u.StepMillis() + u.PrefillMillis()*float64(positions)
	return max(clock.Millis(expected*m.policy.StepLimitFactor), m.policy.LeastStepLimit)
}

// stepDone handles the result of a step: it sends the output to the next stage, or emits the token
// of the last stage.
func (m *Model) stepDone(msg *StepDoneMsg) {
	u := m.pool.Get(msg.Upstream)
	if u == nil {
		m.stats.Stale++
		return
	}
	m.recordEngineStatus(u, msg.Load, msg.Leaving)
	r := m.requests[msg.Request]
	if !r.awaitsStep(u, msg.Generation, msg.Position) {
		m.stats.Stale++
		return
	}
	m.stats.Steps++
	m.pool.RecordSuccess(u, m.now.Sub(r.sentAt), msg.Positions)
	r.positions = msg.Positions
	if r.stage+1 < len(r.chain) {
		m.nextStage(r, msg)
		return
	}
	m.emitToken(r, msg)
}

// awaitsStep reports whether a result or failure belongs to the step that the request waits for.
func (r *request) awaitsStep(u *pool.Upstream, generation, position uint32) bool {
	return r != nil && r.phase == phaseRunning && r.step != nil &&
		r.chain[r.stage] == u && r.generation == generation && r.step.Position == position
}

func (m *Model) nextStage(r *request, msg *StepDoneMsg) {
	r.stage++
	r.step.Prompt = ""
	r.step.Tokens = nil
	r.step.Inputs = msg.Outputs
	m.sendStep(r)
}

// emitToken emits the token that the last stage chose, and starts the next position at the first
// stage.
func (m *Model) emitToken(r *request, msg *StepDoneMsg) {
	m.recordToken(r)
	r.tokens = append(r.tokens, msg.Token)
	r.texts = append(r.texts, msg.Text)
	m.stats.Tokens++
	r.emit = EmitCmd{Callers: r.callers, Texts: r.texts[len(r.texts)-1:]}
	m.addCmd(&r.emit)
	if msg.Last || len(r.tokens) >= r.spec.MaxTokens {
		m.finishPipeline(r)
		return
	}
	r.step.Position += uint32(msg.Positions)
	r.step.Inputs = nil
	r.step.Tokens = r.tokens[len(r.tokens)-1:]
	r.stage = 0
	r.positions = 1
	m.sendStep(r)
}

func (m *Model) finishPipeline(r *request) {
	l := r.route.lane
	held := m.now.Sub(r.dispatchedAt)
	l.slotMillisPerToken.add(float64(held) / r.cost())
	if m.policy.Affinity {
		l.affinity.put(m.now, r.spec.Prompt, r.chain)
	}
	m.end(r, FinishCmd{Outcome: outcome.Done})
}

// recordToken compares the time of a token with its bound and adapts the limits of the stages: they
// grow slightly when the bound was met, and the slowest stage's limit shrinks when the bound was
// missed.
func (m *Model) recordToken(r *request) {
	times := &r.route.latencies
	if r.firstTokenAt == 0 {
		r.firstTokenAt = m.now
		r.lastTokenAt = m.now
		r.route.lane.firstTokenMillis.add(float64(m.now.Sub(r.dispatchedAt)))
		times.recordFirstToken(m.now.Sub(r.arrivedAt))
		return
	}
	gap := m.now.Sub(r.lastTokenAt)
	r.lastTokenAt = m.now
	times.recordTokenGap(gap)
	bound := r.route.tokenBound()
	if gap > bound {
		r.lateTokens++
	}
	if m.policy.Adapt {
		m.pool.RecordChainTime(m.now, r.chain, gap, bound)
	}
}
