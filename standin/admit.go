package standin

import (
	"time"

	"github.com/hoistjunction/hoistjunction/wire"
)

// sessionID names a request at an engine.
type sessionID struct {
	node    uint64
	request uint64
}

// enqueue queues a step, or refuses it before anything has begun.
func (e *Engine) enqueue(step *wire.StepRequest, answer func(*wire.StepReply)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := sessionID{node: step.GetNode(), request: step.GetRequest()}
	if step.GetEnd() {
		if s := e.sessions[id]; s != nil && s.generation <= step.GetGeneration() {
			delete(e.sessions, id)
		}
		return
	}
	if status := e.admissionStatus(id, step); status != wire.StepStatus_STEP_STATUS_OK {
		answer(e.newReply(step, status))
		return
	}
	e.waiting.add(&queuedStep{step: step, sendReply: answer})
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) admissionStatus(id sessionID, step *wire.StepRequest) wire.StepStatus {
	s := e.sessions[id]
	if s != nil && s.generation > step.GetGeneration() {
		e.counts.Fenced++
		return wire.StepStatus_STEP_STATUS_FENCED
	}
	if s != nil && s.generation == step.GetGeneration() {
		return wire.StepStatus_STEP_STATUS_OK
	}
	switch {
	case step.GetPosition() != 0:
		e.counts.Gaps++
		return wire.StepStatus_STEP_STATUS_GAP
	case e.faults.Leaving:
		return wire.StepStatus_STEP_STATUS_LEAVING
	case s == nil && len(e.sessions) >= e.config.MaxGenerations:
		return wire.StepStatus_STEP_STATUS_FULL
	}
	e.counts.Admitted++
	e.sessions[id] = newSession(step.GetGeneration(), e.config)
	return wire.StepStatus_STEP_STATUS_OK
}

// executeStep runs a step's layers.
func (e *Engine) executeStep(step *wire.StepRequest) *wire.StepReply {
	s := e.sessions[sessionID{node: step.GetNode(), request: step.GetRequest()}]
	if s == nil || s.generation != step.GetGeneration() {
		e.counts.Fenced++
		return e.newReply(step, wire.StepStatus_STEP_STATUS_FENCED)
	}
	if s.lastReply != nil && s.lastReply.GetPosition() == step.GetPosition() {
		e.counts.Duplicates++
		return s.lastReply
	}
	if s.nextPosition != step.GetPosition() {
		e.counts.Gaps++
		return e.newReply(step, wire.StepStatus_STEP_STATUS_GAP)
	}
	reply := e.newReply(step, wire.StepStatus_STEP_STATUS_OK)
	s.execute(step, e.config, reply)
	e.counts.Steps++
	e.counts.Positions += uint64(reply.GetPositions())
	return reply
}

func (e *Engine) newReply(step *wire.StepRequest, status wire.StepStatus) *wire.StepReply {
	load, age := e.sampledLoad.read(time.Now(), len(e.sessions), e.config.LoadSampleInterval)
	return &wire.StepReply{
		Node: step.GetNode(), Request: step.GetRequest(), Generation: step.GetGeneration(), Position: step.GetPosition(),
		Status: status, Load: load, LoadAgeMs: age, Leaving: e.faults.Leaving,
	}
}
