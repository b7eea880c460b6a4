package dispatch

import "github.com/hoistjunction/hoistjunction/clock"

// ProbeReason is why an upstream is probed.
type ProbeReason uint8

// Reasons of probes, the most important first.
const (
	// ProbeLinks means that the probe tells whether this node's links to a data centre work.
	ProbeLinks ProbeReason = iota
	// ProbeLoss means that the upstream may have ended under a request.
	ProbeLoss
	// ProbeSuspected means that requests of this node have failed at the upstream, or earlier probes.
	ProbeSuspected
	// ProbeReported means that another node found the upstream unresponsive.
	ProbeReported
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
