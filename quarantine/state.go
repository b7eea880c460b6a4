package quarantine

// UpstreamState is the local view of an upstream at which requests were lost.
type UpstreamState uint8

// The states of upstreams.
const (
	// Unknown means that the upstream is being probed and has not answered yet.
	Unknown UpstreamState = iota
	// Unresponsive means that the upstream answers nothing, not even a probe on a new
	// connection. It may have crashed or be cut off.
	Unresponsive
	// Crashed means that the upstream's entry is gone or another process has taken its place.
	Crashed
)
