package limit

// State is whether a request may be sent to an upstream.
type State uint8

const (
	// Unlimited means that the upstream has no limit.
	Unlimited State = iota
	// HasPermit means that a valid permit is available.
	HasPermit
	// NeedsPermit means that no permit is available and one may be requested.
	NeedsPermit
	// RequestPending means that no permit is available and a permit request is under way.
	RequestPending
	// Exhausted means that no permit is available and none may be requested yet.
	Exhausted
)
