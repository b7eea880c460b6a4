package dispatch

// Cause classifies the failure of an attempt.
type Cause uint8

// Causes of failed attempts.
const (
	// CauseNotSent means that no byte of the request was written.
	CauseNotSent Cause = iota
	// CauseStaleConfig means that the node did not write the request, because the configuration
	// that admitted it was replaced or no longer fresh.
	CauseStaleConfig
	// CauseFull means that the upstream answered that it did not execute the request for lack of
	// capacity.
	CauseFull
	// CauseMisdirected means that the upstream answered that it is another incarnation than the
	// addressed one, or does not hold the requested layers.
	CauseMisdirected
	// CauseUnknown means that the request was sent and no valid answer arrived.
	CauseUnknown
	// CauseBrokenAnswer means that the request was sent and what arrived begins as no answer does.
	CauseBrokenAnswer
	// CauseNoProgress means that the request was sent and the attempt was canceled because no
	// answer arrived in time.
	CauseNoProgress
	// CauseUpstreamFailed means that the upstream executed the request and answered with an
	// error.
	CauseUpstreamFailed
	// CauseNodeRefused means that another node, to which the request was passed on, answered that
	// it did not execute it.
	CauseNodeRefused
)

var causeNames = map[Cause]string{
	CauseNotSent: "not_sent", CauseStaleConfig: "held_back", CauseFull: "full", CauseMisdirected: "misdirected",
	CauseUnknown: "unknown", CauseBrokenAnswer: "broken_answer", CauseNoProgress: "slow", CauseUpstreamFailed: "upstream_failed", CauseNodeRefused: "node_refused",
}

// MayHaveExecuted reports whether an upstream may have executed a request whose attempt failed with this cause.
func (c Cause) MayHaveExecuted() bool {
	return c == CauseUnknown || c == CauseBrokenAnswer || c == CauseNoProgress || c == CauseUpstreamFailed
}

// String returns the name of the cause in logs.
func (c Cause) String() string { return causeNames[c] }
