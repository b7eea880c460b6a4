package core

import (
	"github.com/hoistjunction/hoistjunction/outcome"
)

// Stats holds the counters of a Model since its start.
type Stats struct {
	Submitted    uint64
	Attached     uint64
	Canceled     uint64
	Relayed      uint64
	Steps        uint64
	Tokens       uint64
	Good         uint64
	Resumed      uint64
	Retried      uint64
	StepTimeouts uint64
	Stale        uint64
	Claims       uint64
	ClaimBatches uint64
	Versions     uint64
	Inherited    uint64

	outcomes [outcome.Unknown + 1]uint64
	reasons  [reasonCount]uint64
}

func (s *Stats) count(o outcome.Outcome, r Reason) {
	s.outcomes[o]++
	s.reasons[r]++
}

// Outcome returns the number of requests that ended with an outcome.
func (s *Stats) Outcome(o outcome.Outcome) uint64 { return s.outcomes[o] }

// Reason returns the number of requests that ended for a reason.
func (s *Stats) Reason(r Reason) uint64 { return s.reasons[r] }

// Each calls f with the name and value of every counter.
func (s *Stats) Each(f func(name string, value uint64)) {
	f("submitted", s.Submitted)
	f("attached", s.Attached)
	f("canceled", s.Canceled)
	f("relayed", s.Relayed)
	f("steps", s.Steps)
	f("tokens", s.Tokens)
	f("good", s.Good)
	f("resumed", s.Resumed)
	f("retried", s.Retried)
	f("step_timeouts", s.StepTimeouts)
	f("stale", s.Stale)
	f("claims", s.Claims)
	f("claim_batches", s.ClaimBatches)
	f("versions", s.Versions)
	f("inherited", s.Inherited)
	for o := outcome.Done; o <= outcome.Unknown; o++ {
		f("outcome_"+o.String(), s.outcomes[o])
	}
	for r := ReasonNone + 1; r < reasonCount; r++ {
		f("reason_"+r.String(), s.reasons[r])
	}
}
