package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

// ProbeReason is why an upstream is probed.
type ProbeReason uint8

// Reasons of probes.
const (
	// ProbeSuspected means that requests of this node have failed at the upstream, or earlier probes.
	ProbeSuspected ProbeReason = iota
	// ProbeReported means that another node found the upstream unresponsive.
	ProbeReported
	// ProbeLinks means that the probe tells whether this node's links to a data centre work.
	ProbeLinks
	// ProbeLoss means that the upstream may have ended under a request.
	ProbeLoss
	// ProbeLoad means that the upstream was slow or refused requests.
	ProbeLoad
)

var probeReasonNames = map[ProbeReason]string{
	ProbeSuspected: "suspected", ProbeReported: "reported", ProbeLinks: "links", ProbeLoss: "loss", ProbeLoad: "load",
}

// String returns the name of the reason in logs and metrics.
func (r ProbeReason) String() string { return probeReasonNames[r] }

// probeReason returns why a probe of the upstream is due.
func (u *upstream) probeReason(now clock.Millis) ProbeReason {
	switch {
	case u.reachProbeWanted:
		return ProbeLinks
	case u.suspected && u.crashCheckWanted && now < u.avoidUntil:
		return ProbeLoss
	case u.suspectedByPeer:
		return ProbeReported
	case u.suspected:
		return ProbeSuspected
	default:
		return ProbeLoad
	}
}
