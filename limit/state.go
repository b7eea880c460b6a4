package limit

// State is whether a request may be sent to an upstream.
type State uint8

const (
	// Unlimited means that it names no limit.
	Unlimited State = iota
	// HasPermit means that there is a permit for a request.
	HasPermit
	// NeedsPermit means that there is none, and one may be asked for.
	NeedsPermit
	// RequestPending means that one has been asked for.
	RequestPending
	// Exhausted means that none can be had before a time.
	Exhausted
)
